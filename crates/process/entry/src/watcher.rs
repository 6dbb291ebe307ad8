//! Watches the registry for changes of the configuration, the servers and the nodes.
//!
//! Invariant: a version of the configuration is never replaced by an older one.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::bootstrap;
use crate::bootstrap::RegistryState;
use crate::process::Process;
use crate::registry::Batch;
use crate::registry::Error;
use crate::registry::Event;
use crate::registry::Item;
use crate::registry::Kind;
use crate::registry::Node;
use site::config::Config;
use site::fleet;
use site::fleet::Change;
use site::router::Router;

/// How long the registry is asked to wait for a change. Calls received while the registry
/// hangs are never answered; such a watch ends only after this plus the call's timeout.
const WATCH_WAIT: Duration = Duration::from_secs(4);
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

/// Watches the objects of a kind for as long as the process runs.
pub(crate) async fn run(process: Rc<Process>, kind: Kind) {
    let mut revision = None;
    let mut failures = 0;
    loop {
        let call = match revision {
            None => process.registry.list(kind).await,
            Some(revision) => {
                let wait = if failures > 0 { WATCH_WAIT_AFTER_FAILURE } else { WATCH_WAIT };
                process.registry.watch(kind, revision, wait).await
            }
        };
        process.metrics.record_registry_call(if call.is_ok() { "answered" } else { "failed" });
        match call {
            Ok(batch) => {
                if failures > 0 {
                    on_outage_ended(&process, kind, failures);
                }
                failures = 0;
                let changed = !batch.events.is_empty();
                let is_list = revision.is_none();
                revision = Some(batch.revision);
                apply_batch(&process, kind, batch, is_list);
                if changed {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(Error::Compacted) => {
                log::info!(target: "registry", kind:? = kind; "The registry no longer keeps the changes since the last revision; listing again.");
                revision = None;
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(target: "registry", kind:? = kind, error:% = error; "Calls to the registry fail.");
                }
                failures += 1;
                if !is_known(&process, kind) {
                    bootstrap::fetch_from_peers(&process).await;
                }
                sleep(backoff(&process, failures)).await;
            }
        }
    }
}

fn is_known(process: &Process, kind: Kind) -> bool {
    match kind {
        Kind::Config => process.router.borrow().is_some(),
        Kind::Servers => process.has_server_list.get(),
        Kind::Nodes => true,
    }
}

/// Applies a peer's copy of the kinds that were not received from the registry yet.
pub(crate) fn apply_peer_state(process: &Process, state: RegistryState) {
    if !is_known(process, Kind::Config) {
        install_config(process, &state.config);
    }
    if !is_known(process, Kind::Servers) {
        let now = process.clock.now();
        let changes = process.fleet.borrow_mut().apply_list(now, state.servers);
        process.has_server_list.set(true);
        apply_changes(process, &changes);
    }
}

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

fn apply_batch(process: &Process, kind: Kind, batch: Batch, is_list: bool) {
    let mut servers = Vec::new();
    let mut changes = Vec::new();
    let now = process.clock.now();
    for event in batch.events {
        match event {
            Event::Put(Item::Config(config)) => install_config(process, &config),
            Event::Put(Item::Server(entry)) if is_list => servers.push(entry),
            Event::Put(Item::Server(entry)) => {
                changes.extend(process.fleet.borrow_mut().apply(now, fleet::Event::Put(entry)));
            }
            Event::Put(Item::Node(node)) => process.members.borrow_mut().add_address(node.ip),
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
/// sends.
pub(crate) fn update_shares(process: &Process) {
    let nodes = process.members.borrow().active_nodes(process.clock.now());
    let before = process.budget.borrow_mut().set_nodes(nodes);
    if before != nodes {
        log::info!(target: "limits", nodes, before; "The shares of connections and extra sends changed with the number of active nodes.");
    }
    let table = process.table.borrow();
    for server in table.servers_in_use() {
        let record = table.record(server);
        process.pool.set_server(
            server,
            record.address,
            table.connection_limit(server),
            nodes + SPARE_NODES,
        );
        process.pool.preconnect(server);
    }
}

/// The number of nodes that may have joined but not sent a heartbeat yet; their share of
/// the connections stays free.
const SPARE_NODES: u32 = 1;

/// Registers this node, then lists the others periodically.
pub(crate) async fn register_and_list_nodes(process: Rc<Process>) {
    let settings = &process.settings;
    let node = Node {
        name: settings.name.clone(),
        ip: settings.ip,
        caller_address: settings.caller_address,
        data_centre: settings.data_centre.clone(),
    };
    let mut failures = 0;
    while let Err(error) = process.registry.register(&node).await {
        failures += 1;
        log::info!(target: "members", error:% = error, failures; "This node is not registered yet.");
        sleep(backoff(&process, failures)).await;
    }
    loop {
        match process.registry.list(Kind::Nodes).await {
            Ok(batch) => {
                apply_batch(&process, Kind::Nodes, batch, true);
                sleep(NODE_LIST_INTERVAL).await;
            }
            Err(error) => {
                failures += 1;
                log::info!(target: "members", error:% = error; "The nodes can't be listed.");
                sleep(backoff(&process, failures)).await;
            }
        }
    }
}

/// The interval between lists of the registered nodes; heartbeats announce new nodes in
/// between.
const NODE_LIST_INTERVAL: Duration = Duration::from_secs(30);
