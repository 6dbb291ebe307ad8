//! Lookups and planned stops on the users' platform.

mod deployed;

use std::time::Duration;

use crate::deployed::World;
use crate::deployed::request;
use fakes::instance::Behavior;
use fakes::wait::eventually;

#[tokio::test(flavor = "multi_thread")]
async fn nodes_name_each_other() {
    let world = World::start();
    world.publish();
    let nodes = [world.node(), world.node()];
    for node in &nodes {
        eventually("both nodes are named", async || node.lookup().await.len() == 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_node_is_named_no_more_and_finishes_its_work() {
    let world = World::start();
    world.publish();
    let (mut stopping, other) = (world.node(), world.node());
    eventually("both nodes are named", async || other.lookup().await.len() == 2).await;
    world.of("plain").for_each(|shard| shard.set_behavior(Behavior::Slow(Duration::from_secs(3))));
    let callers = stopping.callers;
    let slow = tokio::spawn(async move {
        fakes::http::send(callers, request("b1", "POST", "/book/", "x")).await
    });
    eventually("the request runs", async || {
        world.of("plain").any(|shard| !shard.runs().is_empty())
    })
    .await;
    stopping.terminate().await;
    eventually("the other node names itself only", async || {
        other.lookup().await == [other.callers.to_string()]
    })
    .await;
    assert!(!stopping.is_ready().await);
    // A caller that still has the old answer is served, and told to close.
    let late = stopping.send(request("v1", "GET", "/search/", "")).await;
    assert_eq!((late.status().as_u16(), deployed::header(&late, "connection")), (200, "close"));
    let response = slow.await.expect("it ran").expect("a response");
    assert_eq!(response.status(), 200);
    assert!(stopping.ended().await);
    let last = stopping.log().pop().expect("a line");
    assert_eq!((&last["event"], &last["in_time"]), (&"Stopped.".into(), &true.into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_takes_its_requests_along() {
    let world = World::start();
    let node = world.ready_node().await;
    world.of("plain").for_each(|shard| shard.set_behavior(Behavior::Refuses));
    let left = tokio::time::timeout(
        Duration::from_millis(200),
        fakes::http::send(node.callers, request("v1", "GET", "/view/", "")),
    );
    // Whatever came of it, nothing is sent for it half a second later.
    let _ = left.await;
    world.of("plain").for_each(|shard| shard.set_behavior(Behavior::Healthy));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fakes::instance::run_counts(world.of("plain")).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_while_the_store_is_away_learns_from_a_peer() {
    for behavior in [fakes::store::Behavior::Unavailable, fakes::store::Behavior::Hangs] {
        let world = World::start();
        let first = world.ready_node().await;
        // The seeds of a node that starts again name its peers.
        world.store.set_behavior(behavior);
        let second = world.node_with_seeds(&[first.callers]);
        second.ready().await;
        let response = second.send(request("s1", "GET", "/search/", "")).await;
        assert_eq!(response.status(), 200, "{behavior:?}");
        assert_eq!(deployed::header(&response, "heatherseam-missing-parts"), "0", "{behavior:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests() {
    let world = World::start();
    let node = world.ready_node().await;
    assert_eq!(node.send(request("s1", "GET", "/search/", "")).await.status(), 200);
    let text = node.metrics().await;
    let counted = |line: &str| line.contains("route=\"search\"") && line.ends_with(" 1");
    let requests = text.lines().filter(|line| line.starts_with("heatherseam_requests_total"));
    assert!(requests.clone().any(counted), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_read_again() {
    let world = World::start();
    let node = world.ready_node().await;
    let events = |event: &str| node.log().iter().filter(|line| line["event"] == event).count();
    let (changed, faults) = (
        "The settings were reloaded; only the bounds on extra sends apply without a restart.",
        "The new settings have errors; the previous ones stay in use.",
    );
    let text = std::fs::read_to_string(&node.settings).expect("the settings");
    let other = text.replace("\"retry_slack\":52", "\"retry_slack\":20");
    assert_ne!(other, text);
    std::fs::write(&node.settings, &other).expect("they are written");
    node.signal("-HUP").await;
    eventually("the settings are read", async || events(changed) == 1).await;
    // Without a signal, and with a fault: the node goes on and tells it once.
    std::fs::write(&node.settings, other.replace("\"grace_s\":6", "\"grace_s\":\"long\""))
        .expect("written");
    eventually("the fault is told", async || events(faults) == 1).await;
    assert_eq!(node.send(request("s1", "GET", "/search/", "")).await.status(), 200);
    assert_eq!((events(changed), events(faults)), (1, 1));
}
