//! Requests through a node that runs as a process on the users' platform.

mod deployed;

use std::time::Duration;

use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::config;
use crate::deployed::header;
use crate::deployed::record;
use crate::deployed::request;
use fakes::instance;
use fakes::instance::Behavior;
use fakes::store;
use fakes::wait::eventually;

#[tokio::test(flavor = "multi_thread")]
async fn search_returns_the_top_records() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let response = node.send(request("s1", "GET", "/search/2f?x=1", "")).await;
    assert_eq!(response.status(), 200);
    let expected = [record(103, 2), record(102, 2), record(101, 2), record(3, 1)].concat();
    assert_eq!(response.body().as_ref(), expected);
    assert_eq!(header(&response, "heatherseam-missing-parts"), "0");
    let stamps: Vec<&str> = header(&response, "heatherseam-part-stamps").split(", ").collect();
    assert_eq!(stamps.len(), 3);
    assert!(stamps.iter().all(|stamp| stamp.ends_with(".s1")), "{stamps:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_forwarded_unchanged() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let response = node.send(request("b1", "POST", "/book/a/b?c=d%20e", "a claim")).await;
    assert_eq!(response.status(), 200);
    assert!(header(&response, "heatherseam-server-stamp").ends_with(".b1"));
    assert_eq!(header(&response, "heatherseam-request-id"), "b1");
    let runs: Vec<instance::Run> =
        cluster.servers_of("plain").flat_map(|server| server.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!((runs[0].method.as_str(), runs[0].path.as_str()), ("POST", "/book/a/b?c=d%20e"));
    assert_eq!(runs[0].body, b"a claim");
    assert!(runs[0].deadline_ms <= deployed::TIMEOUT_MS);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_version_requests_are_refused_at_once() {
    let cluster = Cluster::start();
    let node = cluster.start_node();
    eventually("the node listens", async || {
        fakes::http::send(node.caller_address, request("1", "GET", "/view/", "")).await.is_ok()
    })
    .await;
    let response = node.send(request("2", "GET", "/view/", "")).await;
    assert_eq!(response.status(), 503);
    assert!(!header(&response, "retry-after").is_empty());
    assert!(!node.is_ready().await);
    assert!(node.lookup().await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    assert_eq!(node.send(request("1", "GET", "/nowhere/", "")).await.status(), 404);
    let long = "x".repeat(1001);
    assert_eq!(node.send(request("2", "POST", "/book/", &long)).await.status(), 413);
    let mut without_id = request("3", "GET", "/view/", "");
    without_id.headers_mut().remove("heatherseam-request-id");
    assert_eq!(node.send(without_id).await.status(), 400);
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_shard_is_reported() {
    let cluster = Cluster::start();
    cluster.servers_of("shard-b").for_each(|server| server.set_behavior(Behavior::Refuses));
    let node = cluster.start_ready_node().await;
    let response = node.send(request("s1", "GET", "/search/", "")).await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "heatherseam-missing-parts"), "1");
    assert_eq!(header(&response, "heatherseam-part-stamps").split(", ").count(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_replies_are_never_merged() {
    for behavior in [
        Behavior::WrongRequestId,
        Behavior::MissingStamp,
        Behavior::ServerError,
        Behavior::ResetsAfterRun,
    ] {
        let cluster = Cluster::start();
        cluster.servers_of("shard-c").for_each(|server| server.set_behavior(behavior));
        let node = cluster.start_ready_node().await;
        let response = node.send(request("s1", "GET", "/search/", "")).await;
        assert_eq!(response.status(), 200, "{behavior:?}");
        assert_eq!(header(&response, "heatherseam-missing-parts"), "1", "{behavior:?}");
        assert!(!header(&response, "heatherseam-part-stamps").contains("shard-c"), "{behavior:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_an_unknown_outcome_is_not_retried() {
    let cluster = Cluster::start();
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::ResetsAfterRun));
    let node = cluster.start_ready_node().await;
    for number in 0..5 {
        let response = node.send(request(&format!("b{number}"), "POST", "/book/", "x")).await;
        assert_eq!(response.status(), 502);
    }
    let counts = instance::run_counts(cluster.servers_of("plain"));
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_retried_elsewhere_or_reported_as_not_run() {
    let cluster = Cluster::start();
    let plain: Vec<_> = cluster.servers_of("plain").collect();
    plain[0].set_behavior(Behavior::Refuses);
    let node = cluster.start_ready_node().await;
    for number in 0..4 {
        let response = node.send(request(&format!("b{number}"), "POST", "/book/", "x")).await;
        assert_eq!(response.status(), 200);
    }
    plain[1].set_behavior(Behavior::Refuses);
    let response = node.send(request("last", "POST", "/book/", "x")).await;
    assert_eq!(response.status(), 503);
    assert!(!header(&response, "retry-after").is_empty());
    assert!(!instance::run_counts(cluster.servers_of("plain")).contains_key("last"));
}

#[tokio::test(flavor = "multi_thread")]
async fn server_error_is_forwarded_unchanged() {
    let cluster = Cluster::start();
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::ServerError));
    let node = cluster.start_ready_node().await;
    let response = node.send(request("b1", "POST", "/book/", "x")).await;
    assert_eq!(response.status(), 500);
    assert!(header(&response, "heatherseam-server-stamp").ends_with(".b1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn server_at_a_reused_address_is_not_used() {
    let cluster = Cluster::start();
    cluster.publish();
    let plain: Vec<_> = cluster.servers_of("plain").collect();
    // The entry is of a server that no longer exists; its address now belongs to
    // another server.
    let mut stale = plain[0].entry("ready");
    stale["service"] = json!("shard-a");
    cluster.store.put("servers", "gone", &stale);
    let node = cluster.start_node();
    node.wait_until_ready().await;
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
async fn draining_server_gets_no_new_requests() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let plain: Vec<_> = cluster.servers_of("plain").collect();
    cluster.store.put("servers", &plain[0].id, &plain[0].entry("draining"));
    // The time after which a draining server must get no more requests.
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
async fn new_version_is_applied_and_never_reverted() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let added = json!([{
        "name": "new", "host": deployed::HOST, "path_prefix": "/new/", "route_type": "idempotent",
        "timeout_ms": 8000, "objective_ms": 2000, "max_attempts": 2, "service": "plain"
    }]);
    cluster.store.put("config", "main", &config(9, added));
    eventually("the new route is served", async || {
        node.send(request("1", "GET", "/new/", "")).await.status() == 200
    })
    .await;
    // An older version and an invalid one leave the current version in force.
    cluster.store.put("config", "main", &config(5, json!([])));
    cluster.store.put("config", "main", &json!({ "version": 20, "routes": "none" }));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(node.send(request("2", "GET", "/new/", "")).await.status(), 200);
    let is_invalid = |line: &serde_json::Value| line["event"] == "An object is invalid.";
    assert_eq!(node.log_lines().iter().filter(|line| is_invalid(line)).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_with_a_compacted_history_is_survived() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    for behavior in [store::Behavior::Unavailable, store::Behavior::ResetsConnections] {
        cluster.store.set_behavior(behavior);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(node.send(request("1", "GET", "/search/", "")).await.status(), 200);
        let plain: Vec<_> = cluster.servers_of("plain").collect();
        cluster.store.delete("servers", &plain[0].id);
        cluster.store.compact();
        cluster.store.put("servers", &plain[0].id, &plain[0].entry("ready"));
        cluster.store.set_behavior(store::Behavior::Healthy);
    }
    let added = json!([{
        "name": "new", "host": deployed::HOST, "path_prefix": "/new/", "route_type": "idempotent",
        "timeout_ms": 8000, "objective_ms": 2000, "max_attempts": 2, "service": "plain"
    }]);
    cluster.store.put("config", "main", &config(9, added));
    eventually("the new route is served", async || {
        node.send(request("2", "GET", "/new/", "")).await.status() == 200
    })
    .await;
}

/// The time after an outage until the store counts as stable.
const STABLE_AFTER: Duration = Duration::from_secs(4);
/// The time within which a version must then be applied.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn watch_is_renewed_after_the_store_hung() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    cluster.store.set_behavior(store::Behavior::Hangs);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.store.set_behavior(store::Behavior::Healthy);
    tokio::time::sleep(STABLE_AFTER).await;
    let added = json!([{
        "name": "new", "host": deployed::HOST, "path_prefix": "/new/", "route_type": "idempotent",
        "timeout_ms": 8000, "objective_ms": 2000, "max_attempts": 2, "service": "plain"
    }]);
    cluster.store.put("config", "main", &config(9, added));
    tokio::time::sleep(APPLY_LIMIT).await;
    assert_eq!(node.send(request("1", "GET", "/new/", "")).await.status(), 200);
}
