//! Operators drain a node and an upstream server.

use serde_json::Value;

use crate::fleet::Fleet;
use crate::fleet::calls;
use rpc::proto;
use rpc::proto::drain_request::Target;

mod fleet;

/// Sends a node a request to drain `target`.
async fn drain(fleet: &Fleet, node: usize, target: Target) {
    let request = proto::DrainRequest { target: Some(target) };
    let reply = fleet.nodes[node].operator_client().await.drain(request).await;
    reply.expect("the drain begins");
}

/// The number of shard requests that the server received.
async fn sends(fleet: &Fleet, server: &str) -> u64 {
    let stats = calls::call(fleet.upstream.control_address(), "GET", "/stats", &[], None).await;
    let (_, stats) = stats.expect("the control port answers");
    stats[server]["sends"].as_u64().expect("a count")
}

/// Whether the status that this node reports to operators lists the server as leaving.
async fn reports_leaving(node: &fleet::node::Node, server: &str) -> bool {
    let status = node.operator_client().await.status(proto::StatusRequest {}).await;
    let status = status.expect("a status").into_inner();
    status.leaving_servers.iter().any(|line| line.contains(server))
}

#[tokio::test(flavor = "multi_thread")]
async fn node_drains_at_the_request_of_another() {
    let mut fleet = Fleet::start(3).await;
    let name = fleet.nodes[2].name.clone();
    drain(&fleet, 0, Target::Node(name)).await;
    let mut drained = fleet.nodes.pop().expect("a node");
    assert!(drained.wait_for_exit().await.success());
    fleet.wait_until_converged().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_requests() {
    let fleet = Fleet::start(3).await;
    let server = "search-0-1";
    let search_all_nodes = async |text: &str| {
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
    search_all_nodes("before").await;
    assert!(sends(&fleet, server).await > 0, "the server is in use");
    drain(&fleet, 0, Target::Server(server.to_owned())).await;
    fleet
        .wait_on_all("the server is leaving", async |node| reports_leaving(node, server).await)
        .await;
    let before = sends(&fleet, server).await;
    search_all_nodes("after").await;
    assert_eq!(sends(&fleet, server).await, before, "requests after the drain");
}
