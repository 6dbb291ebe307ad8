//! The table of upstream servers, shared by all requests of this node.
//!
//! Invariant: whether a server may get work is checked again at the moment of
//! sending, because it may have changed since the attempt was queued.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::request::driver;
use crate::request::driver::EndedAttempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::object::Choice;
use entry::clock::Clock;
use pool::client::Eligibility;
use pool::error::Error;
use pool::error::Lost;
use pool::reply::Reply;
use pool::request::Request;
use pool::request::Target;
use query::context;
use route::observation::Observation;
use route::table::Table;
use route::withdrawal::Withdrawal;
use wire::caller::Reason;
use wire::id::Snapshot;

/// The hedge delay while there are too few samples for a quantile.
const FIRST_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// The table of servers, shared by all requests.
pub struct Upstreams {
    table: Mutex<Table>,
    clock: Clock,
    /// Called with new withdrawals, to announce them to peers.
    on_withdrawals: Mutex<Option<Arc<dyn Fn(Vec<Withdrawal>) + Send + Sync>>>,
}

impl Upstreams {
    /// Wraps a table for the requests of this process.
    pub fn new(table: Table, clock: Clock) -> Self {
        Self { table: Mutex::new(table), clock, on_withdrawals: Mutex::new(None) }
    }

    /// Sets the callback for new withdrawals.
    pub fn set_on_withdrawals(&self, callback: Arc<dyn Fn(Vec<Withdrawal>) + Send + Sync>) {
        *self.on_withdrawals.lock() = Some(callback);
    }

    /// Runs `work` on the table under its lock.
    pub fn with<T>(&self, work: impl FnOnce(&mut Table) -> T) -> T {
        work(&mut self.table.lock())
    }

    /// Runs `work` on the table under its lock, then announces the withdrawals that it
    /// returns.
    pub fn update(&self, work: impl FnOnce(&mut Table) -> Vec<Withdrawal>) {
        let withdrawals = self.with(work);
        if withdrawals.is_empty() {
            return;
        }
        for withdrawal in &withdrawals {
            log::info!(target: "route", "{withdrawal}.");
        }
        let callback = self.on_withdrawals.lock().clone();
        if let Some(callback) = callback {
            callback(withdrawals);
        }
    }

    /// Returns the addresses of the servers in use.
    pub fn targets(&self) -> Vec<Target> {
        let table = self.table.lock();
        let in_use = table.iter().filter(|(_, record)| record.in_use);
        in_use.map(|(server, record)| target(server, record)).collect()
    }
}

fn target(server: Server, record: &route::server::Record) -> Target {
    Target {
        server,
        name: Arc::clone(&record.name),
        address: record.address,
        max_connections: record.connections,
    }
}

impl Eligibility for Upstreams {
    fn may_send(&self, server: Server) -> bool {
        self.table.lock().may_send(server)
    }
}

impl driver::ServerTable for Upstreams {
    fn target(&self, server: Server) -> Option<Target> {
        let table = self.table.lock();
        table.get(server).filter(|record| record.in_use).map(|record| target(server, record))
    }

    fn attempt_started(&self, now: Time, server: Server) {
        self.update(|table| table.observe(now, server, Observation::Sent));
    }

    fn attempt_ended(&self, now: Time, attempt: &EndedAttempt<'_>) {
        let observation = observation(attempt);
        self.update(|table| table.observe(now, attempt.server, observation));
    }
}

fn observation(attempt: &EndedAttempt<'_>) -> Observation {
    let Some(waited) = attempt.elapsed else { return unsent(attempt.result) };
    let request = attempt.request;
    match attempt.result {
        None => Observation::Cancelled { waited },
        Some(Ok(reply)) => replied(request, reply),
        Some(Err(Error::NotSent(_))) => Observation::NotSent,
        Some(Err(Error::Refused { retry_after, report })) => {
            Observation::Refused { retry_after: *retry_after, report: *report }
        }
        Some(Err(Error::Unknown(Lost::Deadline))) => Observation::Cancelled { waited },
        Some(Err(Error::Unknown(_))) => Observation::Failed,
    }
}

/// Maps the result of an attempt that was not sent. A failed connect counts as a
/// failure of the server: otherwise a dead server would always have the fewest
/// requests in flight and be chosen again.
fn unsent(result: Option<&Result<Reply, Error>>) -> Observation {
    match result {
        Some(Err(error)) if error.is_server_failure() => Observation::Failed,
        _ => Observation::NotSent,
    }
}

/// Maps a reply. It counts as a success only if it answers this attempt, shard and
/// snapshot.
fn replied(request: &Request, reply: &Reply) -> Observation {
    if reply.attempt_id != Some(request.attempt) || !reply.complete {
        return Observation::Failed;
    }
    let snapshot = request.snapshot.clone();
    let shard = Shard::from_u32(request.shard);
    let report = reply.report;
    if reply.snapshot.as_ref() != Some(&snapshot) || reply.shard != Some(request.shard) {
        return Observation::Mismatched { report, snapshot, shard };
    }
    Observation::Replied { latency: reply.latency, report, snapshot, shard }
}

/// Selects replicas for the requests of one service under one policy.
pub struct Chooser {
    upstreams: Arc<Upstreams>,
    service: Arc<str>,
    choice: Choice,
    quantile_percent: f64,
}

impl Chooser {
    /// Creates a chooser for `service`; attempts are hedged after the quantile
    /// `quantile_percent` of its recent latencies.
    pub fn new(
        upstreams: Arc<Upstreams>,
        service: Arc<str>,
        choice: Choice,
        quantile_percent: f64,
    ) -> Self {
        Self { upstreams, service, choice, quantile_percent }
    }
}

impl context::Chooser for Chooser {
    fn choose(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason> {
        self.upstreams.with(|table| {
            if table.is_unreachable(now, snapshot, shard) {
                return Err(Reason::Unreachable);
            }
            let untried = table.pick(now, self.choice, snapshot, shard, tried);
            let server = untried.or_else(|| table.pick(now, self.choice, snapshot, shard, &[]));
            server.ok_or_else(|| match table.has_copy(snapshot, shard) {
                true => Reason::Leaving,
                false => Reason::NoReplica,
            })
        })
    }

    fn is_held(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        self.upstreams.with(|table| !table.candidates(snapshot, shard, &[]).is_empty())
    }

    fn hedge_delay(&self, _server: Server) -> Duration {
        let now = self.upstreams.clock.now();
        let delay = self
            .upstreams
            .with(|table| table.hedge_delay(now, &self.service, self.quantile_percent));
        delay.unwrap_or(FIRST_HEDGE_DELAY)
    }
}
