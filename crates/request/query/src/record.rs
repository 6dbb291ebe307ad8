//! Records the trace of a running query.
//!
//! Invariant: recording changes no decision; without a recorder nothing is
//! recorded and nothing is paid for it.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::context::Budget;
use crate::context::Chooser;
use crate::event::Action;
use crate::event::Event;
use crate::plan::Plan;
use crate::trace::Decision;
use crate::trace::Line;
use crate::trace::Trace;
use crate::trace::What;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;
use wire::id::Snapshot;

struct Log {
    now: Time,
    lines: Vec<Line>,
}

/// Collects lines; a clone is another handle on the same lines.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<Log>>);

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// A recorder without lines.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(Log { now: Time::ZERO, lines: Vec::new() })))
    }

    /// Records an event; call it before the machine handles the event.
    pub fn record_event(&self, at: Time, event: &Event) {
        let mut log = self.0.lock();
        log.now = at;
        log.lines.push(Line::with_event(at, event));
    }

    /// Records what the machine asked for.
    pub fn record_actions(&self, at: Time, actions: &[Action]) {
        let lines = actions.iter().map(|action| Line::with_action(at, action));
        self.0.lock().lines.extend(lines);
    }

    /// `chooser` with its advice recorded.
    pub fn wrap_chooser<'a>(&self, chooser: &'a mut dyn Chooser) -> Recorded<&'a mut dyn Chooser> {
        Recorded { inner: chooser, recorder: self.clone() }
    }

    /// `budget` with its advice recorded.
    pub fn wrap_budget<'a>(&self, budget: &'a mut dyn Budget) -> Recorded<&'a mut dyn Budget> {
        Recorded { inner: budget, recorder: self.clone() }
    }

    /// The trace so far of the query that runs by `plan`.
    pub fn trace(&self, plan: &Plan) -> Trace {
        Trace { plan: plan.clone(), lines: self.0.lock().lines.clone() }
    }

    fn advice(&self, advice: Decision) {
        let mut log = self.0.lock();
        let at = log.now;
        log.lines.push(Line { at, what: What::Decision(advice) });
    }
}

/// A chooser or a budget whose advice is recorded.
pub struct Recorded<T> {
    inner: T,
    recorder: Recorder,
}

impl Chooser for Recorded<&mut dyn Chooser> {
    fn choose(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason> {
        let choice = self.inner.choose(now, snapshot, shard, tried);
        self.recorder.advice(Decision::Choose { shard, choice });
        choice
    }

    fn holds(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let holds = self.inner.holds(snapshot, shard);
        if !holds {
            self.recorder.advice(Decision::Mismatched { snapshot: snapshot.clone(), shard });
        }
        holds
    }

    fn hedge_delay(&self, server: Server) -> Duration {
        let delay = self.inner.hedge_delay(server);
        self.recorder.advice(Decision::Delay { server, delay });
        delay
    }
}

impl Budget for Recorded<&mut dyn Budget> {
    fn first_send(&mut self, now: Time) {
        self.inner.first_send(now);
    }

    fn take_hedge(&mut self, now: Time) -> bool {
        let allowed = self.inner.take_hedge(now);
        self.recorder.advice(Decision::Hedge(allowed));
        allowed
    }

    fn take_retry(&mut self, now: Time) -> bool {
        let allowed = self.inner.take_retry(now);
        self.recorder.advice(Decision::Retry(allowed));
        allowed
    }
}
