//! Checks of answers.
//!
//! Invariant: a check only uses data that the caller has: its request, the number
//! of shards if it was given, and the way in which upstream servers compute hits.

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
    /// The covered and the missing shards together are not the requested ones.
    Coverage,
    /// The parts are not exactly one of each covered shard, in order.
    Parts,
    /// A part has another version than the answer.
    Version,
    /// A part is not the result of this request.
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

/// All violations of an answer. `shards` is the number of shards in the map, if
/// it is given.
pub fn violations(query: &Query, answer: &Answer, shards: Option<u32>) -> BTreeSet<Violation> {
    let version = answer.snapshot.version;
    let parts = || answer.parts.iter();
    let found = [
        (Violation::Service, answer.service != query.service),
        (Violation::Coverage, !accounts_for_all(query, answer, shards)),
        (Violation::Parts, !parts().map(|part| part.shard).eq(answer.covered.iter().copied())),
        (Violation::Version, parts().any(|part| part.body["version"] != version)),
        (
            Violation::Foreign,
            parts().any(|part| {
                let expected = hits::of(&query.body, part.shard, version);
                part.body["shard"] != part.shard || part.body["hits"] != serde_json::json!(expected)
            }),
        ),
        (Violation::Backwards, query.min_version.is_some_and(|minimum| version < minimum)),
    ];
    found.into_iter().filter(|(_, wrong)| *wrong).map(|(violation, _)| violation).collect()
}

fn accounts_for_all(query: &Query, answer: &Answer, shards: Option<u32>) -> bool {
    let covered = answer.covered.iter().copied();
    let listed: Vec<u32> =
        covered.chain(answer.missing.iter().map(|missing| missing.shard)).collect();
    let distinct: BTreeSet<u32> = listed.iter().copied().collect();
    if distinct.len() != listed.len() || !answer.covered.is_sorted() {
        return false;
    }
    match (&query.shards, shards) {
        (Some(asked), _) => distinct == asked.iter().copied().collect(),
        (None, Some(shards)) => distinct == (0..shards).collect(),
        // Without the number of shards, check at least that there are no gaps.
        (None, None) => distinct.iter().copied().eq(0..listed.len() as u32),
    }
}
