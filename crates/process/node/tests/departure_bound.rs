//! When nodes stop using a server whose entry was removed, while another node of their data
//! centre is frozen.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use serde_json::json;
use tokio::time::sleep;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::request;
use fakes::http;
use fakes::wait::eventually;

mod deployed;

/// The time after which a server that leaves gets no more requests, as the settings state it.
const DRAIN_BOUND: Duration = Duration::from_millis(3000);
/// Two watchers of the registry and one node that follows them.
const NODES: usize = 3;
/// Which watcher the follower is asking when one freezes is left to chance.
const CLUSTERS: usize = 6;
/// The interval between the requests of a caller.
const INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests to a node, each on a new connection, until `ended` is set.
async fn send_requests(node: &Node, number: usize, ended: &AtomicBool) {
    for count in 0.. {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{number}-{count}");
        // A request that is refused or lost is no matter here.
        let sent = http::send(node.caller_address, request(&id, "GET", "/view/x", ""));
        let _ = tokio::time::timeout(Duration::from_millis(500), sent).await;
        sleep(INTERVAL).await;
    }
}

/// Removes the entry of a service's only server just after the first watcher froze; returns how
/// long the other nodes sent requests to it.
async fn last_use_after_removal() -> Duration {
    let cluster = Cluster::start();
    let server = cluster.servers_of("plain").next().expect("a server");
    cluster.store.put("servers", &server.id, &server.entry("ready"));
    cluster.store.put("config", "main", &config(3, json!([])));
    let mut nodes: Vec<Node> = Vec::new();
    for _ in 0..NODES {
        let seeds: Vec<_> = nodes.iter().map(|node| node.caller_address).collect();
        nodes.push(cluster.start_node_with_seeds(&seeds));
    }
    for node in &nodes {
        node.wait_until_ready().await;
        eventually("the nodes know each other", async || node.lookup().await.len() == NODES).await;
    }
    // Each change ends the polls in progress, so that the follower has just begun one.
    cluster.store.put("config", "main", &config(4, json!([])));
    sleep(Duration::from_millis(30)).await;
    nodes[0].signal("-STOP").await;
    cluster.store.delete("servers", &server.id);
    let removed_at = Instant::now();
    let ended = AtomicBool::new(false);
    let callers = nodes[1..].iter().enumerate();
    let calls = join_all(callers.map(|(number, node)| send_requests(node, number, &ended)));
    let timer = async {
        sleep(DRAIN_BOUND + Duration::from_secs(1)).await;
        ended.store(true, Ordering::Relaxed);
    };
    tokio::join!(calls, timer);
    nodes[0].signal("-CONT").await;
    let arrivals = server.arrivals();
    let last = arrivals.last().expect("requests arrive before the server is removed");
    last.at.saturating_duration_since(removed_at)
}

/// Guards against a removal that counts from when a follower hears of it: a follower that waits
/// for a frozen watcher hears of it late.
#[tokio::test(flavor = "multi_thread")]
async fn removed_server_is_unused_within_the_bound_though_a_watcher_is_frozen() {
    let last_uses = join_all((0..CLUSTERS).map(|_| last_use_after_removal())).await;
    assert!(last_uses.iter().all(|last| *last < DRAIN_BOUND), "last used after {last_uses:?}");
}
