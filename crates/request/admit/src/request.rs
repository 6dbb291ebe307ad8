//! The inputs and outputs of an admission controller.
//!
//! Invariant: every request is either admitted once, rejected once, or cancelled.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use wire::caller::Cause;
use wire::caller::Priority;

/// Identifies a request at one controller; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request{}", self.0)
    }
}

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller; the queue is fair between callers.
    pub caller: Arc<str>,
    /// The priority.
    pub priority: Priority,
    /// When the request must be answered.
    pub deadline: Time,
    /// The number of shards that the request reads.
    pub cost: u32,
}

/// The response to a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason: [`Cause::Overload`] or [`Cause::Deadline`].
    pub cause: Cause,
    /// When the caller may retry.
    pub retry_after: Duration,
}

/// The decision about a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now; its end must be reported to the controller.
    Admitted(Id),
    /// The request waits; an [`Action`] follows.
    Queued(Id),
    /// The request is rejected.
    Rejected(Rejection),
}

/// The decision about a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request runs now; its end must be reported to the controller.
    Run(Id),
    /// The request is rejected.
    Reject(Id, Rejection),
}

/// How a request that ran has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// Completely answered in time.
    Done,
    /// An upstream refused a shard's request, or no connection was free in time.
    Overloaded,
    /// Not answered before its deadline.
    Late,
    /// Cancelled by the caller, or failed for a reason that is unrelated to load.
    Other,
}
