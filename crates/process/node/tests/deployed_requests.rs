//! The whole path on the users' platform, with a node as a process.

mod deployed;

use std::time::Duration;

use serde_json::json;

use crate::deployed::World;
use crate::deployed::config;
use crate::deployed::header;
use crate::deployed::record;
use crate::deployed::request;
use fakes::instance;
use fakes::instance::Behavior;
use fakes::store;
use fakes::wait::eventually;

#[tokio::test(flavor = "multi_thread")]
async fn search_merges_the_greatest_records() {
    let world = World::start();
    let node = world.ready_node().await;
    let response = node.send(request("s1", "GET", "/search/2f?x=1", "")).await;
    assert_eq!(response.status(), 200);
    let expected = [record(103, 2), record(102, 2), record(101, 2), record(3, 1)].concat();
    assert_eq!(response.body().as_ref(), expected);
    assert_eq!(header(&response, "heatherseam-missing-parts"), "0");
    let proofs: Vec<&str> = header(&response, "heatherseam-part-stamps").split(", ").collect();
    assert_eq!(proofs.len(), 3);
    assert!(proofs.iter().all(|proof| proof.ends_with(".s1")), "{proofs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_passed_on_unchanged() {
    let world = World::start();
    let node = world.ready_node().await;
    let response = node.send(request("b1", "POST", "/book/a/b?c=d%20e", "a claim")).await;
    assert_eq!(response.status(), 200);
    assert!(header(&response, "heatherseam-server-stamp").ends_with(".b1"));
    assert_eq!(header(&response, "heatherseam-request-id"), "b1");
    let runs: Vec<instance::Run> = world.of("plain").flat_map(|shard| shard.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!((runs[0].method.as_str(), runs[0].path.as_str()), ("POST", "/book/a/b?c=d%20e"));
    assert_eq!(runs[0].body, b"a claim");
    assert!(runs[0].deadline_ms <= deployed::PATIENCE_MS);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_version_requests_are_refused_at_once() {
    let world = World::start();
    let node = world.node();
    eventually("the node listens", async || {
        fakes::http::send(node.callers, request("1", "GET", "/view/", "")).await.is_ok()
    })
    .await;
    let response = node.send(request("2", "GET", "/view/", "")).await;
    assert_eq!(response.status(), 503);
    assert!(!header(&response, "retry-after").is_empty());
    assert!(!node.is_ready().await);
    assert!(node.lookup().await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn improper_requests_are_refused() {
    let world = World::start();
    let node = world.ready_node().await;
    assert_eq!(node.send(request("1", "GET", "/nowhere/", "")).await.status(), 404);
    let long = "x".repeat(1001);
    assert_eq!(node.send(request("2", "POST", "/book/", &long)).await.status(), 413);
    let mut nameless = request("3", "GET", "/view/", "");
    nameless.headers_mut().remove("heatherseam-request-id");
    assert_eq!(node.send(nameless).await.status(), 400);
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_shard_is_told() {
    let world = World::start();
    world.of("shard-b").for_each(|shard| shard.set_behavior(Behavior::Refuses));
    let node = world.ready_node().await;
    let response = node.send(request("s1", "GET", "/search/", "")).await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "heatherseam-missing-parts"), "1");
    assert_eq!(header(&response, "heatherseam-part-stamps").split(", ").count(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn replies_that_are_not_ours_are_never_merged() {
    for behavior in [
        Behavior::WrongRequestId,
        Behavior::WrongStamp,
        Behavior::ServerError,
        Behavior::ResetsAfterRun,
    ] {
        let world = World::start();
        world.of("shard-c").for_each(|shard| shard.set_behavior(behavior));
        let node = world.ready_node().await;
        let response = node.send(request("s1", "GET", "/search/", "")).await;
        assert_eq!(response.status(), 200, "{behavior:?}");
        assert_eq!(header(&response, "heatherseam-missing-parts"), "1", "{behavior:?}");
        assert!(!header(&response, "heatherseam-part-stamps").contains("shard-c"), "{behavior:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_an_unknown_outcome_is_not_sent_again() {
    let world = World::start();
    world.of("plain").for_each(|shard| shard.set_behavior(Behavior::ResetsAfterRun));
    let node = world.ready_node().await;
    for number in 0..5 {
        let response = node.send(request(&format!("b{number}"), "POST", "/book/", "x")).await;
        assert_eq!(response.status(), 502);
    }
    let counts = instance::run_counts(world.of("plain"));
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_sent_elsewhere_or_told_as_not_run() {
    let world = World::start();
    let plain: Vec<_> = world.of("plain").collect();
    plain[0].set_behavior(Behavior::Refuses);
    let node = world.ready_node().await;
    for number in 0..4 {
        let response = node.send(request(&format!("b{number}"), "POST", "/book/", "x")).await;
        assert_eq!(response.status(), 200);
    }
    plain[1].set_behavior(Behavior::Refuses);
    let response = node.send(request("last", "POST", "/book/", "x")).await;
    assert_eq!(response.status(), 503);
    assert!(!header(&response, "retry-after").is_empty());
    assert!(!instance::run_counts(world.of("plain")).contains_key("last"));
}

#[tokio::test(flavor = "multi_thread")]
async fn server_failure_is_passed_on_unchanged() {
    let world = World::start();
    world.of("plain").for_each(|shard| shard.set_behavior(Behavior::ServerError));
    let node = world.ready_node().await;
    let response = node.send(request("b1", "POST", "/book/", "x")).await;
    assert_eq!(response.status(), 500);
    assert!(header(&response, "heatherseam-server-stamp").ends_with(".b1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn address_of_another_server_is_left_alone() {
    let world = World::start();
    world.publish();
    let plain: Vec<_> = world.of("plain").collect();
    // The entry names a server that is gone; its address belongs to another one.
    let mut stale = plain[0].entry("ready");
    stale["service"] = json!("shard-a");
    world.store.put("servers", "gone", &stale);
    let node = world.node();
    node.ready().await;
    for number in 0..6 {
        let response = node.send(request(&format!("s{number}"), "GET", "/search/", "")).await;
        assert_eq!(
            (response.status().as_u16(), header(&response, "heatherseam-missing-parts")),
            (200, "0")
        );
    }
    assert!(plain[0].runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_server_gets_no_new_work() {
    let world = World::start();
    let node = world.ready_node().await;
    let plain: Vec<_> = world.of("plain").collect();
    world.store.put("servers", &plain[0].id, &plain[0].entry("draining"));
    // The bound within which a leaving server must get no more work.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = plain[0].runs().len();
    for number in 0..10 {
        assert_eq!(
            node.send(request(&format!("v{number}"), "GET", "/view/", "")).await.status(),
            200
        );
    }
    assert_eq!(plain[0].runs().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn version_comes_into_force_and_never_goes_back() {
    let world = World::start();
    let node = world.ready_node().await;
    let added = json!([{
        "name": "new", "host": deployed::HOST, "path_prefix": "/new/", "route_type": "idempotent",
        "timeout_ms": 8000, "objective_ms": 2000, "max_attempts": 2, "service": "plain"
    }]);
    world.store.put("config", "main", &config(9, added));
    eventually("the new route is served", async || {
        node.send(request("1", "GET", "/new/", "")).await.status() == 200
    })
    .await;
    // An older version and one that can't be read leave the last one in force.
    world.store.put("config", "main", &config(5, json!([])));
    world.store.put("config", "main", &json!({ "version": 20, "routes": "none" }));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(node.send(request("2", "GET", "/new/", "")).await.status(), 200);
    let unreadable = |line: &serde_json::Value| line["event"] == "An object is invalid.";
    assert_eq!(node.log().iter().filter(|line| unreadable(line)).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_may_be_away_and_lose_its_history() {
    let world = World::start();
    let node = world.ready_node().await;
    for behavior in [store::Behavior::Unavailable, store::Behavior::ResetsConnections] {
        world.store.set_behavior(behavior);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(node.send(request("1", "GET", "/search/", "")).await.status(), 200);
        let plain: Vec<_> = world.of("plain").collect();
        world.store.delete("servers", &plain[0].id);
        world.store.compact();
        world.store.put("servers", &plain[0].id, &plain[0].entry("ready"));
        world.store.set_behavior(store::Behavior::Healthy);
    }
    let added = json!([{
        "name": "new", "host": deployed::HOST, "path_prefix": "/new/", "route_type": "idempotent",
        "timeout_ms": 8000, "objective_ms": 2000, "max_attempts": 2, "service": "plain"
    }]);
    world.store.put("config", "main", &config(9, added));
    eventually("the new route is served", async || {
        node.send(request("2", "GET", "/new/", "")).await.status() == 200
    })
    .await;
}

/// The time after an outage from which the store counts as stable.
const STABLE_AFTER: Duration = Duration::from_secs(4);
/// The time within which a version must then be in force.
const APPLY: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn watch_that_a_silent_store_forgot_is_asked_again() {
    let world = World::start();
    let node = world.ready_node().await;
    world.store.set_behavior(store::Behavior::Hangs);
    tokio::time::sleep(Duration::from_millis(500)).await;
    world.store.set_behavior(store::Behavior::Healthy);
    tokio::time::sleep(STABLE_AFTER).await;
    let added = json!([{
        "name": "new", "host": deployed::HOST, "path_prefix": "/new/", "route_type": "idempotent",
        "timeout_ms": 8000, "objective_ms": 2000, "max_attempts": 2, "service": "plain"
    }]);
    world.store.put("config", "main", &config(9, added));
    tokio::time::sleep(APPLY).await;
    assert_eq!(node.send(request("1", "GET", "/new/", "")).await.status(), 200);
}
