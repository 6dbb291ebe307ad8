//! The search hits of a stand-in upstream server, computed from the query alone.
//!
//! Invariant: the same query body, shard and version give the same hits, and
//! different ones give different hits, so that a caller can check whether a
//! shard's result belongs to its own request.

use base::hash;

/// Hits that each shard returns.
pub const HITS_PER_SHARD: u64 = 3;

/// The hits of `query` on `shard` at `version`. The formatting of the JSON does
/// not matter.
pub fn of(query: &serde_json::Value, shard: u32, version: u64) -> Vec<String> {
    let text = query.to_string();
    let shard_at_version = format!("{shard}@{version}");
    let hit = |seed| format!("{:016x}", hash::stable(seed, &[&text, &shard_at_version]));
    (0..HITS_PER_SHARD).map(hit).collect()
}
