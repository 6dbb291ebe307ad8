//! Concurrent writes of operators have one winner, and a write that took effect is
//! never reported as failed.

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
    node.operator_client().await.update(request).await.map(Response::into_inner)
}

/// The `slice_percent` of the policy `extra` at the platform, and its revision.
async fn stored(fleet: &Fleet) -> (u64, u64) {
    let path = "/v1/objects/policy/extra";
    let object = fleet::calls::call(fleet.platform.address(), "GET", path, &[], None).await;
    let (_, object) = object.expect("the platform responds");
    let percent = object["value"]["spec"]["policy"]["slice_percent"].as_u64();
    (percent.expect("the object is a policy"), object["revision"].as_u64().expect("a revision"))
}

#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_concurrent_update_wins() {
    let fleet = Fleet::start(2).await;
    let mut revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.wait_for_revision(revision).await;
    for round in 0..5 {
        let (left, right) = (format!("left-{round}"), format!("right-{round}"));
        let (left, right) = tokio::join!(
            update(&fleet.nodes[0], &left, revision, 41),
            update(&fleet.nodes[1], &right, revision, 42),
        );
        let (won, lost, percent) = match (left, right) {
            (Ok(won), Err(lost)) => (won, lost, 41),
            (Err(lost), Ok(won)) => (won, lost, 42),
            both => panic!("not exactly one winner: {both:?}"),
        };
        match Failure::from(&lost) {
            Failure::Conflict(Some(winner)) => assert_eq!(winner.revision, won.revision),
            other => panic!("not a conflict with the winner: {other}"),
        }
        assert_eq!(stored(&fleet).await, (percent, won.revision));
        revision = won.revision;
        fleet.wait_for_revision(revision).await;
    }
}

/// Injects `fault`, which loses the reply of a write: the write must be reported as
/// successful or as unknown.
async fn assert_not_reported_as_failed(fault: Fault) {
    let fleet = Fleet::start(2).await;
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.wait_for_revision(revision).await;
    fleet.platform.inject_fault(fault);
    match update(&fleet.nodes[0], "lost", revision, 41).await {
        Ok(object) => assert_eq!(stored(&fleet).await, (41, object.revision)),
        Err(status) => match Failure::from(&status) {
            Failure::Unknown { operation, .. } => assert_eq!(operation, "lost"),
            result => panic!("reported as failed: {result}"),
        },
    }
    // Whatever was reported, the write takes effect once and reaches all nodes.
    eventually("the write takes effect", async || stored(&fleet).await.0 == 41).await;
    fleet.clear_faults();
    let (_, revision) = stored(&fleet).await;
    fleet.wait_for_revision(revision).await;
    assert_eq!(stored(&fleet).await, (41, revision));
}

#[tokio::test(flavor = "multi_thread")]
async fn update_without_a_reply_takes_effect_once() {
    assert_not_reported_as_failed(Fault { effect_without_answer: 1, ..Fault::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn delayed_update_takes_effect_once() {
    let delay = Some(Delay { writes: 1, ms: 4000 });
    assert_not_reported_as_failed(Fault { late_effect: delay, ..Fault::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn update_delayed_past_the_timeout_takes_effect_once() {
    // Each attempt takes effect only after the node's timeout.
    let delay = Some(Delay { writes: 100, ms: 10_000 });
    assert_not_reported_as_failed(Fault { late_effect: delay, ..Fault::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_change_of_a_delayed_update_has_one_winner() {
    let fleet = Arc::new(Fleet::start(2).await);
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.wait_for_revision(revision).await;
    let delay = Some(Delay { writes: 1, ms: 3000 });
    fleet.platform.inject_fault(Fault { late_effect: delay, ..Fault::default() });
    let delayed = tokio::spawn({
        let fleet = Arc::clone(&fleet);
        async move { update(&fleet.nodes[0], "late", revision, 41).await }
    });
    let writes = || fleet.platform.stats().writes;
    let before = writes();
    eventually("the delayed write arrives", async || writes() > before || delayed.is_finished())
        .await;
    // Another operator changes the object before the delayed write takes effect.
    let other = update(&fleet.nodes[1], "other", revision, 42).await;
    let result = delayed.await.expect("the task does not panic");
    let (percent, stored) = stored(&fleet).await;
    match (result, other) {
        (Ok(object), Err(_)) => assert_eq!((41, object.revision), (percent, stored)),
        (Err(_), Ok(object)) => assert_eq!((42, object.revision), (percent, stored)),
        both => panic!("not exactly one winner: {both:?}"),
    }
}
