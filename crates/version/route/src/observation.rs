//! What this node sees of its own attempts.
//!
//! Invariant: each [`Observation::Sent`] is followed by exactly one of the
//! others for the same server, so that the count of requests in flight is true.

use std::time::Duration;

use base::entity::Shard;
use wire::id::Snapshot;
use wire::upstream::Report;

/// One observation about one server.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// An attempt was handed to its connection, or to the line for one.
    Sent,
    /// A valid reply came.
    Replied {
        /// From handing over until the end of the reply.
        latency: Duration,
        /// What the server said about itself.
        report: Report,
        /// The snapshot that answered.
        snapshot: Snapshot,
        /// The shard that answered.
        shard: Shard,
    },
    /// The server certified that it did not run the attempt.
    Refused {
        /// When to come back.
        retry_after: Option<Duration>,
        /// What the server said about itself.
        report: Report,
    },
    /// The server answered, but from another snapshot or not for this shard.
    Mismatched {
        /// What the server said about itself.
        report: Report,
        /// The snapshot that was asked for.
        snapshot: Snapshot,
        /// The shard that was asked for.
        shard: Shard,
    },
    /// The attempt ended without a usable reply.
    Failed,
    /// This node never sent it: no fault of the server.
    NotSent,
    /// This node gave the attempt up, since another one won.
    Cancelled {
        /// How long it had been waited for.
        waited: Duration,
    },
}
