//! The upstream servers as the requests of this node see them.
//!
//! Invariant: whether a server may get work is asked again at the moment of
//! sending; what was true when the attempt was queued does not count.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::request::driver;
use crate::request::driver::Ended;
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
    /// Told of new marks, so that peers learn of them.
    marks: Mutex<Option<Arc<dyn Fn(Vec<Withdrawal>) + Send + Sync>>>,
}

impl Upstreams {
    /// A table that is asked by the requests of this process.
    pub fn new(table: Table, clock: Clock) -> Self {
        Self { table: Mutex::new(table), clock, marks: Mutex::new(None) }
    }

    /// Sets who is told of new marks.
    pub fn on_marks(&self, told: Arc<dyn Fn(Vec<Withdrawal>) + Send + Sync>) {
        *self.marks.lock() = Some(told);
    }

    /// Runs `work` on the table under its lock.
    pub fn with<T>(&self, work: impl FnOnce(&mut Table) -> T) -> T {
        work(&mut self.table.lock())
    }

    /// Runs `work`, and passes on the marks that it gives back.
    pub fn learn(&self, work: impl FnOnce(&mut Table) -> Vec<Withdrawal>) {
        let marks = self.with(work);
        if marks.is_empty() {
            return;
        }
        for mark in &marks {
            log::info!(target: "route", "{mark}.");
        }
        let told = self.marks.lock().clone();
        if let Some(told) = told {
            told(marks);
        }
    }

    /// Where the servers in use listen.
    pub fn targets(&self) -> Vec<Target> {
        let table = self.table.lock();
        let used = table.iter().filter(|(_, record)| record.in_use);
        used.map(|(server, record)| target(server, record)).collect()
    }
}

fn target(server: Server, record: &route::server::Record) -> Target {
    Target {
        server,
        name: Arc::clone(&record.name),
        address: record.address,
        connections: record.connections,
    }
}

impl Eligibility for Upstreams {
    fn may_send(&self, server: Server) -> bool {
        self.table.lock().may_send(server)
    }
}

impl driver::Host for Upstreams {
    fn target(&self, server: Server) -> Option<Target> {
        let table = self.table.lock();
        table.get(server).filter(|record| record.in_use).map(|record| target(server, record))
    }

    fn began(&self, now: Time, server: Server) {
        self.learn(|table| table.observe(now, server, Observation::Sent));
    }

    fn ended(&self, now: Time, attempt: &Ended<'_>) {
        let seen = observation(attempt);
        self.learn(|table| table.observe(now, attempt.server, seen));
    }
}

fn observation(attempt: &Ended<'_>) -> Observation {
    let Some(waited) = attempt.waited else { return unsent(attempt.result) };
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

/// A refused connect is the server's fault: told as nothing, a dead server would
/// always have the fewest requests in flight and be chosen again.
fn unsent(result: Option<&Result<Reply, Error>>) -> Observation {
    match result {
        Some(Err(error)) if error.is_fault() => Observation::Failed,
        _ => Observation::NotSent,
    }
}

/// A reply counts for the server only if it answers this very attempt.
fn replied(request: &Request, reply: &Reply) -> Observation {
    if reply.echo != Some(request.attempt) || !reply.complete {
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

/// Chooses replicas for the requests of one service under one policy.
pub struct Chooser {
    upstreams: Arc<Upstreams>,
    service: Arc<str>,
    choice: Choice,
    quantile_percent: f64,
}

impl Chooser {
    /// A chooser for `service`; attempts are hedged after the quantile
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
            let fresh = table.pick(now, self.choice, snapshot, shard, tried);
            let any = fresh.or_else(|| table.pick(now, self.choice, snapshot, shard, &[]));
            any.ok_or_else(|| match table.is_held(snapshot, shard) {
                true => Reason::Leaving,
                false => Reason::NoReplica,
            })
        })
    }

    fn holds(&self, snapshot: &Snapshot, shard: Shard) -> bool {
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
