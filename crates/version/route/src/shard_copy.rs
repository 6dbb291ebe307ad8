//! The shard copies of a server: which shards of which snapshots it can answer.
//!
//! Invariant: for a few seconds, what this node observed on a reply takes
//! precedence over health reports, since a report may be older.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Shard;
use base::time::Time;
use wire::id::Snapshot;
use wire::upstream;

/// How long an observation of this node overrides health reports.
const OBSERVATION_TTL: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Entry {
    present: bool,
    /// When this node observed it on a reply; `None` if it comes from a report.
    observed_at: Option<Time>,
}

/// The shard copies of one server.
#[derive(Clone, Debug, Default)]
pub struct ShardCopies {
    entries: BTreeMap<(Arc<str>, Shard, u64), Entry>,
}

fn key(snapshot: &Snapshot, shard: Shard) -> (Arc<str>, Shard, u64) {
    (Arc::clone(&snapshot.map), shard, snapshot.version)
}

impl ShardCopies {
    /// A server without shard copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a health report, which lists all shard copies of the server.
    pub fn apply_report(&mut self, now: Time, copies: &[upstream::ShardCopy]) {
        self.entries
            .retain(|_, entry| entry.observed_at.is_some_and(|at| now.since(at) < OBSERVATION_TTL));
        for copy in copies {
            let key = key(&copy.snapshot, Shard::from_u32(copy.shard));
            self.entries.entry(key).or_insert(Entry { present: true, observed_at: None });
        }
    }

    /// Records that a reply came from this copy, or showed that the server lacks
    /// it.
    pub fn observe(&mut self, now: Time, snapshot: &Snapshot, shard: Shard, present: bool) {
        self.entries.insert(key(snapshot, shard), Entry { present, observed_at: Some(now) });
    }

    /// Whether the server can answer `shard` of `snapshot`.
    pub fn contains(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        self.entries.get(&key(snapshot, shard)).is_some_and(|entry| entry.present)
    }

    /// The versions of one shard that the server can answer.
    pub fn versions<'a>(&'a self, map: &Arc<str>, shard: Shard) -> impl Iterator<Item = u64> + 'a {
        let from = (Arc::clone(map), shard, 0);
        let to = (Arc::clone(map), shard, u64::MAX);
        let present = self.entries.range(from..=to).filter(|(_, entry)| entry.present);
        present.map(|((_, _, version), _)| *version)
    }

    /// Clears all entries, for a new incarnation.
    pub fn reset(&mut self) {
        self.entries.clear();
    }

    /// The number of shard copies.
    pub fn len(&self) -> usize {
        self.entries.values().filter(|entry| entry.present).count()
    }

    /// Whether the server has no shard copies.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
