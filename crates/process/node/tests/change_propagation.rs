//! A change that the platform accepted reaches every node and is not reverted.

use serde_json::json;

use crate::fleet::Fleet;
use fakes::platform::Fault;
use fakes::wait::eventually;

mod fleet;

#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_all_nodes() {
    let fleet = Fleet::start(6).await;
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.wait_for_revision(revision).await;
    fleet
        .wait_on_all("the policy is present", async |node| node.has_object("policy/extra").await)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_all_nodes_despite_a_silent_watch() {
    let fleet = Fleet::start(6).await;
    fleet.platform.inject_fault(Fault { silent_watch: true, ..Fault::default() });
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.wait_for_revision(revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_reads_do_not_revert_a_change() {
    let mut fleet = Fleet::start(3).await;
    let first = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    let second = fleet.put("policy", "extra", json!({"slice_percent": 50})).await;
    fleet.wait_for_revision(second).await;
    fleet.platform.inject_fault(Fault { stale_by: second - first, ..Fault::default() });
    // A node that starts from stale reads must not revert the change on the others.
    let lists = fleet.platform.stats().lists;
    fleet.add_node();
    eventually("the new node reads stale lists", async || {
        fleet.platform.stats().lists >= lists + 4
    })
    .await;
    fleet.wait_until_converged().await;
    fleet.wait_for_revision(second).await;
    for node in &fleet.nodes {
        assert!(node.has_object(&format!("policy/extra revision {second}")).await, "{}", node.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_node_applies_a_delete_on_resuming() {
    let fleet = Fleet::start(6).await;
    let created = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.wait_for_revision(created).await;
    let paused = &fleet.nodes[5];
    paused.signal("STOP");
    let deleted = fleet.delete("policy", "extra", created).await;
    for node in &fleet.nodes[..5] {
        eventually("the delete is applied", async || node.applied_revision().await >= deleted)
            .await;
        eventually("the lookup excludes the paused node", async || {
            !node.may_list(paused.caller).await
        })
        .await;
    }
    paused.signal("CONT");
    fleet.wait_for_revision(deleted).await;
    fleet
        .wait_on_all("the lookup lists the node again", async |node| {
            node.may_list(paused.caller).await
        })
        .await;
    for node in &fleet.nodes {
        assert!(!node.has_object("policy/extra").await, "{}", node.name);
    }
}
