//! Nodes that die or freeze are not named, and come back only with the present
//! configuration.

use serde_json::json;

use crate::fleet::Fleet;
use fakes::wait::eventually;

mod fleet;

#[tokio::test(flavor = "multi_thread")]
async fn killed_node() {
    let mut fleet = Fleet::start(4).await;
    let mut dead = fleet.nodes.pop().expect("a node");
    dead.signal("KILL");
    assert!(!dead.ended().await.success());
    fleet.on_all("unnamed", async |node| !node.names(dead.caller).await).await;
    fleet.settle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_node() {
    let fleet = Fleet::start(4).await;
    let (frozen, others) = fleet.nodes.split_last().expect("nodes");
    frozen.signal("STOP");
    for node in others {
        eventually("unnamed", async || !node.names(frozen.caller).await).await;
    }
    let revision = fleet.put("policy", "extra", json!({"slice_percent": 40})).await;
    for node in others {
        eventually("in force", async || node.revision().await >= revision).await;
    }
    frozen.signal("CONT");
    for node in others {
        eventually("named again", async || {
            let named = node.named().await.contains(&frozen.caller.to_string());
            assert!(!named || frozen.revision().await >= revision, "named with an old state");
            named
        })
        .await;
    }
}
