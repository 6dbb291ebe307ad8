//! Operators drain a node and an upstream server.

use serde_json::Value;

use crate::fleet::Fleet;
use crate::fleet::calls;
use rpc::proto;
use rpc::proto::drain_request::Target;

mod fleet;

/// Asks a node to drain `target`.
async fn drain(fleet: &Fleet, node: usize, target: Target) {
    let request = proto::DrainRequest { target: Some(target) };
    let reply = fleet.nodes[node].operators().await.drain(request).await;
    reply.expect("the drain begins");
}

/// The shard requests that came to the server.
async fn sends(fleet: &Fleet, server: &str) -> u64 {
    let stats = calls::call(fleet.upstream.control_address(), "GET", "/stats", &[], None).await;
    let (_, stats) = stats.expect("the control port answers");
    stats[server]["sends"].as_u64().expect("a count")
}

/// Whether the operators see the server as leaving at this node.
async fn sees_leaving(node: &fleet::node::Node, server: &str) -> bool {
    let status = node.operators().await.status(proto::StatusRequest {}).await;
    let status = status.expect("a status").into_inner();
    status.leaving_servers.iter().any(|line| line.contains(server))
}

#[tokio::test(flavor = "multi_thread")]
async fn other_node() {
    let mut fleet = Fleet::start(3).await;
    let name = fleet.nodes[2].name.clone();
    drain(&fleet, 0, Target::Node(name)).await;
    let mut drained = fleet.nodes.pop().expect("a node");
    assert!(drained.ended().await.success());
    fleet.settle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_server() {
    let fleet = Fleet::start(3).await;
    let server = "search-0-1";
    let search = async |text: &str| {
        for node in &fleet.nodes {
            for number in 0..10 {
                let query = calls::search(&format!("{text} {number}"));
                let (status, answer) = node.query(query).await.expect("answered");
                let covered = answer["covered"].as_array().map_or(0, Vec::len);
                assert_eq!((status, covered), (200, 2), "{answer}");
                assert_ne!(answer["parts"], Value::Null);
            }
        }
    };
    search("before").await;
    assert!(sends(&fleet, server).await > 0, "the server is in use");
    drain(&fleet, 0, Target::Server(server.to_owned())).await;
    fleet.on_all("leaving", async |node| sees_leaving(node, server).await).await;
    let before = sends(&fleet, server).await;
    search("after").await;
    assert_eq!(sends(&fleet, server).await, before, "new work after the drain");
}
