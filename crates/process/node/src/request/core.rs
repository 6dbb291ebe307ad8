//! The state machine of one query with its chooser, budget and recorder.
//!
//! Invariant: actions that the state machine requests while an attempt is being
//! sent are kept as pending and never lost.

use base::time::Time;
use query::context::Budget;
use query::context::Chooser;
use query::context::Context;
use query::event::Action;
use query::event::Event;
use query::machine::Machine;
use query::record::Recorder;
use query::trace::Trace;

/// The state machine, and what it is called with.
pub(crate) struct Core {
    pub(crate) machine: Machine,
    pub(crate) chooser: Box<dyn Chooser>,
    pub(crate) budget: Box<dyn Budget>,
    pub(crate) recorder: Option<Recorder>,
    /// Actions requested while an attempt was being sent.
    pub(crate) pending: Vec<Action>,
}

impl Core {
    /// Handles one event; appends the actions to execute to `actions`.
    pub(crate) fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let reused = std::mem::take(actions);
        let Some(recorder) = &self.recorder else {
            let mut context =
                Context::new(&mut *self.chooser, &mut *self.budget).with_actions(reused);
            self.machine.handle(now, event, &mut context);
            *actions = context.actions;
            return;
        };
        recorder.record_event(now, &event);
        let mut chooser = recorder.wrap_chooser(&mut *self.chooser);
        let mut budget = recorder.wrap_budget(&mut *self.budget);
        let mut context = Context::new(&mut chooser, &mut budget).with_actions(reused);
        self.machine.handle(now, event, &mut context);
        *actions = context.actions;
        recorder.record_actions(now, actions);
    }

    /// Returns the trace, if one is recorded.
    pub(crate) fn trace(&self) -> Option<Trace> {
        self.recorder.as_ref().map(|recorder| recorder.trace(self.machine.plan()))
    }
}
