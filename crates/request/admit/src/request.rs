//! What goes into a controller and what comes out.
//!
//! Invariant: every request gets exactly one [`Decision::Admitted`], or one
//! refusal, or is withdrawn.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use wire::caller::Cause;
use wire::caller::Priority;

/// Names a request at one controller; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ask{}", self.0)
    }
}

/// A request that asks to be let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Who asks; fairness goes by it.
    pub caller: Arc<str>,
    /// How urgent it is.
    pub priority: Priority,
    /// When it must be answered.
    pub deadline: Time,
    /// The shards that it asks.
    pub cost: u32,
}

/// A final answer to a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why: [`Cause::Overload`] or [`Cause::Deadline`].
    pub cause: Cause,
    /// When to come back.
    pub retry_after: Duration,
}

/// What becomes of a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now; its end is to be told.
    Admitted(Id),
    /// It waits; an [`Action`] follows.
    Queued(Id),
    /// It is refused.
    Rejected(Rejection),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It runs now; its end is to be told.
    Run(Id),
    /// It is refused.
    Reject(Id, Rejection),
}

/// How a request that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// Whole and in time.
    Done,
    /// An upstream refused a part of it, or a part found no connection in time.
    Overloaded,
    /// Past its deadline.
    Late,
    /// The caller left, or it failed in a way that tells nothing about load.
    Other,
}
