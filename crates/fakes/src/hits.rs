//! What an upstream finds for a query, made from the query alone.
//!
//! Invariant: the same query body, shard and version give the same hits, and
//! others give others, so that a caller can tell whether a part belongs to its
//! own request.

use base::hash;

/// Hits that each shard returns.
pub const PER_SHARD: u64 = 3;

/// The hits of `query` on `shard` at `version`; formatting of the JSON does not
/// matter.
pub fn of(query: &serde_json::Value, shard: u32, version: u64) -> Vec<String> {
    let text = query.to_string();
    let place = format!("{shard}@{version}");
    let hit = |seed| format!("{:016x}", hash::stable(seed, &[&text, &place]));
    (0..PER_SHARD).map(hit).collect()
}
