//! What a machine keeps for each service.

use crate::event::Cause;
use base::entity::Attempt;
use base::entity::Server;
use base::time::Time;

/// How a service stands.
#[derive(Clone, Debug)]
pub(crate) enum State<R> {
    /// Its answer is awaited.
    Open,
    /// Its answer.
    Covered(R),
    /// It will give none.
    Lost,
}

/// One service of a request.
#[derive(Clone, Debug)]
pub(crate) struct Slot<R> {
    pub(crate) state: State<R>,
    /// The servers that were asked.
    pub(crate) tried: Vec<Server>,
    /// Attempts made.
    pub(crate) sends: u32,
    /// Attempts without an end.
    pub(crate) live: u32,
    /// Attempts that may have run.
    pub(crate) ran: u32,
    /// Whether a request has reached a server.
    pub(crate) reached: bool,
    /// When to ask another server, or to try again if no attempt is live.
    pub(crate) alarm: Time,
    /// Why the last attempt gave no answer.
    pub(crate) cause: Cause,
    /// The last failure that a server told.
    pub(crate) failure: Option<R>,
}

impl<R> Slot<R> {
    pub(crate) fn new() -> Self {
        Self {
            state: State::Open,
            tried: Vec::new(),
            sends: 0,
            live: 0,
            ran: 0,
            reached: false,
            alarm: Time::NEVER,
            cause: Cause::NoServer,
            failure: None,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try {
    pub(crate) slot: usize,
    pub(crate) extra: bool,
    pub(crate) live: bool,
}

/// The attempts of a request by their number.
pub(crate) type Tries = cranelift_entity::PrimaryMap<Attempt, Try>;
