//! Records the trace of a running query.
//!
//! Invariant: recording does not change any decision, and costs nothing for a query
//! without a recorder.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::context::Budget;
use crate::context::Chooser;
use crate::event::Action;
use crate::event::Event;
use crate::plan::Plan;
use crate::trace::Decision;
use crate::trace::Entry;
use crate::trace::Line;
use crate::trace::Trace;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;
use wire::id::Snapshot;

struct RecorderState {
    now: Time,
    lines: Vec<Line>,
}

/// Collects the lines of a trace; clones append to the same trace.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<RecorderState>>);

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// Creates a recorder without lines.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(RecorderState { now: Time::ZERO, lines: Vec::new() })))
    }

    /// Records an event; must be called before the machine handles the event.
    pub fn record_event(&self, at: Time, event: &Event) {
        let mut state = self.0.lock();
        state.now = at;
        state.lines.push(Line::with_event(at, event));
    }

    /// Records the emitted actions.
    pub fn record_actions(&self, at: Time, actions: &[Action]) {
        let lines = actions.iter().map(|action| Line::with_action(at, action));
        self.0.lock().lines.extend(lines);
    }

    /// Wraps `chooser` so that its decisions are recorded.
    pub fn wrap_chooser<'a>(&self, chooser: &'a mut dyn Chooser) -> Recorded<&'a mut dyn Chooser> {
        Recorded { inner: chooser, recorder: self.clone() }
    }

    /// Wraps `budget` so that its decisions are recorded.
    pub fn wrap_budget<'a>(&self, budget: &'a mut dyn Budget) -> Recorded<&'a mut dyn Budget> {
        Recorded { inner: budget, recorder: self.clone() }
    }

    /// The trace recorded so far, with the query's `plan`.
    pub fn trace(&self, plan: &Plan) -> Trace {
        Trace { plan: plan.clone(), lines: self.0.lock().lines.clone() }
    }

    fn record_decision(&self, decision: Decision) {
        let mut state = self.0.lock();
        let at = state.now;
        state.lines.push(Line { at, entry: Entry::Decision(decision) });
    }
}

/// A chooser or a budget whose decisions are recorded.
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
        self.recorder.record_decision(Decision::Choose { shard, choice });
        choice
    }

    fn is_held(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let is_held = self.inner.is_held(snapshot, shard);
        if !is_held {
            self.recorder
                .record_decision(Decision::Mismatched { snapshot: snapshot.clone(), shard });
        }
        is_held
    }

    fn hedge_delay(&self, server: Server) -> Duration {
        let delay = self.inner.hedge_delay(server);
        self.recorder.record_decision(Decision::Delay { server, delay });
        delay
    }
}

impl Budget for Recorded<&mut dyn Budget> {
    fn first_send(&mut self, now: Time) {
        self.inner.first_send(now);
    }

    fn take_hedge(&mut self, now: Time) -> bool {
        let allowed = self.inner.take_hedge(now);
        self.recorder.record_decision(Decision::Hedge(allowed));
        allowed
    }

    fn take_retry(&mut self, now: Time) -> bool {
        let allowed = self.inner.take_retry(now);
        self.recorder.record_decision(Decision::Retry(allowed));
        allowed
    }
}
