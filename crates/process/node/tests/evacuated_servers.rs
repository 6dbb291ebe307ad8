//! The evacuation of a data centre that an operator writes to the store.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::request;
use fakes::store::Behavior;
use fakes::wait::eventually;

mod deployed;

/// The time within which an evacuation must be in force.
const BOUND: Duration = Duration::from_secs(5);
/// The time for which an evacuation stays in force that the store's copy lacks.
const HELD: Duration = Duration::from_millis(9500);
/// The time within which a request that can't be served is refused.
const AT_ONCE: Duration = Duration::from_millis(250);

async fn view(node: &Node) -> u16 {
    node.send(request("r", "GET", "/view/x", "")).await.status().as_u16()
}

fn arrivals(cluster: &Cluster) -> usize {
    cluster.servers_of("plain").map(|server| server.arrivals().len()).sum()
}

/// Guards against requests to an evacuated data centre after the bound, and against servers that
/// stay unused after its end.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_takes_effect_and_ends() {
    let mut cluster = Cluster::start();
    cluster.more_bounds = json!({ "evacuate_ms": 5000 });
    let node = cluster.start_ready_node().await;
    assert_eq!(view(&node).await, 200);
    let written = Instant::now();
    cluster.store.put("evacuations", "hall", &json!({}));
    eventually("the evacuation is in force", async || view(&node).await == 503).await;
    assert!(written.elapsed() < BOUND, "took {:?}", written.elapsed());
    let before = arrivals(&cluster);
    for _ in 0..20 {
        let start = Instant::now();
        assert_eq!(view(&node).await, 503);
        assert!(start.elapsed() < AT_ONCE, "took {:?}", start.elapsed());
    }
    assert_eq!(arrivals(&cluster), before);
    assert!(node.metrics().await.contains("heatherseam_evacuated_data_centres"));
    cluster.store.delete("evacuations", "hall");
    eventually("the servers get requests again", async || view(&node).await == 200).await;
}

/// Guards against a node that is ready before it knows of an evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_sends_nothing_to_an_evacuated_data_centre() {
    let mut cluster = Cluster::start();
    cluster.more_bounds = json!({ "evacuate_ms": 5000 });
    cluster.store.put("evacuations", "hall", &json!({}));
    let node = cluster.start_ready_node().await;
    assert_eq!(view(&node).await, 503);
    assert_eq!(arrivals(&cluster), 0);
}

/// Guards against requests to an evacuated data centre after the store has returned from a copy
/// that lacks the evacuation, also by a node that starts meanwhile, and against an evacuation that
/// never ends though nobody writes it again.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_that_a_copy_lacks_is_held_for_a_while() {
    let mut cluster = Cluster::start();
    cluster.more_bounds = json!({ "evacuate_ms": 5000 });
    cluster.publish();
    let mut nodes = vec![cluster.start_node(), cluster.start_node()];
    for node in &nodes {
        node.wait_until_ready().await;
    }
    let registered = || cluster.store.names("heatherseam-nodes").len();
    eventually("both nodes are registered", async || registered() == nodes.len()).await;
    let backup = cluster.store.backup();
    cluster.store.put("evacuations", "hall", &json!({}));
    for node in &nodes {
        eventually("the evacuation is in force", async || view(node).await == 503).await;
    }
    let before = arrivals(&cluster);
    cluster.store.set_behavior(Behavior::Unavailable);
    cluster.store.restore(&backup);
    cluster.store.set_behavior(Behavior::Healthy);
    let returned = Instant::now();
    nodes.push(cluster.start_ready_node().await);
    while returned.elapsed() < HELD {
        for node in &nodes {
            assert_eq!(view(node).await, 503, "{:?} after the return", returned.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(arrivals(&cluster), before);
    for node in &nodes {
        eventually("the evacuation ends", async || view(node).await == 200).await;
    }
}
