//! What the machine is told and what it asks for.
//!
//! Invariant: after an [`Action::Finish`] no action follows, and there is
//! exactly one.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Cause;
use wire::caller::Missing;
use wire::caller::Outcome;
use wire::caller::Part;
use wire::caller::Reason;
use wire::id;
use wire::id::Snapshot;
use wire::upstream::State;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The query begins.
    Start,
    /// An attempt is about to be handed to its connection.
    ///
    /// The shell handles this event first, and hands the message over only if
    /// [`crate::machine::Machine::may_send`] held: an attempt that was cancelled
    /// before this event counts as never sent.
    Sent {
        /// The attempt.
        attempt: Attempt,
    },
    /// A reply came on the attempt's connection, whatever it holds.
    Replied {
        /// The attempt whose connection it came on.
        attempt: Attempt,
        /// The reply.
        reply: Reply,
    },
    /// An attempt ended without a reply.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How.
        end: Completion,
    },
    /// The time asked for by the last [`Action::Wake`] has come.
    Timer,
    /// The caller closed its connection.
    CallerGone,
}

/// A reply as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The attempt that it names, if it names one.
    pub echo: Option<id::Attempt>,
    /// The snapshot that it names, if it names one.
    pub snapshot: Option<Snapshot>,
    /// The shard that it names, if it names one.
    pub shard: Option<Shard>,
    /// Whether the body was as long as announced and well formed.
    pub complete: bool,
    /// What was found; an empty result is a result.
    pub body: serde_json::Value,
}

/// How an attempt ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The message never left: it was given back, or no connection opened.
    NotSent(Reason),
    /// The upstream certified that it did not run.
    Refused {
        /// When to come back.
        retry_after: Option<Duration>,
        /// What the upstream says about itself.
        state: Option<State>,
    },
    /// It may have run.
    Unknown,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt.
    Send {
        /// The attempt.
        attempt: Attempt,
        /// Whom to ask.
        server: Server,
        /// For which shard.
        shard: Shard,
        /// At which snapshot.
        snapshot: Snapshot,
        /// When the upstream must be done: the query's deadline minus the way
        /// back.
        deadline: Time,
    },
    /// Give an attempt up; a connection that may still bring its reply is closed.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
    /// The reply of an attempt was not its own or not whole: close the
    /// connection that it came on.
    CloseConnection {
        /// The attempt.
        attempt: Attempt,
    },
    /// Deliver [`Event::Timer`] at this time; replaces the time asked for before.
    Wake {
        /// When.
        at: Time,
    },
    /// Tell the caller, at once.
    Finish(Response),
}

/// The last word on a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// At least one shard is covered, or none was asked.
    Answer(Answer),
    /// Nothing is covered.
    Refusal(Refusal),
}

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The one snapshot that every part comes from.
    pub snapshot: Snapshot,
    /// The covered shards, ascending.
    pub covered: Vec<u32>,
    /// The other asked shards, ascending.
    pub missing: Vec<Missing>,
    /// What was found, by shard, ascending.
    pub parts: Vec<Part>,
    /// Attempts that were sent, those before a restart included.
    pub sends: u32,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether any attempt may have run.
    pub outcome: Outcome,
    /// Why.
    pub cause: Cause,
    /// When to come back; `None` if coming back won't help.
    pub retry_after: Option<Duration>,
    /// Attempts that were sent.
    pub sends: u32,
}
