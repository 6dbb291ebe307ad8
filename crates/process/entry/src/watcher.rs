//! Watches the registry for changes of the configuration, the servers and the nodes, if
//! this node is one of the watchers of its data centre, and applies changes from the
//! registry and from other nodes.
//!
//! Invariants: a version of the configuration is never replaced by an older one. The
//! state of a kind never goes back to an older revision. After a return of the registry
//! from a copy, no changes are applied to the state from before it: a list comes first.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::customers;
use crate::evacuations;
use crate::feed::Relation;
use crate::limits;
use crate::members::Peer;
use crate::process::ListedNodes;
use crate::process::Process;
use crate::registry::Batch;
use crate::registry::Error;
use crate::registry::Event;
use crate::registry::Freshness;
use crate::registry::Item;
use crate::registry::Kind;
use crate::registry::Node;
use crate::relay;
use crate::revision::Revision;
use crate::shares::Shares;
use crate::source::Source;
use replica::cold::Warmup;
use site::config::Config;
use site::fleet;
use site::fleet::Change;
use site::register::Incarnation;
use site::router::Router;

/// How long the registry is asked to wait for a change in the first watch after a failure,
/// since it may still hang.
const WATCH_WAIT_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// The delay of the next watch after changes, so that it returns several further changes
/// at once.
pub(crate) const BATCH_DELAY: Duration = Duration::from_millis(350);
/// The delay after the first failed call, before jitter, which reduces it to between a
/// half and the whole; it is doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The maximum delay after a failed call, before jitter: changes must take effect within
/// seconds of the end of an outage.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The maximum delay of the list that follows a return of the registry from a copy, so that
/// the watchers don't take it at the same time.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(250);

/// Finds the other nodes, then starts to watch the registry and registers this node.
pub(crate) async fn start(process: Rc<Process>) {
    let list = process.registry.list(Kind::Nodes, Freshness::Recent);
    match timeout(FIRST_NODE_LIST_TIMEOUT, list).await {
        Ok(Ok(reading)) => {
            let batch = process.date(Kind::Nodes, reading);
            apply_answer(&process, Kind::Nodes, batch, true);
        }
        Ok(Err(error)) => {
            log::info!(target: "members", error:% = error; "The nodes can't be listed at the start.");
        }
        Err(_) => log::info!(target: "members", "The nodes were not listed in time at the start."),
    }
    spawn_local(run(Rc::clone(&process), Kind::Config));
    spawn_local(run(Rc::clone(&process), Kind::Servers));
    if process.has_evacuations() {
        spawn_local(run(Rc::clone(&process), Kind::Evacuations));
    }
    spawn_local(register_and_list_nodes(process));
}

/// How long the first list of the nodes may delay the start.
pub(crate) const FIRST_NODE_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of nodes of a data centre that take the first list from the registry at once.
const FIRST_LISTERS: usize = 4;
/// How long the others wait for a node that passes the state on.
pub(crate) const STATE_WAIT: Duration = Duration::from_millis(1200);
/// The interval between checks for it.
pub(crate) const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

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
    let mut unusable = 0;
    let mut compacted = false;
    loop {
        let known = process.feeds.borrow().of(kind).revision();
        if known.is_some() && process.source.get() != Source::Registry {
            failures = 0;
            follow(&process, kind).await;
            continue;
        }
        let outdated = known.is_some_and(|known| process.is_outdated(known));
        let is_list = known.is_none() || compacted || outdated;
        let call = match known {
            Some(known) if !is_list => {
                let wait = if failures > 0 {
                    WATCH_WAIT_AFTER_FAILURE
                } else {
                    process.settings.timing.watch_wait
                };
                tokio::select! {
                    call = process.registry.watch(kind, known.number, wait) => call,
                    // Another call has seen the registry's return: the list must not wait for
                    // the end of this watch.
                    () = process.era_risen.notified() => continue,
                }
            }
            // Without a state, an older list will do: the watch that follows brings the
            // changes since then.
            None => process.registry.list(kind, Freshness::Recent).await,
            Some(_) => {
                if outdated {
                    sleep(return_delay(&process)).await;
                }
                process.registry.list(kind, Freshness::Current).await
            }
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
                let changed = !batch.events.is_empty();
                if !apply_answer(&process, kind, batch, is_list) {
                    unusable += 1;
                    sleep(backoff(&process, unusable)).await;
                    continue;
                }
                unusable = 0;
                process.confirm(kind, process.clock.now());
                if is_list {
                    compacted = false;
                }
                if known.is_none() && kind == Kind::Config {
                    spawn_local(relay::fetch_newer(Rc::clone(&process)));
                }
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
        let due =
            process.settings.timing.own_call_at(process.confirmed_at(kind), failed_at, jitter);
        let changed = process.source_changed.notified();
        if timeout_at(process.clock.instant(due), changed).await.is_ok() {
            return;
        }
        let Some(known) = process.feeds.borrow().of(kind).revision() else { return };
        // A watcher may have confirmed the state while this node waited.
        if process.settings.timing.own_call_at(process.confirmed_at(kind), failed_at, 0.0)
            > process.clock.now()
        {
            continue;
        }
        let call = ask_registry(process, kind, known).await;
        process.metrics.record_registry_call(if call.is_ok() { "answered" } else { "failed" });
        match call {
            Ok(true) => {
                log::info!(target: "registry", kind:? = kind, before:% = known; "The watchers' state is old; the registry was asked directly.");
                process.confirm(kind, process.clock.now());
            }
            Ok(false) => failed_at = Some(process.clock.now()),
            Err(error) => {
                log::debug!(target: "registry", kind:? = kind, error:% = error; "The registry does not answer either.");
                failed_at = Some(process.clock.now());
            }
        }
    }
}

/// Gets the present state of a kind from the registry: the changes since `known`, or a list if
/// it can't tell them. Returns whether the answer could be used.
async fn ask_registry(process: &Process, kind: Kind, known: Revision) -> Result<bool, Error> {
    if !process.is_outdated(known) {
        match process.registry.watch(kind, known.number, OWN_CALL_WAIT).await {
            Ok(reading) => {
                let batch = process.date(kind, reading);
                if apply_answer(process, kind, batch, false) {
                    return Ok(true);
                }
            }
            Err(Error::Compacted) => {}
            Err(error) => return Err(error),
        }
    }
    let batch = process.date(kind, process.registry.list(kind, Freshness::Current).await?);
    Ok(apply_answer(process, kind, batch, true))
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

/// Applies a list or changes that the registry has sent to this node, as [`apply_batch`].
fn apply_answer(process: &Process, kind: Kind, batch: Batch, is_list: bool) -> bool {
    if is_list {
        // Other nodes don't pass these on in their lists.
        let names = batch.events.iter().filter_map(|event| match event {
            Event::Unreadable { name, .. } => Some(&**name),
            _ => None,
        });
        process.unreadable.borrow_mut().listed(kind, names);
    }
    apply_batch(process, kind, batch, is_list)
}

/// Applies a list or changes of a kind. Returns whether they were used: a state that is older
/// than the present one is not, and neither are changes to a state of a later era than this
/// node's.
pub(crate) fn apply_batch(process: &Process, kind: Kind, batch: Batch, is_list: bool) -> bool {
    let relation = process.feeds.borrow().of(kind).relate(batch.revision, is_list);
    if relation != Relation::Continuation {
        let known = process.feeds.borrow().of(kind).revision().unwrap_or_default();
        log::info!(target: "registry", kind:? = kind, relation:? = relation, is_list, revision:% = batch.revision, known:% = known, objects = batch.events.len(); "The registry's answer does not continue the known state.");
    }
    if matches!(relation, Relation::Older | Relation::Gap) {
        process.metrics.record_ignored(kind);
        apply_permanent(process, batch.events);
        return false;
    }
    process.feeds.borrow_mut().of_mut(kind).record(&batch, is_list);
    process.metrics.record_revision(kind, batch.revision);
    if kind == Kind::Nodes && is_list {
        on_nodes_listed(process, &batch);
    }
    let mut servers = Vec::new();
    let mut evacuated = Vec::new();
    let origin = evacuations::origin(batch.revision);
    let mut changes = Vec::new();
    let now = process.clock.now();
    let is_empty = batch.events.is_empty();
    record_unreadable(process, kind, &batch.events);
    for event in batch.events {
        match event {
            Event::Put(Item::Config(config)) => install_config(process, &config),
            Event::Put(Item::Server(entry)) if is_list => servers.push(entry),
            Event::Put(Item::Server(entry)) => {
                changes.extend(process.fleet.borrow_mut().apply(now, fleet::Event::Put(entry)));
            }
            Event::Put(Item::Node(node)) => {
                let Node { ip, data_centre, capacity, .. } = node;
                process.members.borrow_mut().add_peer(Peer { ip, data_centre, capacity });
            }
            Event::Removed(name) if kind == Kind::Servers => {
                changes.extend(process.fleet.borrow_mut().apply(now, fleet::Event::Removed(name)));
            }
            Event::Put(Item::Evacuation(name)) if is_list => evacuated.push(name),
            Event::Put(Item::Evacuation(name)) => evacuations::put(process, origin, &name),
            Event::Removed(name) if kind == Kind::Evacuations => {
                evacuations::removed(process, &name);
            }
            Event::Removed(name) => {
                log::info!(target: "registry", kind:? = kind, name = name.as_ref(); "An object was removed.");
            }
            // It names no server to use.
            Event::Unreadable { name, .. } if kind == Kind::Servers && !is_list => {
                let removed = fleet::Event::Removed(name);
                changes.extend(process.fleet.borrow_mut().apply(now, removed));
            }
            Event::Unreadable { .. } => {}
        }
    }
    if kind == Kind::Servers {
        if is_list {
            let mut fleet = process.fleet.borrow_mut();
            changes.extend(if relation == Relation::Replacement {
                fleet.apply_copy(now, servers)
            } else {
                fleet.apply_list(now, servers)
            });
        }
        process.has_server_list.set(true);
        apply_changes(process, &changes);
        // A removal that is heard of late may be due already.
        expire(process);
    }
    if kind == Kind::Evacuations && is_list {
        let is_copy = relation == Relation::Replacement;
        evacuations::apply_list(process, origin, &evacuated, is_copy);
    }
    if !is_empty {
        process.state_changed.notify_waiters();
    }
    true
}

/// The part of an object's name that is logged, in bytes.
const MAX_LOGGED_NAME_BYTES: usize = 200;

/// Counts the objects that can't be parsed, and logs each once.
fn record_unreadable(process: &Process, kind: Kind, events: &[Event]) {
    let mut unreadable = process.unreadable.borrow_mut();
    for event in events {
        match event {
            Event::Unreadable { name, reason } => {
                if unreadable.found(kind, name, reason) {
                    let shown = &name[..name.floor_char_boundary(MAX_LOGGED_NAME_BYTES)];
                    log::warn!(target: "registry", kind = kind.name(), name = shown, reason = reason.as_str(); "An object is invalid.");
                }
            }
            Event::Removed(name) | Event::Put(Item::Evacuation(name)) => {
                unreadable.ended(kind, name);
            }
            Event::Put(Item::Server(entry)) => unreadable.ended(kind, &entry.incarnation.id),
            Event::Put(Item::Node(node)) => unreadable.ended(kind, &node.name),
            // There is one object of this kind.
            Event::Put(Item::Config(_)) => unreadable.listed(kind, []),
        }
    }
    process.metrics.record_unreadable(kind, unreadable.count(kind));
}

/// Applies what an older state says for good: a later version of the configuration, and that
/// servers leave.
fn apply_permanent(process: &Process, events: Vec<Event>) {
    for event in events {
        match event {
            Event::Put(Item::Config(config)) => install_config(process, &config),
            Event::Put(Item::Server(entry)) if entry.draining => {
                server_leaves(process, &entry.incarnation);
            }
            _ => {}
        }
    }
}

/// Stops the use of a server that leaves, whatever its entry says.
pub(crate) fn server_leaves(process: &Process, incarnation: &Incarnation) {
    let change = process.fleet.borrow_mut().leaving(process.clock.now(), incarnation);
    apply_changes(process, change.as_slice());
}

/// Takes note of which nodes the registry lists.
fn on_nodes_listed(process: &Process, batch: &Batch) {
    let nodes = || {
        batch.events.iter().filter_map(|event| match event {
            Event::Put(Item::Node(node)) => Some(node),
            _ => None,
        })
    };
    let own = own_node(process);
    let is_listed = nodes().any(|node| *node == own);
    if is_listed && process.registered_era.get().is_none() {
        process.set_registered();
    }
    process.on_registration(is_listed);
    let addresses = nodes().map(|node| node.ip).collect();
    *process.listed_nodes.borrow_mut() = Some(ListedNodes { revision: batch.revision, addresses });
}

/// Starts to use a version of the configuration, unless it is older than or the same as
/// the current one.
fn install_config(process: &Process, config: &Config) {
    let current = process.router.borrow().as_ref().map(|router| router.version);
    if current.is_some_and(|current| current >= config.version) {
        return;
    }
    let router = {
        let now = process.clock.now();
        let mut table = process.table.borrow_mut();
        let mut named = Vec::new();
        for service in &config.services {
            let service_id = table.intern_service(&service.name);
            named.push(service_id);
            table.set_connection_limit(service_id, service.connections);
            if process.settings.warmup.is_some() {
                let (time, per_second) = (service.warmup, service.warmup_per_second);
                table.set_warmup(now, service_id, Warmup { time, per_second });
            }
        }
        let regions = table.regions().clone();
        let router = Router::new(config, &regions, |name| {
            let service = table.intern_service(name);
            named.push(service);
            service
        });
        table.set_named_services(named);
        router
    };
    log::info!(target: "config", version = config.version, before = current, routes = config.routes.len(); "A new version of the configuration is in use.");
    process.metrics.record_config_version(config.version);
    let router = Rc::new(router);
    *process.router.borrow_mut() = Some(Rc::clone(&router));
    customers::install(process, &router);
    *process.config.borrow_mut() = Some(config.clone());
    update_shares(process);
}

/// Removes servers whose entries have been missing for long enough.
pub(crate) async fn expire_servers(process: Rc<Process>) {
    loop {
        let interval_end = process.clock.now() + EXPIRY_INTERVAL;
        let due = process.fleet.borrow().next_expiry();
        let wake_at = due.map_or(interval_end, |due| due.min(interval_end));
        sleep_until(process.clock.instant(wake_at)).await;
        expire(&process);
        evacuations::expire(&process);
    }
}

fn expire(process: &Process) {
    let changes = process.fleet.borrow_mut().expire(process.clock.now());
    apply_changes(process, &changes);
}

/// The maximum interval between checks for missing entries.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Applies changes of the servers to the table and to the connections.
fn apply_changes(process: &Process, changes: &[Change]) {
    let now = process.clock.now();
    let cold = limits::cold_servers(process);
    for change in changes {
        match change {
            Change::Up(_) => {}
            Change::Lapsing(incarnation) => {
                let due = process.fleet.borrow().removal_due(&incarnation.id);
                let left_ms = due.map(|due| due.since(now).as_millis() as u64);
                let confirmed_ms =
                    now.since(process.confirmed_at(Kind::Servers)).as_millis() as u64;
                log::info!(target: "servers", change:? = change, source:? = process.source.get(), confirmed_ms, left_ms; "A server's entry is missing; it is removed after the time that is left.");
            }
            Change::Leaving(_) | Change::Gone(_) => {
                log::info!(target: "servers", change:? = change; "A server's state changed.");
            }
        }
        let removed = process.table.borrow_mut().apply(now, change);
        if let Some(server) = removed {
            process.pool.retire(server);
        }
    }
    if !changes.is_empty() {
        limits::log_new_cold(process, &cold, "entry");
        update_shares(process);
    }
}

/// Recomputes this node's share of each server's connections and of the budget of extra
/// sends. A serving node opens a connection to each server that the configuration names.
pub(crate) fn update_shares(process: &Process) {
    let shares = current_shares(process);
    let before = process.shares.replace(shares);
    if before != shares {
        log::info!(target: "limits", serving = shares.serving, nodes = shares.serving_nodes, standby = shares.standby_nodes, before = before.serving_nodes; "The shares of connections and extra sends changed.");
    }
    let now = process.clock.now();
    process.budget.borrow_mut().set_share(now, shares.slack_fraction());
    let table = process.table.borrow();
    for server in table.named_servers() {
        let record = table.record(server);
        let limit = table.connection_limit(server);
        process.pool.set_server(
            server,
            record.address,
            limit.map(|limit| process.loans.cap(table.key(server), shares.connections(limit))),
        );
        if shares.serving && !record.evacuated {
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

/// Registers this node unless it was listed with the same data, and again each time the
/// registry has lost its entry; lists the others periodically.
async fn register_and_list_nodes(process: Rc<Process>) {
    // A node that was registered before its start has found the others already.
    let lists = if process.registered_era.get().is_some() { FIRST_NODE_LISTS } else { 0 };
    register(&process).await;
    spawn_local(list_nodes(Rc::clone(&process), lists));
    loop {
        process.registration_lost.notified().await;
        let jitter = process.table.borrow_mut().random_fraction();
        sleep(MAX_REGISTRATION_DELAY.mul_f64(jitter)).await;
        log::warn!(target: "members", era = process.era.borrow().newest(); "The registry returned without this node's entry; registering again.");
        register(&process).await;
    }
}

async fn register(process: &Process) {
    let node = own_node(process);
    let mut failures = 0;
    while process.registered_era.get().is_none() {
        match process.registry.register(&node).await {
            Ok(()) => process.set_registered(),
            Err(error) => {
                failures += 1;
                log::info!(target: "members", error:% = error, failures; "This node is not registered yet.");
                sleep(backoff(process, failures)).await;
            }
        }
    }
}

/// Lists the registered nodes: after the start, then while this node watches the registry,
/// periodically and after each return of the registry from a copy.
async fn list_nodes(process: Rc<Process>, mut lists: u32) {
    let is_outdated = || {
        let known = process.feeds.borrow().of(Kind::Nodes).revision();
        known.is_some_and(|known| process.is_outdated(known))
    };
    let mut failures = 0;
    loop {
        if lists >= FIRST_NODE_LISTS {
            if !is_outdated() {
                tokio::select! {
                    () = sleep(NODE_LIST_INTERVAL) => {}
                    () = process.era_risen.notified() => {}
                }
            }
            while process.source.get() != Source::Registry {
                process.source_changed.notified().await;
            }
        }
        let freshness = if is_outdated() {
            sleep(return_delay(&process)).await;
            Freshness::Current
        } else {
            Freshness::Recent
        };
        match process.registry.list(Kind::Nodes, freshness).await {
            Ok(reading) => {
                lists += 1;
                let batch = process.date(Kind::Nodes, reading);
                failures =
                    if apply_answer(&process, Kind::Nodes, batch, true) { 0 } else { failures + 1 };
                if lists < FIRST_NODE_LISTS {
                    sleep(FIRST_NODE_LIST_INTERVAL).await;
                }
            }
            Err(error) => {
                failures += 1;
                log::info!(target: "members", error:% = error; "The nodes can't be listed.");
            }
        }
        if failures > 0 {
            sleep(backoff(&process, failures)).await;
        }
    }
}

/// The delay of a list that follows a return of the registry.
fn return_delay(process: &Process) -> Duration {
    MAX_RETURN_DELAY.mul_f64(process.table.borrow_mut().random_fraction())
}

/// The maximum delay of a registration after a return of the registry, so that not all nodes
/// write at the same time.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_millis(1000);
/// The interval between a watcher's lists of the registered nodes; heartbeats announce new
/// nodes in between.
const NODE_LIST_INTERVAL: Duration = Duration::from_secs(30);
/// The number of lists that every node takes after its start: others may start at the same
/// time and register after the first one.
const FIRST_NODE_LISTS: u32 = 2;
/// The interval between those.
const FIRST_NODE_LIST_INTERVAL: Duration = Duration::from_secs(3);
