//! The state of each requested shard and of each attempt.
//!
//! Invariant: the attempts of a shard form a linked list from the newest to the
//! oldest, so that neither a shard nor an attempt needs an allocation of its own.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;

/// Whether a shard is covered.
#[derive(Clone, Debug, PartialEq)]
pub enum Coverage {
    /// Neither covered nor missing yet.
    Pending,
    /// Covered, with its result.
    Covered(serde_json::Value),
    /// Missing from the answer.
    Missing(Reason),
}

/// The state of one requested shard.
#[derive(Clone, Debug)]
pub struct ShardState {
    /// The number of the shard in the pinned snapshot's map.
    pub shard: Shard,
    /// Whether it is covered.
    pub coverage: Coverage,
    /// Number of attempts made.
    pub attempts: u32,
    /// Number of attempts whose reply is still awaited.
    pub live: u32,
    /// The newest attempt.
    pub newest: Option<Attempt>,
    /// Why the last attempt failed, or why the next one could not be made.
    pub reason: Option<Reason>,
    /// The retry-after of the last refusal.
    pub retry_after: Option<Duration>,
    /// When to hedge, or when to retry if no attempt is live.
    pub timer: Time,
    /// When the shard was first found to have no usable server or no attempts left.
    pub unavailable_since: Option<Time>,
}

impl ShardState {
    /// Creates the state of a shard without attempts.
    pub fn new(shard: Shard) -> Self {
        Self {
            shard,
            coverage: Coverage::Pending,
            attempts: 0,
            live: 0,
            newest: None,
            reason: None,
            retry_after: None,
            timer: Time::NEVER,
            unavailable_since: None,
        }
    }

    /// Whether the shard is neither covered nor missing yet.
    pub fn is_pending(&self) -> bool {
        self.coverage == Coverage::Pending
    }
}

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Emitted as an action, not yet handed to a connection.
    Queued,
    /// Handed to a connection.
    Sent,
    /// Ended without being sent.
    NotSent,
    /// Refused by the upstream, which confirmed that it did not run.
    Refused,
    /// Answered: its complete reply arrived.
    Ran,
    /// Cancelled after it was sent, with no completion received since.
    Cancelled,
    /// Ended in any other way; it may have run.
    Unknown,
}

impl Phase {
    /// Whether an attempt in this phase may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Sent | Self::Ran | Self::Cancelled | Self::Unknown)
    }
}

/// The state of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptState {
    /// The index of its shard's state, for the snapshot that was pinned when the
    /// attempt was made.
    pub shard_index: u32,
    /// The server that it was sent to.
    pub server: Server,
    /// Its phase.
    pub phase: Phase,
    /// Whether its reply is still awaited.
    pub live: bool,
    /// The shard's previous attempt.
    pub previous: Option<Attempt>,
}
