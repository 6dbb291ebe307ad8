//! Finds out whether a server has ended after a request to it broke off, or got no reply for long:
//! then no connection to it is open, or nothing comes on them, and new ones are refused or not
//! accepted. The ledger learns of it, and decides whether the request is still sent.
//!
//! A node that has lost its path to the servers can't tell, and takes no server for ended. Ends that
//! it found just before it lost its path are withdrawn.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::exchange::CallerRequest;
use crate::losses;
use crate::process::Process;
use base::entity::Server;
use base::time::Time;
use poison::identity::Identity;
use poison::ledger::Change;
use poison::ledger::Standing;

/// The time in which the other connections to a server that has ended are closed too.
const CLOSING_TIME: Duration = Duration::from_millis(10);
/// The maximum number of requests that are kept for one server.
const MAX_REQUESTS: usize = 64;

/// The time without any reply of a server from which it may have ended.
pub(crate) const MIN_SILENCE: Duration = Duration::from_millis(300);

/// The requests that broke off at servers which may have ended.
pub(crate) type Breaks = HashMap<Server, Vec<Identity>>;

/// Why a server may have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    /// The connection broke.
    Broken,
    /// The server has been silent for a while.
    Silent,
}

/// Whether a request may have ended the servers that ran it.
pub(crate) fn standing(process: &Process, request: &CallerRequest) -> Standing {
    let ledger = process.ledger.borrow();
    if ledger.is_empty() {
        Standing::Clear
    } else if request.is_trial.get() {
        Standing::Suspect
    } else {
        ledger.standing(process.clock.now(), request.identity())
    }
}

/// Whether any request has ended a server a short time ago, here or at another node.
pub(crate) fn has_recent_end(process: &Process) -> bool {
    process.ledger.borrow().has_recent_end(process.clock.now())
}

/// Begins the trial of a request that is blocked, if one is due.
pub(crate) fn begin(process: &Process, request: &CallerRequest) {
    if standing(process, request) != Standing::TrialDue {
        return;
    }
    let identity = request.identity();
    request.is_trial.set(true);
    process.ledger.borrow_mut().begin_trial(process.clock.now(), identity);
    process.ledger_changed.notify_one();
    process.metrics.record_poison_change("trial");
    log::info!(target: "poison", id = request.id.to_str().unwrap_or_default(), request:% = identity; "A blocked request is tried at one server.");
}

/// Until when a request is blocked, if it is.
pub(crate) fn blocked_until(process: &Process, request: &CallerRequest) -> Option<Time> {
    match standing(process, request) {
        Standing::Blocked { until } => Some(until),
        _ => None,
    }
}

/// The number of servers that are known to have ended under a request.
pub(crate) fn known_ends(process: &Process, request: &CallerRequest) -> usize {
    let ledger = process.ledger.borrow();
    if ledger.is_empty() { 0 } else { ledger.ends(request.identity()) }
}

/// Takes note that a request is sent to a server; returns whether the run counts since the request
/// is suspected.
pub(crate) fn run_begins(process: &Process, request: &CallerRequest) -> bool {
    let mut ledger = process.ledger.borrow_mut();
    !ledger.is_empty() && ledger.run_begins(process.clock.now(), request.identity())
}

/// Takes note that a server has run a request and answered it.
pub(crate) fn on_answer(process: &Process, request: &CallerRequest) {
    request.answered.set(true);
    if process.ledger.borrow().is_empty() {
        return;
    }
    let identity = request.identity();
    let change = process.ledger.borrow_mut().answered(process.clock.now(), identity);
    on_change(process, identity, change);
}

/// Ends the block of a request, as if a server had answered it.
pub(crate) fn release(process: &Process, identity: Identity) {
    let change = process.ledger.borrow_mut().answered(process.clock.now(), identity);
    on_change(process, identity, change);
}

/// Takes note that a request broke off at `server`, which it was sent to when `known_ends` servers
/// were known to have ended under it; checks the server unless that is under way.
pub(crate) fn on_break(
    process: &Rc<Process>,
    request: &CallerRequest,
    server: Server,
    known_ends: usize,
    sign: Sign,
) {
    request.broke_off.set(true);
    let identity = request.identity();
    {
        let (now, table) = (process.clock.now(), process.table.borrow());
        let (key, shard) = (table.key(server), table.record(server).service.as_u32());
        let mut ledger = process.ledger.borrow_mut();
        if request.answered.get() {
            ledger.answered_broke_off(now, identity, key);
        } else {
            ledger.leg_broke_off(now, identity, key, shard, known_ends);
        }
    }
    let mut breaks = process.breaks.borrow_mut();
    if let Some(requests) = breaks.get_mut(&server) {
        if requests.len() < MAX_REQUESTS && !requests.contains(&identity) {
            requests.push(identity);
        }
        return;
    }
    breaks.insert(server, vec![identity]);
    spawn_local(check(Rc::clone(process), server, sign));
}

async fn check(process: Rc<Process>, server: Server, sign: Sign) {
    sleep(CLOSING_TIME).await;
    let has_ended = process.pool.has_ended(server, sign).await
        && process.has_path()
        && !process.pool.losses().is_path();
    let Some(requests) = process.breaks.borrow_mut().remove(&server) else { return };
    let (now, key) = (process.clock.now(), process.table.borrow().key(server));
    if !has_ended {
        let mut ledger = process.ledger.borrow_mut();
        return requests.into_iter().for_each(|identity| ledger.server_runs(identity, key));
    }
    process.metrics.record_ended_server();
    let names: Vec<String> = requests.iter().map(ToString::to_string).collect();
    log::info!(target: "poison", server = process.server_id(server).as_ref(), requests = names.join(", "); "A server ended while requests ran there.");
    for identity in requests {
        let change = process.ledger.borrow_mut().server_ended(now, identity, key);
        on_change(&process, identity, change);
    }
}

/// Withdraws the ends of servers that this node has found just before it lost its path, for as long
/// as the process runs.
pub(crate) async fn watch_losses(process: Rc<Process>) {
    loop {
        process.pool.idle_broke().await;
        if process.ledger.borrow().is_empty() {
            continue;
        }
        // Connections that break together are noticed one after the other.
        sleep(CLOSING_TIME).await;
        let losses = process.pool.losses();
        if !losses.is_path() {
            continue;
        }
        let now = process.clock.now();
        let changes = process.ledger.borrow_mut().path_lost(now, losses::SPAN);
        if !changes.is_empty() {
            log::info!(target: "poison", lost = losses.lost, kept = losses.kept, requests = changes.len(); "Connections to most servers broke together; no request is taken for the cause.");
        }
        for (identity, change) in changes {
            on_change(&process, identity, change);
        }
    }
}

/// Logs a change that this node has seen itself, and tells the other nodes.
fn on_change(process: &Process, identity: Identity, change: Change) {
    report(process, identity, change);
    if change != Change::Nothing {
        process.ledger_changed.notify_one();
    }
}

/// Logs a change of what is known of a request.
pub(crate) fn report(process: &Process, identity: Identity, change: Change) {
    let ledger = process.ledger.borrow();
    let name = match change {
        Change::Nothing => return,
        Change::Suspected { ends } => {
            log::info!(target: "poison", request:% = identity, ends; "A request is suspected of ending servers.");
            "suspected"
        }
        Change::Blocked => {
            let table = process.table.borrow();
            let keys = ledger.ended_servers(identity);
            let names = keys.iter().map(|(key, _)| table.name_of(*key)).collect::<Vec<_>>();
            log::warn!(target: "poison", request:% = identity, servers = names.join(", "); "A request has ended servers and is blocked.");
            "blocked"
        }
        Change::Cleared { was_blocked } => {
            log::info!(target: "poison", request:% = identity, was_blocked; "A request is no longer suspected of ending servers.");
            "cleared"
        }
    };
    process.metrics.record_poison_change(name);
    process.metrics.record_blocked_requests(ledger.blocked(process.clock.now()).count());
}
