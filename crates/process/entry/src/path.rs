//! Watches which services this node reaches, and tries those that it has lost.
//!
//! Lost services are found again by single trial connections. A node that loses its path again
//! soon after that tries again later and later, so that lookups don't name it in turns.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::members::WHOLE_REACH;
use crate::members::has_path;
use crate::process::Process;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;

/// The interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A gap between two checks above this means that this node was paused, not the servers.
const MAX_CHECK_GAP: Duration = Duration::from_millis(180);
/// The delay between a loss and the first trial, doubled with each loss that follows soon.
const MIN_TRIAL_DELAY: Duration = Duration::from_millis(300);
const MAX_TRIAL_DELAY: Duration = Duration::from_millis(2400);
/// A loss later than this after the last one counts as the first again.
const RELAPSE_TIME: Duration = Duration::from_secs(10);
/// The number of servers to which a node opens a trial connection before it starts to serve.
const PROOF_SERVERS: usize = 3;
/// How long such a connection proves that servers can be reached.
const PROOF_LIFETIME: Duration = Duration::from_secs(3);

/// The state of the trials.
#[derive(Default)]
struct Trials {
    lost_at: Option<Time>,
    delay: Duration,
    proof_servers: Vec<Server>,
    proven_at: Option<Time>,
}

impl Trials {
    /// Records that services were lost, while there was none before.
    fn on_loss(&mut self, now: Time) {
        let relapses = self.lost_at.is_some_and(|at| now.since(at) < RELAPSE_TIME + self.delay);
        self.delay = if relapses { self.delay * 2 } else { MIN_TRIAL_DELAY }.min(MAX_TRIAL_DELAY);
        self.lost_at = Some(now);
    }

    fn are_due(&self, now: Time) -> bool {
        self.lost_at.is_some_and(|at| now.since(at) >= self.delay)
    }
}

/// Checks at each interval for as long as the process runs.
pub(crate) async fn watch(process: Rc<Process>) {
    let mut trials = Trials::default();
    let mut last: Option<Time> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = process.clock.now();
        let paused = last.is_some_and(|last| now.since(last) > MAX_CHECK_GAP);
        last = Some(now);
        if !paused {
            process.table.borrow_mut().detect_silence(now);
        }
        let lost: Vec<Service> = process.table.borrow().reach().lost().collect();
        if trials.are_due(now) {
            lost.iter().for_each(|service| try_service(&process, *service));
        }
        update_proof(&process, &mut trials, now);
        report(&process, &mut trials, now);
    }
}

/// Finds a lost service again if a connection to one of its servers is open; otherwise opens one.
fn try_service(process: &Process, service: Service) {
    let servers: Vec<Server> = {
        let table = process.table.borrow();
        table.servers_of(service).filter(|server| !table.record(*server).evacuated).collect()
    };
    match servers.iter().find(|server| process.pool.has_idle(**server)) {
        Some(server) => process.table.borrow_mut().connected(process.clock.now(), *server),
        None => {
            let fraction = process.table.borrow_mut().random_fraction();
            let index = (fraction * servers.len() as f64) as usize;
            if let Some(server) = servers.get(index.min(servers.len().saturating_sub(1))) {
                process.pool.preconnect(*server);
            }
        }
    }
}

/// Opens trial connections while this node must show that it reaches servers.
fn update_proof(process: &Process, trials: &mut Trials, now: Time) {
    let is_fresh = trials.proven_at.is_some_and(|at| now.since(at) < PROOF_LIFETIME);
    process.path_proven.set(is_fresh);
    if !process.role.borrow().needs_proof() || is_fresh {
        return;
    }
    if trials.proof_servers.iter().any(|server| process.pool.has_idle(*server)) {
        trials.proven_at = Some(now);
        trials.proof_servers.clear();
        process.path_proven.set(true);
        return;
    }
    let mut table = process.table.borrow_mut();
    let servers: Vec<Server> =
        table.named_servers().filter(|server| !table.record(*server).evacuated).collect();
    trials.proof_servers.clear();
    for _ in 0..PROOF_SERVERS.min(servers.len()) {
        let index = (table.random_fraction() * servers.len() as f64) as usize;
        trials.proof_servers.extend(servers.get(index));
    }
    drop(table);
    trials.proof_servers.iter().for_each(|server| process.pool.preconnect(*server));
}

/// Logs how much this node reaches and tells the others, if that has changed.
fn report(process: &Process, trials: &mut Trials, now: Time) {
    let table = process.table.borrow();
    let percent = table.reach().percent();
    let before = process.reach.replace(percent);
    if before == percent {
        return;
    }
    process.metrics.record_reach(percent);
    let lost: Vec<Service> = table.reach().lost().collect();
    let names: Vec<String> =
        lost.iter().map(|service| table.service_name(*service).to_string()).collect();
    log::info!(target: "upstream", percent, before, lost = names.join(", "); "The services that this node reaches changed.");
    if before == WHOLE_REACH {
        trials.on_loss(now);
    }
    let best = process.members.borrow().best_reach(now, before.max(percent));
    let (had_path, has_path) = (has_path(before, best), has_path(percent, best));
    if had_path && !has_path {
        // A connection that was open before the loss would not show that the path is back.
        let servers = lost.iter().flat_map(|service| table.servers_of(*service));
        servers.for_each(|server| process.pool.close_idle(server));
        process.path_lost.notify_waiters();
    }
    if has_path {
        process.forwards.clear();
    }
    if had_path != has_path {
        process.reach_changed.notify_one();
    }
}
