//! What a machine keeps for each asked shard and for each attempt.
//!
//! Invariant: the attempts of a slot form a list from the newest to the oldest,
//! so that neither a slot nor an attempt owns an allocation.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;

/// Whether a shard is covered.
#[derive(Clone, Debug, PartialEq)]
pub enum Cover {
    /// Not decided.
    Open,
    /// Answered; holds what was found.
    Covered(serde_json::Value),
    /// Given up.
    Missing(Reason),
}

/// One asked shard.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Its number in the pinned snapshot's map.
    pub shard: Shard,
    /// Whether it is covered.
    pub cover: Cover,
    /// Attempts made for it.
    pub attempts: u32,
    /// Attempts that may still bring a reply.
    pub live: u32,
    /// The newest attempt.
    pub newest: Option<Attempt>,
    /// Why the last attempt failed.
    pub reason: Option<Reason>,
    /// When the server that last refused wants to be asked again.
    pub retry_after: Option<Duration>,
    /// When to hedge, or to try again if no attempt is live.
    pub alarm: Time,
    /// When it was first found that no server can answer.
    pub lost_at: Option<Time>,
}

impl Slot {
    /// A slot without attempts.
    pub fn new(shard: Shard) -> Self {
        Self {
            shard,
            cover: Cover::Open,
            attempts: 0,
            live: 0,
            newest: None,
            reason: None,
            retry_after: None,
            alarm: Time::NEVER,
            lost_at: None,
        }
    }

    /// Whether it is not decided.
    pub fn is_open(&self) -> bool {
        self.cover == Cover::Open
    }
}

/// How far an attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Handed to the shell, not to a connection.
    Queued,
    /// Handed to a connection.
    Sent,
    /// Ended without being sent.
    NotSent,
    /// Ended by a certificate that it did not run.
    Refused,
    /// Its own whole reply came.
    Ran,
    /// Given up after it was sent, and nothing heard since.
    Cancelled,
    /// Ended otherwise.
    Unknown,
}

impl Phase {
    /// Whether an attempt of this phase may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Sent | Self::Ran | Self::Cancelled | Self::Unknown)
    }
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// The index of its slot, under the snapshot that was pinned when it was made.
    pub slot: u32,
    /// Who was asked.
    pub server: Server,
    /// How far it came.
    pub phase: Phase,
    /// Whether its reply is still wanted.
    pub live: bool,
    /// The slot's attempt before it.
    pub older: Option<Attempt>,
}
