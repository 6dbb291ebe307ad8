//! One ticket's entry in the table of the node incarnation that issued it.
//!
//! Invariant: an entry goes back from [`State::Sent`] to [`State::Running`] only after
//! the upstream confirmed that it did not run the request, or if the message was never
//! sent.

use std::fmt;

use crate::response::Response;
use base::time::Time;

/// The progress of a ticket's request.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// No request has arrived.
    Idle,
    /// The request is being handled; nothing has been sent upstream.
    Running,
    /// The request has been, or is just being, sent to an upstream.
    Sent,
    /// Finished with this response.
    Done(Response),
}

/// The state of one ticket.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The hash of the request that the ticket is bound to, once one has arrived.
    pub fingerprint: Option<u64>,
    /// The progress of its request.
    pub state: State,
    /// The end of the time in which its request may be sent.
    pub send_by: Time,
    /// The end of the time in which the ticket may first be used.
    pub use_by: Time,
    /// When the entry may be removed; well after its request may last be sent.
    pub expires: Time,
}

impl Entry {
    /// The entry of an unused ticket.
    pub fn new(use_by: Time, expires: Time) -> Self {
        Self { fingerprint: None, state: State::Idle, send_by: use_by, use_by, expires }
    }

    /// Whether the ticket's request may be sent at `now`.
    pub fn may_send(&self, now: Time) -> bool {
        self.state == State::Running && now < self.send_by
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.state {
            State::Idle => f.write_str("idle"),
            State::Running => f.write_str("running"),
            State::Sent => f.write_str("sent"),
            State::Done(response) => write!(f, "done, {response}"),
        }
    }
}
