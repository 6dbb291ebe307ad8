//! Which shards of which snapshots a server can answer.
//!
//! Invariant: what this node saw on a reply goes before what a health report
//! says for a while, since the report may be older.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Shard;
use base::time::Time;
use wire::id::Snapshot;
use wire::upstream;

/// How long an own observation goes before reports.
const LASTS: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Seen {
    holds: bool,
    /// When this node saw it itself; `None` if a report said it.
    own: Option<Time>,
}

/// The holdings of one server.
#[derive(Clone, Debug, Default)]
pub struct Holdings {
    seen: BTreeMap<(Arc<str>, Shard, u64), Seen>,
}

fn key(snapshot: &Snapshot, shard: Shard) -> (Arc<str>, Shard, u64) {
    (Arc::clone(&snapshot.map), shard, snapshot.version)
}

impl Holdings {
    /// A server that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a health report, which lists all that the server holds.
    pub fn report(&mut self, now: Time, holds: &[upstream::ShardCopy]) {
        self.seen.retain(|_, seen| seen.own.is_some_and(|at| now.since(at) < LASTS));
        for holding in holds {
            let key = key(&holding.snapshot, Shard::from_u32(holding.shard));
            self.seen.entry(key).or_insert(Seen { holds: true, own: None });
        }
    }

    /// Notes that a reply proved (or a refusal denied) a holding.
    pub fn observe(&mut self, now: Time, snapshot: &Snapshot, shard: Shard, holds: bool) {
        self.seen.insert(key(snapshot, shard), Seen { holds, own: Some(now) });
    }

    /// Whether the server can answer `shard` of `snapshot`.
    pub fn has(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        self.seen.get(&key(snapshot, shard)).is_some_and(|seen| seen.holds)
    }

    /// The versions of one shard that the server holds.
    pub fn versions<'a>(&'a self, map: &Arc<str>, shard: Shard) -> impl Iterator<Item = u64> + 'a {
        let from = (Arc::clone(map), shard, 0);
        let to = (Arc::clone(map), shard, u64::MAX);
        let held = self.seen.range(from..=to).filter(|(_, seen)| seen.holds);
        held.map(|((_, _, version), _)| *version)
    }

    /// Forgets all, for a new incarnation.
    pub fn reset(&mut self) {
        self.seen.clear();
    }

    /// How many holdings are known.
    pub fn len(&self) -> usize {
        self.seen.values().filter(|seen| seen.holds).count()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
