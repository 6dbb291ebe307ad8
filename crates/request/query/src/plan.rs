//! The plan of a query: everything that is decided before its first send.
//!
//! Invariant: a plan does not change. Each candidate has its own list of shards,
//! numbered by its own map, so a restart under another map never reuses a shard
//! number of the previous map.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Shard;
use base::time::Time;
use conf::object::Policy;
use conf::object::Preference;
use wire::id::Incarnation;
use wire::id::Snapshot;

/// A snapshot that may answer the query, and the shards to request from it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The requested shards, numbered by the snapshot's map. Order and
    /// duplicates don't matter.
    pub shards: Arc<[Shard]>,
}

/// Settings of retries and hedges.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether slow attempts are hedged.
    pub hedge: bool,
    /// The maximum number of attempts for one shard at one snapshot, including
    /// the first. If the service prefers coverage, only attempts that may have run
    /// are counted.
    pub max_attempts: u32,
    /// The base of the pause before a server is tried again. It is doubled with each
    /// attempt made, up to 64 times the base.
    pub pause: Duration,
    /// How long to keep trying a shard that no server holds, or whose attempts were
    /// all refused or not sent. Only used if the service prefers coverage, and
    /// bounded by the deadline.
    pub replica_wait: Duration,
    /// The minimum remaining time for a restart at another snapshot.
    pub restart_left: Duration,
    /// Subtracted from the deadline that is sent to upstreams, to leave time for
    /// the reply to arrive.
    pub network_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hedge: true,
            max_attempts: 3,
            pause: Duration::from_millis(2),
            replica_wait: Self::NO_LIMIT,
            restart_left: Duration::from_millis(50),
            network_time: Duration::from_millis(2),
        }
    }
}

impl Settings {
    /// A duration longer than any deadline.
    pub const NO_LIMIT: Duration = Duration::from_secs(3600);

    /// The settings of `policy`.
    pub fn with_policy(policy: &Policy) -> Self {
        Self {
            hedge: policy.hedge.quantile_percent < 100.0 && policy.hedge.budget_percent > 0.0,
            max_attempts: policy.retry.attempts.max(1),
            ..Self::default()
        }
    }
}

/// The plan of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The node incarnation that runs the query.
    pub node: Incarnation,
    /// The number of the query within the incarnation.
    pub request: u64,
    /// The snapshots that may answer, in order of preference. One is pinned before
    /// the first send; a restart may use another one.
    pub candidates: Vec<Candidate>,
    /// Whether the caller named the shards. If so, only the map of the first
    /// candidate may answer, since the numbers mean other shards in another map.
    pub named_shards: bool,
    /// The lowest index version that may answer.
    pub min_version: u64,
    /// When the response must be ready.
    pub deadline: Time,
    /// When a query that prefers low tail latency answers with the shards covered
    /// so far.
    pub soft_deadline: Time,
    /// What the service prefers: low tail latency or full coverage.
    pub preference: Preference,
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
    /// Settings of retries and hedges.
    pub settings: Settings,
}

impl Plan {
    /// Creates a plan that prefers coverage and ends at `deadline`.
    pub fn new(
        node: Incarnation,
        request: u64,
        candidates: Vec<Candidate>,
        deadline: Time,
    ) -> Self {
        Self {
            node,
            request,
            candidates,
            named_shards: false,
            min_version: 0,
            deadline,
            soft_deadline: deadline,
            preference: Preference::Coverage,
            non_idempotent: false,
            settings: Settings::default(),
        }
    }

    /// Makes the plan prefer low tail latency: it answers at `soft_deadline` if any
    /// shard is covered by then.
    pub fn with_soft_deadline(mut self, soft_deadline: Time) -> Self {
        self.preference = Preference::Tail;
        self.soft_deadline = soft_deadline;
        self
    }

    /// Marks the shards as named by the caller.
    pub fn with_named_shards(mut self) -> Self {
        self.named_shards = true;
        self
    }

    /// Sets the lowest index version that may answer.
    pub fn with_min_version(mut self, version: u64) -> Self {
        self.min_version = version;
        self
    }

    /// Marks the request as one that must not run twice.
    pub fn with_non_idempotent(mut self) -> Self {
        self.non_idempotent = true;
        self
    }

    /// Replaces the settings.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Whether the candidate at `index` may answer.
    pub fn allows(&self, index: usize) -> bool {
        let Some(candidate) = self.candidates.get(index) else { return false };
        let single_shard = !self.non_idempotent || candidate.shards.len() == 1;
        let same_map =
            !self.named_shards || candidate.snapshot.map == self.candidates[0].snapshot.map;
        single_shard && same_map && candidate.snapshot.version >= self.min_version
    }
}
