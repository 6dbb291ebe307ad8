//! One ticket's entry in the minter's table.
//!
//! Invariant: an entry passes from [`State::Sent`] back to an unsent state only
//! by a certificate that the upstream did not run it.

use std::fmt;

use crate::response::Response;
use base::time::Time;

/// How far a ticket came.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// No request has come.
    Idle,
    /// A request runs; nothing is sent.
    Running,
    /// A request runs and an upstream was, or is just being, sent it.
    Sent,
    /// Decided.
    Done(Response),
}

/// One ticket.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The hash of the request that it is bound to, once one came.
    pub fingerprint: Option<u64>,
    /// How far it came.
    pub state: State,
    /// Until when its request may be sent.
    pub send_by: Time,
    /// Until when it may first be used.
    pub use_by: Time,
    /// When the entry may be forgotten; long after its request may last be sent.
    pub expires: Time,
}

impl Entry {
    /// An unused ticket.
    pub fn new(use_by: Time, expires: Time) -> Self {
        Self { fingerprint: None, state: State::Idle, send_by: use_by, use_by, expires }
    }

    /// Whether its request may be sent at `now`.
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
            State::Done(last) => write!(f, "done, {last}"),
        }
    }
}
