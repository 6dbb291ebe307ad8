//! Writes of operators: one wins, and what took effect is never told as failed.

use std::sync::Arc;

use serde_json::json;
use tonic::Response;
use tonic::Status;

use crate::fleet::Fleet;
use crate::fleet::node::Node;
use fakes::platform::Delay;
use fakes::platform::Fault;
use fakes::wait::eventually;
use rpc::failure::Failure;
use rpc::proto;

mod fleet;

/// An update of the policy `extra` through a node.
async fn update(
    node: &Node,
    operation: &str,
    expected: u64,
    percent: u32,
) -> Result<proto::Object, Status> {
    let request = proto::UpdateRequest {
        operation: operation.to_owned(),
        key: Some(proto::Key { kind: proto::Kind::Policy.into(), name: "extra".to_owned() }),
        expected_revision: expected,
        spec_json: json!({"slice_percent": percent}).to_string(),
    };
    node.operators().await.update(request).await.map(Response::into_inner)
}

/// The `slice_percent` of the policy `extra` at the platform, and its revision.
async fn stored(fleet: &Fleet) -> (u64, u64) {
    let path = "/v1/objects/policy/extra";
    let item = fleet::calls::call(fleet.platform.address(), "GET", path, &[], None).await;
    let (_, item) = item.expect("the platform answers");
    let percent = item["value"]["spec"]["policy"]["slice_percent"].as_u64();
    (percent.expect("a policy"), item["revision"].as_u64().expect("a revision"))
}

#[tokio::test(flavor = "multi_thread")]
async fn one_wins() {
    let fleet = Fleet::start(2).await;
    let mut revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.in_force(revision).await;
    for round in 0..5 {
        let (left, right) = (format!("left-{round}"), format!("right-{round}"));
        let (left, right) = tokio::join!(
            update(&fleet.nodes[0], &left, revision, 41),
            update(&fleet.nodes[1], &right, revision, 42),
        );
        let (won, lost, percent) = match (left, right) {
            (Ok(won), Err(lost)) => (won, lost, 41),
            (Err(lost), Ok(won)) => (won, lost, 42),
            both => panic!("not one winner: {both:?}"),
        };
        match Failure::from(&lost) {
            Failure::Conflict(Some(winner)) => assert_eq!(winner.revision, won.revision),
            other => panic!("no conflict with the winner: {other}"),
        }
        assert_eq!(stored(&fleet).await, (percent, won.revision));
        revision = won.revision;
        fleet.in_force(revision).await;
    }
}

/// A write whose answer is lost by `fault`, and what it may be told as.
async fn lost_answer(fault: Fault) {
    let fleet = Fleet::start(2).await;
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.in_force(revision).await;
    fleet.platform.inject_fault(fault);
    match update(&fleet.nodes[0], "lost", revision, 41).await {
        Ok(object) => assert_eq!(stored(&fleet).await, (41, object.revision)),
        Err(status) => match Failure::from(&status) {
            Failure::Unknown { operation, .. } => assert_eq!(operation, "lost"),
            told => panic!("told as failed: {told}"),
        },
    }
    // However it was told, the write takes effect once, and goes in force.
    eventually("the effect", async || stored(&fleet).await.0 == 41).await;
    fleet.heal();
    let (_, revision) = stored(&fleet).await;
    fleet.in_force(revision).await;
    assert_eq!(stored(&fleet).await, (41, revision));
}

#[tokio::test(flavor = "multi_thread")]
async fn effect_without_answer() {
    lost_answer(Fault { effect_without_answer: 1, ..Fault::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_effect() {
    let late = Some(Delay { writes: 1, ms: 4000 });
    lost_answer(Fault { late_effect: late, ..Fault::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn effect_past_limit() {
    // Each try takes effect later than the node waits for it.
    let late = Some(Delay { writes: 100, ms: 10_000 });
    lost_answer(Fault { late_effect: late, ..Fault::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_while_unknown() {
    let fleet = Arc::new(Fleet::start(2).await);
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.in_force(revision).await;
    let late = Some(Delay { writes: 1, ms: 3000 });
    fleet.platform.inject_fault(Fault { late_effect: late, ..Fault::default() });
    let first = tokio::spawn({
        let fleet = Arc::clone(&fleet);
        async move { update(&fleet.nodes[0], "late", revision, 41).await }
    });
    let writes = || fleet.platform.stats().writes;
    let before = writes();
    eventually("the late write", async || writes() > before || first.is_finished()).await;
    // Another operator changes the object before the late write takes effect.
    let other = update(&fleet.nodes[1], "other", revision, 42).await;
    let told = first.await.expect("a verdict");
    let (percent, stored) = stored(&fleet).await;
    match (told, other) {
        (Ok(object), Err(_)) => assert_eq!((41, object.revision), (percent, stored)),
        (Err(_), Ok(object)) => assert_eq!((42, object.revision), (percent, stored)),
        both => panic!("not one winner: {both:?}"),
    }
}
