//! The progress and the results of this node's attempts.
//!
//! Invariant: each [`Observation::Sent`] is followed by exactly one of the
//! others for the same server, so that the count of requests in flight is right.

use std::time::Duration;

use base::entity::Shard;
use wire::id::Snapshot;
use wire::upstream::Report;

/// One observation about one server.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An attempt was handed to a connection, or queued for one.
    Sent,
    /// A valid reply arrived.
    Replied {
        /// From [`Observation::Sent`] until the end of the reply.
        latency: Duration,
        /// The server's report about itself.
        report: Report,
        /// The snapshot that answered.
        snapshot: Snapshot,
        /// The shard that answered.
        shard: Shard,
    },
    /// The server stated that it did not run the attempt.
    Refused {
        /// The delay that the server asks for.
        retry_after: Option<Duration>,
        /// The server's report about itself.
        report: Report,
    },
    /// The server answered from another snapshot or for another shard.
    Mismatched {
        /// The server's report about itself.
        report: Report,
        /// The requested snapshot.
        snapshot: Snapshot,
        /// The requested shard.
        shard: Shard,
    },
    /// The attempt ended without a usable reply.
    Failed,
    /// This node never sent the attempt, for a reason of its own.
    NotSent,
    /// This node cancelled the attempt: another one was faster, or the deadline
    /// passed.
    Cancelled {
        /// How long this node had waited for the reply.
        waited: Duration,
    },
}
