//! While the platform is out, everything goes on with what the nodes hold.

use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::calls;
use fakes::platform::Outage;
use fakes::wait::eventually;

mod fleet;

/// Queries and lookups in the outage, a node that starts in it, a change after.
async fn outage(kind: Outage) {
    let mut fleet = Fleet::start(4).await;
    let last = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    fleet.in_force(last).await;
    fleet.outage(kind);
    for node in &fleet.nodes {
        assert_eq!(node.named().await.len(), 4, "{}", node.name);
        let (status, answer) = node.query(calls::search("in the outage")).await.expect("answered");
        assert_eq!((status, &answer["covered"]), (200, &json!([0, 1])), "{answer}");
    }

    let new = fleet.add();
    named_once_fresh(&fleet, new).await;
    fleet.settle().await;
    assert!(fleet.nodes[new].revision().await >= last);
    let (status, answer) =
        fleet.nodes[new].query(calls::search("by the new node")).await.expect("answered");
    assert_eq!((status, &answer["covered"]), (200, &json!([0, 1])), "{answer}");

    fleet.heal();
    let next = fleet.put("policy", "extra", json!({"slice_percent": 50})).await;
    fleet.in_force(next).await;
}

/// Whenever a node names the new one, that has the configuration and is fresh.
async fn named_once_fresh(fleet: &Fleet, new: usize) {
    let newcomer = &fleet.nodes[new];
    for node in &fleet.nodes {
        eventually("the new node is named", async || {
            let named = node.named().await.contains(&newcomer.caller.to_string());
            // Asked after the lookup: what is fresh then need not have been
            // fresh before, but what isn't fresh was named wrongly.
            assert!(!named || newcomer.is_fresh().await, "named before it was fresh");
            named
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusing_platform() {
    outage(Outage::Refuse).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn hanging_platform() {
    outage(Outage::Hang).await;
}
