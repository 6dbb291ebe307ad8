//! Servers that say in their replies that they leave, while the registry still has them as
//! ready.

use std::time::Duration;
use std::time::Instant;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::header;
use crate::deployed::request;
use fakes::instance::Behavior;
use fakes::instance::Instance;
use fakes::wait::eventually;

mod deployed;

/// The time within which a request that can't be served is refused.
const AT_ONCE: Duration = Duration::from_millis(250);

async fn view(node: &Node, number: u32) -> u16 {
    let id = format!("r-{number}");
    node.send(request(&id, "GET", "/view/x", "")).await.status().as_u16()
}

/// Sends requests until the server has answered one of them.
async fn wait_for_arrival(node: &Node, server: &Instance) {
    eventually("the server gets a request", async || {
        view(node, 0).await;
        !server.arrivals().is_empty()
    })
    .await;
}

/// Guards against requests to a server that has said that it leaves, though its entry is ready
/// and is written again.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_leaves_gets_nothing_after_its_first_notice() {
    let cluster = Cluster::start();
    let leaving = cluster.servers_of("plain").next().expect("a server");
    leaving.set_behavior(Behavior::Leaves);
    let node = cluster.start_ready_node().await;
    wait_for_arrival(&node, leaving).await;
    let before = leaving.arrivals().len();
    for number in 0..60 {
        if number == 30 {
            cluster.store.put("servers", &leaving.id, &leaving.entry("ready"));
        }
        assert_eq!(view(&node, number).await, 200);
    }
    assert_eq!(leaving.arrivals().len(), before);
}

/// Guards against requests that wait for servers all of which leave.
#[tokio::test(flavor = "multi_thread")]
async fn service_with_leaving_servers_only_is_refused_at_once() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    for server in cluster.servers_of("plain") {
        server.set_behavior(Behavior::Leaves);
        wait_for_arrival(&node, server).await;
    }
    let runs = || cluster.servers_of("plain").map(|server| server.runs().len()).sum::<usize>();
    let before = runs();
    let start = Instant::now();
    let response = node.send(request("refused", "GET", "/view/x", "")).await;
    assert!(start.elapsed() < AT_ONCE, "took {:?}", start.elapsed());
    assert_eq!(response.status(), 503);
    assert_ne!(header(&response, "retry-after"), "");
    assert_eq!(runs(), before);
}

/// Guards against a node that sends to a leaving server until it is told itself.
#[tokio::test(flavor = "multi_thread")]
async fn other_nodes_hear_that_a_server_leaves() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let other = cluster.start_node();
    other.wait_until_ready().await;
    let leaving = cluster.servers_of("plain").next().expect("a server");
    leaving.set_behavior(Behavior::Leaves);
    wait_for_arrival(&node, leaving).await;
    let knows = |line: &serde_json::Value| {
        let change = line["change"].as_str().unwrap_or_default();
        change.starts_with("Leaving") && change.contains(&leaving.id)
    };
    eventually("the other node knows it", async || other.log_lines().iter().any(knows)).await;
    let before = leaving.arrivals().len();
    for number in 0..30 {
        assert_eq!(view(&other, number).await, 200);
    }
    assert_eq!(leaving.arrivals().len(), before);
}
