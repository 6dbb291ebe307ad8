//! The state that a machine keeps for each service and each attempt.

use crate::event::Cause;
use base::entity::Attempt;
use base::entity::Server;
use base::time::Time;

/// Whether a service has answered.
#[derive(Clone, Debug)]
pub(crate) enum State<R> {
    /// Its answer is awaited.
    Pending,
    /// Its answer.
    Covered(R),
    /// It will not answer.
    Missing,
}

/// The progress of a request at one service.
#[derive(Clone, Debug)]
pub(crate) struct Progress<R> {
    pub(crate) state: State<R>,
    /// The servers chosen since the list was last cleared.
    pub(crate) tried: Vec<Server>,
    /// The number of sends, each of which starts an attempt; includes attempts that
    /// failed before the request left this node.
    pub(crate) sends: u32,
    /// The number of attempts that have not ended.
    pub(crate) in_flight: u32,
    /// The number of attempts that may have run.
    pub(crate) possible_runs: u32,
    /// Whether an attempt has reached a server.
    pub(crate) reached: bool,
    /// When to send the next attempt: a hedge if one is in flight, else a retry.
    pub(crate) next_attempt_at: Time,
    /// Why the last attempt gave no answer.
    pub(crate) cause: Cause,
    /// The last failure reply of a server.
    pub(crate) failure: Option<R>,
}

impl<R> Progress<R> {
    pub(crate) fn new() -> Self {
        Self {
            state: State::Pending,
            tried: Vec::new(),
            sends: 0,
            in_flight: 0,
            possible_runs: 0,
            reached: false,
            next_attempt_at: Time::NEVER,
            cause: Cause::NoServer,
            failure: None,
        }
    }

    pub(crate) fn is_pending(&self) -> bool {
        matches!(self.state, State::Pending)
    }
}

/// The state of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptState {
    /// The index of its service in the plan.
    pub(crate) service_index: usize,
    /// When an extra send was taken from the budget for it; `None` for others.
    pub(crate) extra_at: Option<Time>,
    pub(crate) in_flight: bool,
}

/// The attempts of a request by their number.
pub(crate) type Attempts = cranelift_entity::PrimaryMap<Attempt, AttemptState>;
