//! Lookups exclude nodes that were killed or are frozen, and list a frozen node
//! again only once it has the current configuration.

use serde_json::json;

use crate::fleet::Fleet;
use fakes::wait::eventually;

mod fleet;

#[tokio::test(flavor = "multi_thread")]
async fn killed_node_is_not_listed() {
    let mut fleet = Fleet::start(4).await;
    let mut killed = fleet.nodes.pop().expect("a node");
    killed.signal("KILL");
    assert!(!killed.wait_for_exit().await.success());
    fleet
        .wait_on_all("the lookup excludes the node", async |node| {
            !node.may_list(killed.caller).await
        })
        .await;
    fleet.wait_until_converged().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_is_listed_only_when_current() {
    let fleet = Fleet::start(4).await;
    let (frozen, others) = fleet.nodes.split_last().expect("nodes");
    frozen.signal("STOP");
    for node in others {
        eventually("the lookup excludes the node", async || !node.may_list(frozen.caller).await)
            .await;
    }
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    for node in others {
        eventually("the change is applied", async || node.applied_revision().await >= revision)
            .await;
    }
    frozen.signal("CONT");
    for node in others {
        eventually("the lookup lists the node again", async || {
            let listed = node.lookup_addresses().await.contains(&frozen.caller.to_string());
            assert!(
                !listed || frozen.applied_revision().await >= revision,
                "listed with an old configuration"
            );
            listed
        })
        .await;
    }
}
