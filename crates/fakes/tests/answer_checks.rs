//! Each kind of violation in an answer is detected.

use std::sync::Arc;

use expect_test::Expect;
use expect_test::expect;
use serde_json::json;

use fakes::caller::violations;
use fakes::hits;
use wire::caller::Answer;
use wire::caller::MissingShard;
use wire::caller::Priority;
use wire::caller::Query;
use wire::caller::Reason;
use wire::caller::ShardResult;
use wire::id::Snapshot;

const SHARDS: u32 = 4;

fn query() -> Query {
    Query {
        service: Arc::from("search"),
        caller: Arc::from("desk"),
        priority: Priority::Routine,
        deadline_ms: None,
        ticket: None,
        non_idempotent: false,
        shards: None,
        min_version: Some(7),
        body: json!({ "q": 1 }),
    }
}

fn part(query: &Query, shard: u32, version: u64) -> ShardResult {
    let hits = hits::of(&query.body, shard, version);
    let body = json!({ "server": "s", "shard": shard, "version": version, "hits": hits });
    ShardResult { shard, body }
}

/// A correct answer in which shard 1 is missing.
fn answer() -> Answer {
    let query = query();
    let covered = vec![0, 2, 3];
    Answer {
        request: Arc::from("r"),
        service: query.service.clone(),
        snapshot: Snapshot { version: 7, map: Arc::from("search-1") },
        parts: covered.iter().map(|shard| part(&query, *shard, 7)).collect(),
        covered,
        missing: vec![MissingShard { shard: 1, reason: Reason::Deadline }],
        sends: 4,
        arm: None,
    }
}

fn check(change: impl FnOnce(&mut Query, &mut Answer), expected: Expect) {
    let (mut query, mut answer) = (query(), answer());
    change(&mut query, &mut answer);
    let actual: Vec<String> =
        violations(&query, &answer, Some(SHARDS)).iter().map(ToString::to_string).collect();
    expected.assert_eq(&actual.join(" "));
}

#[test]
fn correct_answer_has_no_violations() {
    check(|_, _| {}, expect![""]);
    assert!(violations(&query(), &answer(), None).is_empty());
}

#[test]
fn unaccounted_shard_is_detected() {
    check(|_, answer| answer.missing.clear(), expect!["coverage"]);
    check(|_, answer| answer.missing[0].shard = 4, expect!["coverage"]);
    check(|_, answer| answer.missing[0].shard = 2, expect!["coverage"]);
    check(|query, _| query.shards = Some(vec![0, 1]), expect!["coverage"]);
}

#[test]
fn covered_shard_without_part_is_detected() {
    check(|_, answer| drop(answer.parts.pop()), expect!["parts"]);
    check(|_, answer| answer.parts.swap(0, 1), expect!["parts"]);
}

#[test]
fn mixed_versions_are_detected() {
    check(|query, answer| answer.parts[0] = part(query, 0, 8), expect!["version foreign"]);
}

#[test]
fn part_of_another_request_is_detected() {
    let foreign = |_: &mut Query, answer: &mut Answer| {
        let other = Query { body: json!({ "q": 2 }), ..query() };
        answer.parts[0] = part(&other, 0, 7);
    };
    check(foreign, expect!["foreign"]);
    check(|query, answer| answer.parts[0].body = part(query, 2, 7).body, expect!["foreign"]);
}

#[test]
fn other_service_is_detected() {
    check(|_, answer| answer.service = Arc::from("desk"), expect!["service"]);
}

#[test]
fn version_below_minimum_is_detected() {
    check(|query, _| query.min_version = Some(8), expect!["backwards"]);
}
