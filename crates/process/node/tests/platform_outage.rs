//! During an outage of the platform, the nodes continue with the configuration that
//! they have.

use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::calls;
use fakes::platform::Outage;
use fakes::wait::eventually;

mod fleet;

/// Queries, lookups and a node start during the outage, then a change after it.
async fn assert_unaffected_by_outage(kind: Outage) {
    let mut fleet = Fleet::start(4).await;
    let before = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.wait_for_revision(before).await;
    fleet.start_outage(kind);
    for node in &fleet.nodes {
        assert_eq!(node.lookup_addresses().await.len(), 4, "{}", node.name);
        let (status, answer) = node.query(calls::search("in the outage")).await.expect("answered");
        assert_eq!((status, &answer["covered"]), (200, &json!([0, 1])), "{answer}");
    }

    let new = fleet.add_node();
    assert_listed_only_when_synced(&fleet, new).await;
    fleet.wait_until_converged().await;
    assert!(fleet.nodes[new].applied_revision().await >= before);
    let (status, answer) =
        fleet.nodes[new].query(calls::search("by the new node")).await.expect("answered");
    assert_eq!((status, &answer["covered"]), (200, &json!([0, 1])), "{answer}");

    fleet.clear_faults();
    let after = fleet.put("policy", "extra", json!({"slice_percent": 50})).await;
    fleet.wait_for_revision(after).await;
}

/// Waits until every node lists the new one, and checks that no node lists it before
/// it is synced.
async fn assert_listed_only_when_synced(fleet: &Fleet, new: usize) {
    let new_node = &fleet.nodes[new];
    for node in &fleet.nodes {
        eventually("the lookup lists the new node", async || {
            let listed = node.lookup_addresses().await.contains(&new_node.caller.to_string());
            // Checked after the lookup: a node that is synced now may not have been
            // synced then, but one that isn't synced now was listed wrongly.
            assert!(!listed || new_node.is_synced().await, "listed before it was synced");
            listed
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_refuses_connections() {
    assert_unaffected_by_outage(Outage::Refuse).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_hangs() {
    assert_unaffected_by_outage(Outage::Hang).await;
}
