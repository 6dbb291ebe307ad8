//! Servers whose replies have no end, in a head or in a body.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::MEMORY_MB;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::request;
use fakes::endless::Part;
use fakes::endless::Server;

mod deployed;

const LOAD_TIME: Duration = Duration::from_secs(4);
/// The interval between requests: 400 a second.
const INTERVAL: Duration = Duration::from_micros(2500);

/// A node whose servers of the service `plain` all answer without end.
async fn start(part: Part) -> (Cluster, Node, Vec<Server>) {
    let cluster = Cluster::start();
    cluster.publish();
    let route = json!([{
        "name": "part", "host": deployed::HOST, "path_prefix": "/part/", "route_type": "idempotent",
        "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000, "priority": 1, "max_attempts": 2,
        "gather": ["plain", "shard-b", "shard-c"], "top_k": 4, "min_coverage": 0.6
    }]);
    cluster.store.put("config", "main", &config(4, route));
    let mut servers = Vec::new();
    for server in cluster.servers_of("plain") {
        let endless = Server::start(part).await.expect("a server");
        let mut entry = server.entry("ready");
        entry["address"] = json!(endless.address.to_string());
        cluster.store.put("servers", &server.id, &entry);
        servers.push(endless);
    }
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node, servers)
}

/// Sends requests at [`INTERVAL`] for [`LOAD_TIME`], whether or not earlier ones are answered.
async fn load(node: &Node, path: &'static str) {
    let end = Instant::now() + LOAD_TIME;
    let mut requests = tokio::task::JoinSet::new();
    let address = node.caller_address;
    while Instant::now() < end {
        let request = request("endless", "GET", path, "");
        requests.spawn(async move {
            let sent = fakes::http::send(address, request);
            tokio::time::timeout(Duration::from_secs(2), sent).await.is_ok()
        });
        tokio::time::sleep(INTERVAL).await;
        while requests.try_join_next().is_some() {}
    }
    requests.shutdown().await;
}

/// Sends the load to `path` with each part, and checks the memory of the node.
async fn check_memory(parts: &[Part], path: &'static str) {
    for part in parts {
        let (_cluster, node, _servers) = start(*part).await;
        load(&node, path).await;
        let peak = node.peak_memory_mb();
        assert!(peak < MEMORY_MB, "{part:?}: {peak} MB of {MEMORY_MB}");
        let answer = node.send(request("s", "GET", "/search/x", "")).await;
        assert_eq!(answer.status(), 200, "{part:?}");
    }
}

/// Guards against a bound for one reply that is none for all together, and against the memory that
/// each frame of a reply needs beyond its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn endless_replies_stay_within_the_memory_of_the_node() {
    check_memory(&Part::ALL, "/view/x").await;
}

/// Guards against the same in the parts of searches.
#[tokio::test(flavor = "multi_thread")]
async fn endless_parts_of_searches_stay_within_the_memory_of_the_node() {
    check_memory(&[Part::Body, Part::Chunks, Part::ByteChunks, Part::Head], "/part/x").await;
}
