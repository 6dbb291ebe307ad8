//! The inputs (events) and outputs (actions) of the state machine.
//!
//! Invariant: a query emits exactly one [`Action::Finish`], as its last action.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::MissingShard;
use wire::caller::Reason;
use wire::caller::ShardResult;
use wire::id;
use wire::id::Snapshot;
use wire::upstream::State;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The query starts.
    Start,
    /// An attempt is about to be handed to its connection.
    ///
    /// The driver first checks [`crate::machine::Machine::may_send`], then delivers
    /// this event, then hands the request to the connection. An attempt that was
    /// cancelled before this event counts as not sent.
    Sent {
        /// The attempt.
        attempt: Attempt,
    },
    /// A reply arrived on the attempt's connection. It may belong to another
    /// attempt.
    Replied {
        /// The attempt whose connection the reply arrived on.
        attempt: Attempt,
        /// The reply.
        reply: Reply,
    },
    /// An attempt ended without a reply.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        completion: Completion,
    },
    /// The time of the last [`Action::Wake`] has passed.
    Timer,
    /// The caller closed its connection.
    CallerGone,
}

/// A reply as it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The attempt id that the reply carries, if any.
    pub attempt_id: Option<id::Attempt>,
    /// The snapshot that the reply carries, if any.
    pub snapshot: Option<Snapshot>,
    /// The shard that the reply carries, if any.
    pub shard: Option<Shard>,
    /// Whether the body has its announced length and is well formed.
    pub complete: bool,
    /// The result; an empty result counts as a result.
    pub body: serde_json::Value,
}

/// How an attempt ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It was not sent: the connection pool returned the request unsent, or no
    /// connection could be opened.
    NotSent(Reason),
    /// The upstream refused it and confirmed that it did not run.
    Refused {
        /// The upstream's retry-after, if it sent one.
        retry_after: Option<Duration>,
        /// The state that the upstream reported, if any.
        state: Option<State>,
    },
    /// It may have run.
    Unknown,
}

/// An output of the state machine, to be carried out by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: Attempt,
        /// The server to send it to.
        server: Server,
        /// The requested shard.
        shard: Shard,
        /// The requested snapshot.
        snapshot: Snapshot,
        /// When the upstream must have finished: the query's deadline minus the
        /// network time of the reply.
        deadline: Time,
    },
    /// Cancel an attempt. A connection that may still deliver its reply is closed.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// Close the connection of an attempt, because the reply on it belongs to
    /// another attempt or is incomplete.
    CloseConnection {
        /// The attempt.
        attempt: Attempt,
    },
    /// Deliver [`Event::Timer`] at this time; replaces the time of an earlier
    /// [`Action::Wake`].
    Wake {
        /// The time.
        at: Time,
    },
    /// Send the response to the caller at once.
    Finish(Response),
}

/// The response to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// At least one shard is covered, or no shard was requested.
    Answer(Answer),
    /// No shard is covered.
    Refusal(Refusal),
}

/// The merged results of the covered shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The snapshot that every result comes from.
    pub snapshot: Snapshot,
    /// The covered shards, in ascending order.
    pub covered: Vec<u32>,
    /// The requested shards that are not covered, in ascending order.
    pub missing: Vec<MissingShard>,
    /// The results of the covered shards, in ascending order of the shards.
    pub parts: Vec<ShardResult>,
    /// Number of attempts sent, including those before a restart.
    pub sends: u32,
}

/// A response without results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether any attempt may have run.
    pub outcome: Execution,
    /// Why there are no results.
    pub cause: Cause,
    /// When the caller may retry; `None` if a retry would not help.
    pub retry_after: Option<Duration>,
    /// Number of attempts sent.
    pub sends: u32,
}
