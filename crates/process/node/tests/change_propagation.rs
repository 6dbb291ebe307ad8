//! An accepted change is in force on every node, and stays.

use serde_json::json;

use crate::fleet::Fleet;
use fakes::platform::Fault;
use fakes::wait::eventually;

mod fleet;

#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_all() {
    let fleet = Fleet::start(6).await;
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.in_force(revision).await;
    fleet.on_all("the policy", async |node| node.holds("policy/extra").await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_watch() {
    let fleet = Fleet::start(6).await;
    fleet.platform.inject_fault(Fault { silent_watch: true, ..Fault::default() });
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.in_force(revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_reads() {
    let mut fleet = Fleet::start(3).await;
    let first = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    let second = fleet.put("policy", "extra", json!({"slice_percent": 50})).await;
    fleet.in_force(second).await;
    fleet.platform.inject_fault(Fault { stale_by: second - first, ..Fault::default() });
    // A node that starts on stale reads must not take the others back.
    let lists = fleet.platform.stats().lists;
    fleet.add();
    eventually("stale reads", async || fleet.platform.stats().lists >= lists + 4).await;
    fleet.settle().await;
    fleet.in_force(second).await;
    for node in &fleet.nodes {
        assert!(node.holds(&format!("policy/extra revision {second}")).await, "{}", node.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sleeper_keeps_delete() {
    let fleet = Fleet::start(6).await;
    let created = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.in_force(created).await;
    let sleeper = &fleet.nodes[5];
    sleeper.signal("STOP");
    let deleted = fleet.delete("policy", "extra", created).await;
    for node in &fleet.nodes[..5] {
        eventually("the delete", async || node.revision().await >= deleted).await;
        eventually("unnamed", async || !node.names(sleeper.caller).await).await;
    }
    sleeper.signal("CONT");
    fleet.in_force(deleted).await;
    fleet.on_all("named again", async |node| node.names(sleeper.caller).await).await;
    for node in &fleet.nodes {
        assert!(!node.holds("policy/extra").await, "{}", node.name);
    }
}
