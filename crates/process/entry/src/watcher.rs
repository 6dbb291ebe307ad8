//! Watches the registry for changes of the configuration, the servers and the nodes, if
//! this node is one of the watchers of its data centre, and applies changes from the
//! registry and from other nodes.
//!
//! Invariants: a version of the configuration is never replaced by an older one. The
//! state of a kind never goes back to an older revision.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::members::Peer;
use crate::process::Process;
use crate::registry::Batch;
use crate::registry::Error;
use crate::registry::Event;
use crate::registry::Freshness;
use crate::registry::Item;
use crate::registry::Kind;
use crate::registry::Node;
use crate::relay;
use crate::shares::Shares;
use crate::source;
use crate::source::Source;
use site::config::Config;
use site::fleet;
use site::fleet::Change;
use site::router::Router;

/// How long the registry is asked to wait for a change. Calls received while the registry
/// hangs are never answered; such a watch ends only after this plus the call's timeout.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// The same for the first watch after a failure, since the registry may still hang.
const WATCH_WAIT_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// The delay of the next watch after changes, so that it returns several further changes
/// at once.
const BATCH_DELAY: Duration = Duration::from_millis(350);
/// The delay after the first failed call, before jitter, which reduces it to between a
/// half and the whole; it is doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The maximum delay after a failed call, before jitter: changes must take effect within
/// seconds of the end of an outage.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Finds the other nodes, then starts to watch the registry and registers this node.
pub(crate) async fn start(process: Rc<Process>) {
    let list = process.registry.list(Kind::Nodes, Freshness::Recent);
    match timeout(FIRST_NODE_LIST_TIMEOUT, list).await {
        Ok(Ok(reading)) => {
            let batch = process.date(Kind::Nodes, reading);
            apply_batch(&process, Kind::Nodes, batch, true);
        }
        Ok(Err(error)) => {
            log::info!(target: "members", error:% = error; "The nodes can't be listed at the start.");
        }
        Err(_) => log::info!(target: "members", "The nodes were not listed in time at the start."),
    }
    spawn_local(run(Rc::clone(&process), Kind::Config));
    spawn_local(run(Rc::clone(&process), Kind::Servers));
    spawn_local(register_and_list_nodes(process));
}

/// How long the first list of the nodes may delay the start.
const FIRST_NODE_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of nodes of a data centre that take the first list from the registry at once.
const FIRST_LISTERS: usize = 4;
/// How long the others wait for a node that passes the state on.
const STATE_WAIT: Duration = Duration::from_millis(1200);
/// The interval between checks for it.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the state of a kind was received from another node, if others come first in
/// this node's data centre: when all start at once, few of them need to ask the registry.
async fn wait_for_state(process: &Process, kind: Kind) {
    if process.members.borrow().nodes_before_own() < FIRST_LISTERS {
        return;
    }
    let until = process.clock.now() + STATE_WAIT;
    while process.feeds.borrow().of(kind).revision().is_none() && process.clock.now() < until {
        sleep(STATE_CHECK_INTERVAL).await;
    }
}

/// Watches the objects of a kind for as long as the process runs, while this node is a
/// watcher. A node that gets no state from others takes the first list itself.
async fn run(process: Rc<Process>, kind: Kind) {
    wait_for_state(&process, kind).await;
    let mut failures = 0;
    let mut compacted = false;
    loop {
        let revision = process.feeds.borrow().of(kind).revision();
        if revision.is_some() && process.source.get() != Source::Registry {
            failures = 0;
            follow(&process, kind).await;
            continue;
        }
        let call = match revision {
            Some(revision) if !compacted => {
                let wait = if failures > 0 { WATCH_WAIT_AFTER_FAILURE } else { WATCH_WAIT };
                process.registry.watch(kind, revision, wait).await
            }
            // Without a state, an older list will do: the watch that follows brings the
            // changes since then.
            None => process.registry.list(kind, Freshness::Recent).await,
            Some(_) => process.registry.list(kind, Freshness::Current).await,
        };
        process.metrics.record_registry_call(if call.is_ok() { "answered" } else { "failed" });
        process.registry_answers.set(call.is_ok() || call == Err(Error::Compacted));
        match call {
            Ok(reading) => {
                let batch = process.date(kind, reading);
                if failures > 0 {
                    on_outage_ended(&process, kind, failures);
                }
                failures = 0;
                process.confirm(kind, process.clock.now());
                let changed = !batch.events.is_empty();
                let is_list = revision.is_none() || compacted;
                compacted = false;
                apply_batch(&process, kind, batch, is_list);
                if changed {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(Error::Compacted) => {
                log::info!(target: "registry", kind:? = kind; "The registry no longer keeps the changes since the last revision; listing again.");
                compacted = true;
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(target: "registry", kind:? = kind, error:% = error; "Calls to the registry fail.");
                }
                failures += 1;
                if process.feeds.borrow().of(kind).revision().is_none() {
                    relay::fetch_state(&process).await;
                }
                sleep(backoff(&process, failures)).await;
            }
        }
    }
}

/// Waits while this node follows a watcher, until it is one itself. Meanwhile asks the registry
/// itself whenever no watcher has had the state of the kind confirmed for too long.
async fn follow(process: &Process, kind: Kind) {
    let mut failed_at = None;
    loop {
        let jitter = process.table.borrow_mut().random_fraction();
        let due = source::own_call_at(process.confirmed_at(kind), failed_at, jitter);
        let changed = process.source_changed.notified();
        if timeout_at(process.clock.instant(due), changed).await.is_ok() {
            return;
        }
        let Some(revision) = process.feeds.borrow().of(kind).revision() else { return };
        // A watcher may have confirmed the state while this node waited.
        if source::own_call_at(process.confirmed_at(kind), failed_at, 0.0) > process.clock.now() {
            continue;
        }
        let call = process.registry.watch(kind, revision, OWN_CALL_WAIT).await;
        process.metrics.record_registry_call(if call.is_ok() { "answered" } else { "failed" });
        match call {
            Ok(reading) => {
                let batch = process.date(kind, reading);
                log::info!(target: "registry", kind:? = kind, revision = batch.revision; "The watchers' state is old; the registry was asked directly.");
                process.confirm(kind, process.clock.now());
                apply_batch(process, kind, batch, false);
            }
            Err(Error::Compacted) => match process.registry.list(kind, Freshness::Current).await {
                Ok(reading) => {
                    let batch = process.date(kind, reading);
                    process.confirm(kind, process.clock.now());
                    apply_batch(process, kind, batch, true);
                }
                Err(error) => {
                    log::debug!(target: "registry", kind:? = kind, error:% = error; "The registry can't be listed.");
                    failed_at = Some(process.clock.now());
                }
            },
            Err(error) => {
                log::debug!(target: "registry", kind:? = kind, error:% = error; "The registry does not answer either.");
                failed_at = Some(process.clock.now());
            }
        }
    }
}

/// How long a follower's own call waits for a change.
const OWN_CALL_WAIT: Duration = Duration::from_millis(1);

fn on_outage_ended(process: &Process, kind: Kind, failures: u32) {
    log::info!(target: "registry", kind:? = kind, failures; "The registry answers again.");
    process.fleet.borrow_mut().outage_ended(process.clock.now());
}

/// The delay after `failures` failures, with jitter so that nodes don't call at the same
/// time. Watches count consecutive failures; the registration and the lists of the nodes
/// count all failures since the start.
fn backoff(process: &Process, failures: u32) -> Duration {
    let delay = (INITIAL_BACKOFF * (1 << (failures - 1).min(4))).min(MAX_BACKOFF);
    delay.mul_f64(0.5 + 0.5 * process.table.borrow_mut().random_fraction())
}

/// Applies a list or changes of a kind, unless they are older than the present state.
pub(crate) fn apply_batch(process: &Process, kind: Kind, batch: Batch, is_list: bool) {
    let known = process.feeds.borrow().of(kind).revision();
    if known.is_some_and(|known| batch.revision < known) {
        process.metrics.record_ignored(kind);
        log::info!(target: "registry", kind:? = kind, is_list, revision = batch.revision, known; "An older state was ignored.");
        return;
    }
    process.feeds.borrow_mut().of_mut(kind).record(&batch, is_list);
    process.metrics.record_revision(kind, batch.revision);
    let mut servers = Vec::new();
    let mut changes = Vec::new();
    let now = process.clock.now();
    let is_empty = batch.events.is_empty();
    for event in batch.events {
        match event {
            Event::Put(Item::Config(config)) => install_config(process, &config),
            Event::Put(Item::Server(entry)) if is_list => servers.push(entry),
            Event::Put(Item::Server(entry)) => {
                changes.extend(process.fleet.borrow_mut().apply(now, fleet::Event::Put(entry)));
            }
            Event::Put(Item::Node(node)) => {
                if node == own_node(process) {
                    process.is_registered.set(true);
                }
                let Node { ip, data_centre, capacity, .. } = node;
                process.members.borrow_mut().add_peer(Peer { ip, data_centre, capacity });
            }
            Event::Removed(name) if kind == Kind::Servers => {
                changes.extend(process.fleet.borrow_mut().apply(now, fleet::Event::Removed(name)));
            }
            Event::Removed(name) => {
                log::info!(target: "registry", kind:? = kind, name = name.as_ref(); "An object was removed.");
            }
            Event::Unreadable { name, reason } => {
                log::warn!(target: "registry", kind:? = kind, name = name.as_ref(), reason = reason.as_str(); "An object is invalid.");
                if kind == Kind::Servers && !is_list {
                    let removed = fleet::Event::Removed(name);
                    changes.extend(process.fleet.borrow_mut().apply(now, removed));
                }
            }
        }
    }
    if kind == Kind::Servers {
        if is_list {
            changes.extend(process.fleet.borrow_mut().apply_list(now, servers));
        }
        process.has_server_list.set(true);
        apply_changes(process, &changes);
    }
    if !is_empty {
        process.state_changed.notify_waiters();
    }
}

/// Starts to use a version of the configuration, unless it is older than or the same as
/// the current one.
fn install_config(process: &Process, config: &Config) {
    let current = process.router.borrow().as_ref().map(|router| router.version);
    if current.is_some_and(|current| current >= config.version) {
        return;
    }
    let router = {
        let mut table = process.table.borrow_mut();
        for service in &config.services {
            let service_id = table.intern_service(&service.name);
            table.set_connection_limit(service_id, service.connections);
        }
        Router::new(config, |name| table.intern_service(name))
    };
    log::info!(target: "config", version = config.version, before = current, routes = config.routes.len(); "A new version of the configuration is in use.");
    process.metrics.record_config_version(config.version);
    *process.router.borrow_mut() = Some(Rc::new(router));
    *process.config.borrow_mut() = Some(config.clone());
    update_shares(process);
}

/// Removes servers whose entries have been missing for long enough.
pub(crate) async fn expire_servers(process: Rc<Process>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let changes = process.fleet.borrow_mut().expire(process.clock.now());
        apply_changes(&process, &changes);
    }
}

/// The interval between checks for missing entries.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Applies changes of the servers to the table and to the connections.
fn apply_changes(process: &Process, changes: &[Change]) {
    let now = process.clock.now();
    for change in changes {
        if !matches!(change, Change::Up(_)) {
            log::info!(target: "servers", change:? = change; "A server's state changed.");
        }
        let removed = process.table.borrow_mut().apply(now, change);
        if let Some(server) = removed {
            process.pool.retire(server);
        }
    }
    if !changes.is_empty() {
        update_shares(process);
    }
}

/// Recomputes this node's share of each server's connections and of the budget of extra
/// sends. A serving node opens a connection to each server.
pub(crate) fn update_shares(process: &Process) {
    let shares = current_shares(process);
    let before = process.shares.replace(shares);
    if before != shares {
        log::info!(target: "limits", serving = shares.serving, nodes = shares.serving_nodes, standby = shares.standby_nodes, before = before.serving_nodes; "The shares of connections and extra sends changed.");
    }
    let now = process.clock.now();
    process.budget.borrow_mut().set_share(now, shares.slack_fraction());
    let table = process.table.borrow();
    for server in table.servers_in_use() {
        let record = table.record(server);
        let limit = table.connection_limit(server);
        process.pool.set_server(
            server,
            record.address,
            limit.map(|limit| shares.connections(limit)),
        );
        if shares.serving {
            process.pool.preconnect(server);
        }
    }
}

/// Calls [`update_shares`] if the nodes that share the limits have changed.
pub(crate) fn update_shares_if_changed(process: &Process) {
    if current_shares(process) != process.shares.get() {
        update_shares(process);
    }
}

fn current_shares(process: &Process) -> Shares {
    let members = process.members.borrow();
    let serving = process.role.borrow().is_serving();
    let serving_nodes = members.recently_serving(process.clock.now()) + u32::from(serving);
    let all_nodes = members.peers().count() as u32 + 1;
    Shares { serving, serving_nodes, standby_nodes: all_nodes.saturating_sub(serving_nodes) }
}

/// What this node registers.
fn own_node(process: &Process) -> Node {
    let settings = &process.settings;
    Node {
        name: settings.name.clone(),
        ip: settings.ip,
        caller_address: settings.caller_address,
        data_centre: settings.data_centre.clone(),
        capacity: settings.capacity,
    }
}

/// Registers this node unless it was listed with the same data, then lists the others
/// periodically.
async fn register_and_list_nodes(process: Rc<Process>) {
    let node = own_node(&process);
    let mut failures = 0;
    while !process.is_registered.get()
        && let Err(error) = process.registry.register(&node).await
    {
        failures += 1;
        log::info!(target: "members", error:% = error, failures; "This node is not registered yet.");
        sleep(backoff(&process, failures)).await;
    }
    // A node that was registered before its start has found the others already.
    let mut lists = if process.is_registered.get() { FIRST_NODE_LISTS } else { 0 };
    let mut failures = 0;
    loop {
        if lists >= FIRST_NODE_LISTS {
            sleep(NODE_LIST_INTERVAL).await;
            while process.source.get() != Source::Registry {
                process.source_changed.notified().await;
            }
        }
        match process.registry.list(Kind::Nodes, Freshness::Recent).await {
            Ok(reading) => {
                let batch = process.date(Kind::Nodes, reading);
                failures = 0;
                lists += 1;
                apply_batch(&process, Kind::Nodes, batch, true);
                if lists < FIRST_NODE_LISTS {
                    sleep(FIRST_NODE_LIST_INTERVAL).await;
                }
            }
            Err(error) => {
                failures += 1;
                log::info!(target: "members", error:% = error; "The nodes can't be listed.");
                sleep(backoff(&process, failures)).await;
            }
        }
    }
}

/// The interval between a watcher's lists of the registered nodes; heartbeats announce new
/// nodes in between.
const NODE_LIST_INTERVAL: Duration = Duration::from_secs(30);
/// The number of lists that every node takes after its start: others may start at the same
/// time and register after the first one.
const FIRST_NODE_LISTS: u32 = 2;
/// The interval between those.
const FIRST_NODE_LIST_INTERVAL: Duration = Duration::from_secs(3);
