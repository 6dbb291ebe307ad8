//! A leaving upstream server gets no new requests from any node, even if outdated
//! reports describe it as ready.

mod support;

use std::sync::Arc;

use support::Cluster;
use support::search_query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::platform::Lifecycle;
use wire::platform::Vm;
use wire::platform::Vms;

/// The server that leaves.
const SERVER: &str = "search-1-1";

/// Starts a cluster in which the server receives requests.
async fn start() -> Cluster {
    let cluster = Cluster::start(3, service()).await;
    eventually("the server receives requests", async || {
        query_all_nodes(&cluster, 1..2).await;
        cluster.stats(SERVER).begun > 0
    })
    .await;
    cluster
}

/// Sends a query to each node for each number; each answer must be complete.
async fn query_all_nodes(cluster: &Cluster, numbers: std::ops::Range<u64>) {
    for number in numbers {
        for node in &cluster.nodes {
            assert_eq!(node.send_checked(&search_query(number), 3).await.covered, [0, 1, 2]);
        }
    }
}

/// Waits until every node has marked the server as leaving; only the first node
/// has traffic meanwhile.
async fn wait_until_leaving(cluster: &Cluster) {
    eventually("all nodes have marked it as leaving", async || {
        cluster.nodes[0].send_checked(&search_query(1), 3).await;
        let mut leaving = true;
        for node in &cluster.nodes {
            leaving &= node.upstream_state(SERVER).await["leaving"] == true;
        }
        leaving
    })
    .await;
}

/// A leaving server gets no more requests until it restarts with a new incarnation.
async fn assert_excluded_until_restart(cluster: &Cluster) {
    let before = cluster.stats(SERVER);
    query_all_nodes(cluster, 200..230).await;
    let after = cluster.stats(SERVER);
    assert_eq!((after.sends, after.last_send_ms), (before.sends, before.last_send_ms));
    assert_eq!(after.last_work_ms, before.last_work_ms);
    cluster.inject_fault(SERVER, Action::Restart).await;
    eventually("the new incarnation receives requests", async || {
        query_all_nodes(cluster, 2..3).await;
        cluster.stats(SERVER).begun > before.begun
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_work() {
    let cluster = start().await;
    cluster.inject_fault(SERVER, Action::Drain).await;
    wait_until_leaving(&cluster).await;
    assert_excluded_until_restart(&cluster).await;
}

/// The platform lists the server as leaving and then as live again, while the
/// server's health endpoint reports it as ready throughout.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_reports_do_not_readmit_it() {
    let cluster = start().await;
    set_lifecycle(&cluster, Lifecycle::Leaving).await;
    wait_until_leaving(&cluster).await;
    set_lifecycle(&cluster, Lifecycle::Live).await;
    // Waits for as many reads as there are nodes; each node reads the list every
    // few seconds.
    let reads_before = cluster.platform.stats().vms;
    eventually("the nodes read the list again", async || {
        cluster.platform.stats().vms >= reads_before + cluster.nodes.len() as u64
    })
    .await;
    assert_excluded_until_restart(&cluster).await;
}

async fn set_lifecycle(cluster: &Cluster, lifecycle: Lifecycle) {
    let group = cluster.initial_map().groups.remove(1);
    let server = group.servers.into_iter().find(|server| &*server.name == SERVER);
    let server = server.expect("the map has the server");
    let vm = Vm {
        name: server.name,
        address: Arc::from(server.address.to_string()),
        data_centre: server.data_centre,
        role: Arc::from("search"),
        lifecycle,
    };
    cluster.set_vms(&Vms { vms: vec![vm] }).await;
}
