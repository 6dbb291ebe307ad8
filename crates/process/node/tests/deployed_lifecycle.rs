//! Lookups, graceful shutdown, starts, metrics and settings of nodes on the users'
//! platform.

mod deployed;

use std::time::Duration;

use crate::deployed::Cluster;
use crate::deployed::request;
use fakes::instance::Behavior;
use fakes::wait::eventually;

#[tokio::test(flavor = "multi_thread")]
async fn nodes_list_each_other() {
    let cluster = Cluster::start();
    cluster.publish();
    let nodes = [cluster.start_node(), cluster.start_node()];
    for node in &nodes {
        eventually("the lookup lists both nodes", async || node.lookup().await.len() == 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_is_not_listed_and_finishes_its_requests() {
    let cluster = Cluster::start();
    cluster.publish();
    let (mut stopping, other) = (cluster.start_node(), cluster.start_node());
    eventually("the lookup lists both nodes", async || other.lookup().await.len() == 2).await;
    cluster
        .servers_of("plain")
        .for_each(|server| server.set_behavior(Behavior::Slow(Duration::from_secs(3))));
    let caller_address = stopping.caller_address;
    let slow = tokio::spawn(async move {
        fakes::http::send(caller_address, request("b1", "POST", "/book/", "x")).await
    });
    eventually("the request runs", async || {
        cluster.servers_of("plain").any(|server| !server.runs().is_empty())
    })
    .await;
    stopping.terminate().await;
    eventually("the other node lists only itself", async || {
        other.lookup().await == [other.caller_address.to_string()]
    })
    .await;
    assert!(!stopping.is_ready().await);
    // A caller that still uses the old lookup is served, and its connection is closed.
    let late = stopping.send(request("v1", "GET", "/search/", "")).await;
    assert_eq!((late.status().as_u16(), deployed::header(&late, "connection")), (200, "close"));
    let response = slow.await.expect("the task does not panic").expect("a response");
    assert_eq!(response.status(), 200);
    assert!(stopping.wait_for_exit().await);
    let last = stopping.log_lines().pop().expect("a line is logged");
    assert_eq!((&last["event"], &last["in_time"]), (&"Stopped.".into(), &true.into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_cancelled_when_the_caller_disconnects() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::Refuses));
    let abandoned = tokio::time::timeout(
        Duration::from_millis(200),
        fakes::http::send(node.caller_address, request("v1", "GET", "/view/", "")),
    );
    // Whatever its outcome was, nothing is sent for it half a second later.
    let _ = abandoned.await;
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::Healthy));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fakes::instance::run_counts(cluster.servers_of("plain")).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_during_a_store_outage_gets_its_state_from_a_peer() {
    for behavior in [fakes::store::Behavior::Unavailable, fakes::store::Behavior::Hangs] {
        let cluster = Cluster::start();
        let first = cluster.start_ready_node().await;
        // A restarted node finds its peers by its seeds.
        cluster.store.set_behavior(behavior);
        let second = cluster.start_node_with_seeds(&[first.caller_address]);
        second.wait_until_ready().await;
        let response = second.send(request("s1", "GET", "/search/", "")).await;
        assert_eq!(response.status(), 200, "{behavior:?}");
        assert_eq!(deployed::header(&response, "heatherseam-missing-parts"), "0", "{behavior:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    assert_eq!(node.send(request("s1", "GET", "/search/", "")).await.status(), 200);
    let text = node.metrics().await;
    let counted = |line: &str| line.contains("route=\"search\"") && line.ends_with(" 1");
    let requests = text.lines().filter(|line| line.starts_with("heatherseam_requests_total"));
    assert!(requests.clone().any(counted), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_reloaded() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let events =
        |event: &str| node.log_lines().iter().filter(|line| line["event"] == event).count();
    let (changed, faults) = (
        "The settings were reloaded; only the bounds on extra sends apply without a restart.",
        "The new settings have errors; the previous ones stay in use.",
    );
    let text = std::fs::read_to_string(&node.settings_file).expect("the settings");
    let other = text.replace("\"retry_slack\":52", "\"retry_slack\":20");
    assert_ne!(other, text);
    std::fs::write(&node.settings_file, &other).expect("they are written");
    node.signal("-HUP").await;
    eventually("the settings are read", async || events(changed) == 1).await;
    // A change with a fault and without a signal: the node keeps its settings and
    // logs the fault once.
    std::fs::write(&node.settings_file, other.replace("\"grace_s\":6", "\"grace_s\":\"long\""))
        .expect("written");
    eventually("the fault is logged", async || events(faults) == 1).await;
    assert_eq!(node.send(request("s1", "GET", "/search/", "")).await.status(), 200);
    assert_eq!((events(changed), events(faults)), (1, 1));
}
