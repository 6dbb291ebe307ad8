//! What is decided about a query before its first send.
//!
//! Invariant: a plan never changes. Its candidates are complete: the shards of a
//! target are numbers of that target's own map, so a restart under another map
//! never carries a shard number over.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Shard;
use base::time::Time;
use conf::object::Policy;
use conf::object::Value;
use wire::id::Incarnation;
use wire::id::Snapshot;

/// A snapshot and the shards to ask of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The asked shards, numbers of the snapshot's map; order and repeats
    /// don't matter.
    pub shards: Arc<[Shard]>,
}

/// How attempts are repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether slow attempts are hedged.
    pub hedge: bool,
    /// The most attempts of one shard under one snapshot, the first included;
    /// where coverage is valued, only those count that may have run.
    pub attempts: u32,
    /// The pause before a server is asked again, doubled after each attempt.
    pub pause: Duration,
    /// How long a shard is waited for that no server holds, takes or runs; only
    /// where coverage is valued, and up to the deadline at most.
    pub replica_wait: Duration,
    /// The time that must be left for a restart at another snapshot.
    pub restart_left: Duration,
    /// Taken off the deadline that upstreams are told, for the way back.
    pub network_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hedge: true,
            attempts: 3,
            pause: Duration::from_millis(2),
            replica_wait: Self::NO_LIMIT,
            restart_left: Duration::from_millis(50),
            network_time: Duration::from_millis(2),
        }
    }
}

impl Settings {
    /// Longer than any deadline.
    pub const NO_LIMIT: Duration = Duration::from_secs(3600);

    /// The settings that `policy` asks for.
    pub fn with_policy(policy: &Policy) -> Self {
        Self {
            hedge: policy.hedge.quantile_percent < 100.0 && policy.hedge.budget_percent > 0.0,
            attempts: policy.retry.attempts.max(1),
            ..Self::default()
        }
    }
}

/// Everything that a query is run by.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The node incarnation that runs it.
    pub node: Incarnation,
    /// Its number within the incarnation.
    pub request: u64,
    /// Where it may run, best first. One is pinned before the first send; the
    /// others are what a restart may use.
    pub candidates: Vec<Candidate>,
    /// Whether the caller named the shards: then only the first target's map may
    /// answer, since their numbers mean other shards in another one.
    pub named_shards: bool,
    /// The lowest index version that the answer may come from.
    pub min_version: u64,
    /// When the answer must be ready.
    pub deadline: Time,
    /// When a query that values the tail answers with what is covered.
    pub soft_deadline: Time,
    /// What the service values.
    pub preference: Value,
    /// Whether running it twice does harm.
    pub non_idempotent: bool,
    /// How attempts are repeated.
    pub settings: Settings,
}

impl Plan {
    /// A plan that values coverage and ends at `deadline`.
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
            preference: Value::Coverage,
            non_idempotent: false,
            settings: Settings::default(),
        }
    }

    /// The plan with the tail valued: it answers at `soft_deadline` if any shard is
    /// covered then.
    pub fn with_soft_deadline(mut self, soft_deadline: Time) -> Self {
        self.preference = Value::Tail;
        self.soft_deadline = soft_deadline;
        self
    }

    /// The plan of a request that names its shards.
    pub fn with_named_shards(mut self) -> Self {
        self.named_shards = true;
        self
    }

    /// The plan with a lowest index version.
    pub fn with_min_version(mut self, version: u64) -> Self {
        self.min_version = version;
        self
    }

    /// The plan of a request that must not run twice.
    pub fn with_non_idempotent(mut self) -> Self {
        self.non_idempotent = true;
        self
    }

    /// The plan with other settings.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Whether the target at `index` may answer.
    pub fn allows(&self, index: usize) -> bool {
        let Some(target) = self.candidates.get(index) else { return false };
        let single = !self.non_idempotent || target.shards.len() == 1;
        let meant = !self.named_shards || target.snapshot.map == self.candidates[0].snapshot.map;
        single && meant && target.snapshot.version >= self.min_version
    }
}
