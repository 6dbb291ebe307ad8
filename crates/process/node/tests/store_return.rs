//! The registry returns from a copy that lacks its last changes: what it confirms afterwards
//! is in force in time on every node.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::request;
use fakes::store::Backup;
use fakes::store::Behavior;
use fakes::store::EraHeader;
use fakes::wait::eventually;

mod deployed;

/// The time within which a confirmed version must be in force, as the deployments' settings
/// state it (`config_apply_ms`).
const APPLY_BOUND: Duration = Duration::from_millis(3000);
/// The number of nodes of the data centre: two watchers and one that follows them.
const NODES: usize = 3;

/// A version with one more route, whose path contains the version.
fn version(number: u64) -> Value {
    let route = json!({
        "name": format!("added-{number}"), "host": deployed::HOST,
        "path_prefix": format!("/added-{number}/"), "route_type": "idempotent",
        "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000, "priority": 1,
        "max_attempts": 2, "service": "plain"
    });
    config(number, json!([route]))
}

async fn serves(node: &Node, number: u64) -> bool {
    let response = node.send(request("r1", "GET", &format!("/added-{number}/x"), "")).await;
    response.status() == 200
}

/// Waits until all nodes serve the route of a version; returns the time that it took.
async fn wait_for_version(nodes: &[Node], number: u64) -> Duration {
    let start = Instant::now();
    for node in nodes {
        eventually("the version is in force", async || serves(node, number).await).await;
    }
    start.elapsed()
}

async fn start_nodes(cluster: &Cluster) -> Vec<Node> {
    cluster.publish();
    let mut nodes = Vec::new();
    for _ in 0..NODES {
        nodes.push(cluster.start_node());
    }
    for node in &nodes {
        node.wait_until_ready().await;
    }
    nodes
}

/// Raises the store's revision by `count` changes.
fn raise_revision(cluster: &Cluster, count: u64) {
    for number in 0..count {
        let mut entry = cluster.servers[0].entry("ready");
        entry["sequence"] = json!(number);
        entry["version"] = json!(format!("v{number}"));
        cluster.store.put("servers", &cluster.servers[0].id, &entry);
    }
}

/// Version 12 and `changes` more are written after the copy and are in force when the store
/// goes away.
async fn lose_changes(cluster: &Cluster, nodes: &[Node], changes: u64) -> Backup {
    let backup = cluster.store.backup();
    cluster.store.put("config", "main", &version(12));
    raise_revision(cluster, changes);
    wait_for_version(nodes, 12).await;
    backup
}

/// Guards against a watch that goes on from a revision that the registry has given out again:
/// it misses the changes below that revision, and no error tells.
#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_though_the_counter_has_passed_the_known_revision() {
    let cluster = Cluster::start();
    let nodes = start_nodes(&cluster).await;
    let backup = lose_changes(&cluster, &nodes, 4).await;
    cluster.store.set_behavior(Behavior::Unavailable);
    cluster.store.restore(&backup);
    cluster.store.put("config", "main", &version(12));
    cluster.store.put("config", "main", &version(15));
    raise_revision(&cluster, 20);
    cluster.store.set_behavior(Behavior::Healthy);
    let took = wait_for_version(&nodes, 15).await;
    assert!(took < APPLY_BOUND, "took {took:?}");
}

/// Guards against a list that is ignored because its revision is lower than that of the state
/// from before the return.
#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_though_the_counter_is_below_the_known_revision() {
    let cluster = Cluster::start();
    let nodes = start_nodes(&cluster).await;
    let backup = lose_changes(&cluster, &nodes, 30).await;
    cluster.store.set_behavior(Behavior::Unavailable);
    cluster.store.restore(&backup);
    cluster.store.set_behavior(Behavior::Healthy);
    cluster.store.put("config", "main", &version(15));
    let took = wait_for_version(&nodes, 15).await;
    assert!(took < APPLY_BOUND, "took {took:?}");
}

/// Guards against a second return while the first one is being handled.
#[tokio::test(flavor = "multi_thread")]
async fn version_is_in_force_after_two_returns_in_a_row() {
    let cluster = Cluster::start();
    let nodes = start_nodes(&cluster).await;
    let backup = lose_changes(&cluster, &nodes, 4).await;
    cluster.store.restore(&backup);
    cluster.store.put("config", "main", &version(13));
    raise_revision(&cluster, 7);
    cluster.store.restore(&backup);
    cluster.store.put("config", "main", &version(15));
    raise_revision(&cluster, 20);
    let took = wait_for_version(&nodes, 15).await;
    assert!(took < APPLY_BOUND, "took {took:?}");
}

/// Guards against answers whose era is missing, unreadable or an earlier one: they neither
/// hide a new version nor bring back an older one.
#[tokio::test(flavor = "multi_thread")]
async fn odd_eras_are_borne() {
    let cluster = Cluster::start();
    let nodes = start_nodes(&cluster).await;
    for (number, header) in
        [(12, EraHeader::Absent), (15, EraHeader::Unreadable), (18, EraHeader::Earlier)]
    {
        cluster.store.set_era_header(header);
        cluster.store.put("config", "main", &version(number));
        let took = wait_for_version(&nodes, number).await;
        assert!(took < APPLY_BOUND, "{header:?}: took {took:?}");
    }
    cluster.store.set_era_header(EraHeader::Present);
    cluster.store.put("config", "main", &version(21));
    let took = wait_for_version(&nodes, 21).await;
    assert!(took < APPLY_BOUND, "took {took:?}");
}

/// Guards against nodes that other nodes can't find after the return, since the copy lacks
/// their entries.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_register_again_after_a_return() {
    let cluster = Cluster::start();
    let backup = cluster.store.backup();
    let nodes = start_nodes(&cluster).await;
    let registered = || cluster.store.names("heatherseam-nodes").len();
    eventually("all nodes are registered", async || registered() == nodes.len()).await;
    cluster.store.restore(&backup);
    assert_eq!(registered(), 0);
    cluster.publish();
    eventually("all nodes are registered again", async || registered() == nodes.len()).await;
}

/// Guards against a node that starts during the return and uses only what the copy has.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_takes_the_newer_version_of_its_peers() {
    let cluster = Cluster::start();
    let nodes = start_nodes(&cluster).await;
    let with_nodes = cluster.store.backup();
    cluster.store.put("config", "main", &version(12));
    wait_for_version(&nodes, 12).await;
    cluster.store.restore(&with_nodes);
    let late = cluster.start_node();
    late.wait_until_ready().await;
    eventually("the peers' version is in use", async || serves(&late, 12).await).await;
    for node in &nodes {
        assert!(serves(node, 12).await, "a version went back");
    }
}

/// Guards against requests to a server that left before the return, whose entry the copy has.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_left_before_the_return_gets_nothing() {
    let cluster = Cluster::start();
    let nodes = start_nodes(&cluster).await;
    let backup = cluster.store.backup();
    let gone = cluster.servers_of("plain").next().expect("a server");
    cluster.store.delete("servers", &gone.id);
    for node in &nodes {
        let is_gone = |line: &Value| {
            let change = line["change"].as_str().unwrap_or_default();
            change.starts_with("Gone") && change.contains(&gone.id)
        };
        eventually("the server is removed", async || node.log_lines().iter().any(is_gone)).await;
    }
    let before = gone.runs().len();
    cluster.store.restore(&backup);
    cluster.store.put("config", "main", &version(12));
    wait_for_version(&nodes, 12).await;
    for node in &nodes {
        for number in 0..20 {
            let id = format!("after-{number}");
            node.send(request(&id, "GET", "/view/x", "")).await;
        }
    }
    assert_eq!(gone.runs().len(), before);
}
