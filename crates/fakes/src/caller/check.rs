//! Whether an answer is honest.
//!
//! Invariant: a check only uses what the caller itself knows: its request, the
//! number of shards if it was told, and how upstreams make hits.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::hits;
use wire::caller::Answer;
use wire::caller::Query;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// It is for another service.
    Service,
    /// Covered and missing together are not what was asked.
    Coverage,
    /// The parts are not of the covered shards, each once.
    Parts,
    /// A part comes from another version than the answer's.
    Version,
    /// A part is not what the upstream makes for this request.
    Foreign,
    /// The version is below the minimum that the request named.
    Backwards,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "service",
            Self::Coverage => "coverage",
            Self::Parts => "parts",
            Self::Version => "version",
            Self::Foreign => "foreign",
            Self::Backwards => "backwards",
        })
    }
}

/// Everything that is wrong with an answer; `shards` is the size of the map, if
/// known.
pub fn violations(query: &Query, answer: &Answer, shards: Option<u32>) -> BTreeSet<Violation> {
    let version = answer.snapshot.version;
    let parts = || answer.parts.iter();
    let found = [
        (Violation::Service, answer.service != query.service),
        (Violation::Coverage, !covers(query, answer, shards)),
        (Violation::Parts, !parts().map(|part| part.shard).eq(answer.covered.iter().copied())),
        (Violation::Version, parts().any(|part| part.body["version"] != version)),
        (
            Violation::Foreign,
            parts().any(|part| {
                let own = hits::of(&query.body, part.shard, version);
                part.body["shard"] != part.shard || part.body["hits"] != serde_json::json!(own)
            }),
        ),
        (Violation::Backwards, query.min_version.is_some_and(|least| version < least)),
    ];
    found.into_iter().filter(|(_, wrong)| *wrong).map(|(violation, _)| violation).collect()
}

fn covers(query: &Query, answer: &Answer, shards: Option<u32>) -> bool {
    let covered = answer.covered.iter().copied();
    let told: Vec<u32> =
        covered.chain(answer.missing.iter().map(|missing| missing.shard)).collect();
    let distinct: BTreeSet<u32> = told.iter().copied().collect();
    if distinct.len() != told.len() || !answer.covered.is_sorted() {
        return false;
    }
    match (&query.shards, shards) {
        (Some(asked), _) => distinct == asked.iter().copied().collect(),
        (None, Some(shards)) => distinct == (0..shards).collect(),
        // Without the map's size, at least no number may be left out.
        (None, None) => distinct.iter().copied().eq(0..told.len() as u32),
    }
}
