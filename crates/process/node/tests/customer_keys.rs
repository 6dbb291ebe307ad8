//! Customers, their keys and quotas, at nodes that run as processes.

mod deployed;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::http::HeaderValue;
use serde_json::Value;
use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::header;
use crate::deployed::request;
use fakes::instance;
use fakes::store;
use fakes::wait::eventually;

/// The time within which a version must be in force, as the settings of the nodes state it.
const APPLY_BOUND: Duration = Duration::from_millis(3000);

/// A version with one customer that has these keys, a public route, and one without servers.
fn version(number: u64, keys: &[&str], rate: f64, burst: f64) -> Value {
    let public = json!({
        "name": "open", "host": deployed::HOST, "path_prefix": "/open/", "public": true,
        "route_type": "idempotent", "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000,
        "max_attempts": 2, "service": "plain"
    });
    let gone = json!({
        "name": "gone", "host": deployed::HOST, "path_prefix": "/gone/",
        "route_type": "idempotent", "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000,
        "max_attempts": 2, "service": "gone"
    });
    let mut spec = config(number, json!([public, gone]));
    spec["tenants"] =
        json!([{ "name": "mill", "api_keys": keys, "rate_per_s": rate, "burst": burst }]);
    spec
}

fn keyed(id: &str, path: &str, key: &str) -> Request<Full<Bytes>> {
    let mut request = request(id, "GET", path, "");
    let key = HeaderValue::from_str(key).expect("a header value");
    request.headers_mut().insert("heatherseam-credential", key);
    request.headers_mut().insert("heatherseam-tenant", HeaderValue::from_static("someone"));
    request
}

async fn status(node: &Node, path: &str, key: &str) -> u16 {
    node.send(keyed("k", path, key)).await.status().as_u16()
}

async fn start_with(cluster: &Cluster, version: &Value) -> Node {
    cluster.publish();
    cluster.store.put("config", "main", version);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    node
}

fn runs(cluster: &Cluster, id: &str) -> Vec<instance::Run> {
    let runs = cluster.servers_of("plain").flat_map(|server| server.runs());
    runs.filter(|run| run.id == id).collect()
}

/// Guards against requests without a valid key, keys that reach a server, customers that a caller
/// makes up, and keys in the log, the metrics or the state for operators.
#[tokio::test(flavor = "multi_thread")]
async fn keys_identify_customers_and_stay_secret() {
    let cluster = Cluster::start();
    let node = start_with(&cluster, &version(5, &["old-secret"], 0.0, 0.0)).await;
    assert_eq!(node.send(request("none", "GET", "/view/x", "")).await.status(), 401);
    assert_eq!(status(&node, "/view/x", "wrong-secret").await, 401);
    assert_eq!(node.send(keyed("own", "/view/x", "old-secret")).await.status(), 200);
    let mut named = keyed("named", "/view/x", "old-secret");
    let connection = HeaderValue::from_static("heatherseam-tenant");
    named.headers_mut().insert("connection", connection);
    assert_eq!(node.send(named).await.status(), 200);
    assert_eq!(node.send(keyed("open", "/open/x", "wrong-secret")).await.status(), 200);
    for (id, customer) in [("own", "mill"), ("named", "mill"), ("open", "")] {
        let runs = runs(&cluster, id);
        assert!(!runs.is_empty(), "{id}");
        assert!(runs.iter().all(|run| run.customer == customer && !run.has_credential), "{runs:?}");
    }
    // A malformed version, whose reason is logged.
    let mut malformed = version(6, &[], 0.0, 0.0);
    malformed["tenants"][0]["api_keys"] = json!("old-secret");
    cluster.store.put("config", "main", &malformed);
    let is_reported = |line: &Value| line["event"] == "An object is invalid.";
    eventually("it is reported", async || node.log_lines().iter().any(is_reported)).await;
    let state = node.operate("GET", "/status").await;
    let state = String::from_utf8_lossy(state.body()).into_owned();
    assert!(state.contains("\"mill\""), "{state}");
    let log = json!(node.log_lines()).to_string();
    for text in [state, node.metrics().await, log] {
        assert!(!text.contains("old-secret") && !text.contains("wrong-secret"), "{text}");
    }
}

/// Guards against a rotation without two valid keys, a revoked key that stays valid, and one that
/// becomes valid again after the store's return from an older copy, also at a node that starts.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_does_not_return_with_an_older_copy() {
    let cluster = Cluster::start();
    let node = start_with(&cluster, &version(5, &["old-secret", "new-secret"], 0.0, 0.0)).await;
    assert_eq!(status(&node, "/view/x", "old-secret").await, 200);
    assert_eq!(status(&node, "/view/x", "new-secret").await, 200);
    let is_registered = || !cluster.store.names("heatherseam-nodes").is_empty();
    eventually("the node is registered", async || is_registered()).await;
    let backup = cluster.store.backup();
    cluster.store.put("config", "main", &version(6, &["new-secret"], 0.0, 0.0));
    let start = Instant::now();
    let is_revoked = async || status(&node, "/view/x", "old-secret").await == 401;
    eventually("the key is revoked", is_revoked).await;
    assert!(start.elapsed() < APPLY_BOUND, "took {:?}", start.elapsed());
    cluster.store.restore(&backup);
    let late = cluster.start_node();
    let mut answered = 0;
    let start = Instant::now();
    while start.elapsed() < APPLY_BOUND * 2 || answered == 0 {
        assert_eq!(status(&node, "/view/x", "old-secret").await, 401);
        let old = fakes::http::send(late.caller_address, keyed("k", "/view/x", "old-secret")).await;
        if let Ok(response) = old {
            assert!([401, 503].contains(&response.status().as_u16()), "{}", response.status());
            answered += u32::from(response.status() == 401);
        }
        assert!(start.elapsed() < APPLY_BOUND * 10, "the late node does not answer");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status(&late, "/view/x", "new-secret").await, 200);
}

/// Guards against a 401 for a key that is newer than the configuration of a node without contact
/// to the store.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_key_is_refused_for_now_while_the_store_is_away() {
    let cluster = Cluster::start();
    let node = start_with(&cluster, &version(5, &["old-secret"], 0.0, 0.0)).await;
    cluster.store.set_behavior(store::Behavior::Unavailable);
    let is_late = async || status(&node, "/view/x", "new-secret").await == 503;
    eventually("the configuration is old", is_late).await;
    let response = node.send(keyed("k", "/view/x", "new-secret")).await;
    assert!(!header(&response, "retry-after").is_empty());
    assert_eq!(status(&node, "/view/x", "old-secret").await, 200);
    assert_eq!(node.send(request("none", "GET", "/view/x", "")).await.status(), 401);
}

/// Guards against requests above the quota, a time at which there is no token yet, and tokens that
/// requests take which have not run.
#[tokio::test(flavor = "multi_thread")]
async fn requests_above_the_quota_are_refused_with_a_time() {
    let cluster = Cluster::start();
    let node = start_with(&cluster, &version(5, &["a-secret"], 1.0, 5.0)).await;
    // More than the settings permit; no server is registered for this route.
    for number in 0..60 {
        let response = node.send(keyed(&format!("r{number}"), "/gone/x", "a-secret")).await;
        assert_eq!(response.status(), 503, "request {number} took a token and had not run");
    }
    let mut refused = None;
    // The settings permit 31 requests in 5 s.
    for number in 0..60 {
        let response = node.send(keyed(&format!("h{number}"), "/view/x", "a-secret")).await;
        if response.status() == 429 {
            refused = Some(response);
            break;
        }
    }
    let refused = refused.expect("a request above the quota");
    let wait: f64 = header(&refused, "retry-after").parse().expect("a time");
    assert!(wait > 0.0 && wait < 10.0, "{wait}");
    assert_eq!(status(&node, "/nowhere/", "a-secret").await, 404);
    tokio::time::sleep(Duration::from_secs_f64(wait)).await;
    assert_eq!(status(&node, "/view/x", "a-secret").await, 200);
    let is_named = |line: &Value| line["status"] == 429 && line["customer"] == "mill";
    eventually("the log names it", async || node.log_lines().iter().any(is_named)).await;
}

/// Guards against refusals that operators don't see by customer, because the request had no token.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_without_a_token_are_counted() {
    let cluster = Cluster::start();
    let mut spec = version(5, &["a-secret"], 0.0, 0.0);
    spec["limits"] = json!({ "max_body_bytes": 4 });
    let node = start_with(&cluster, &spec).await;
    let mut large = keyed("large", "/view/x", "a-secret");
    *large.body_mut() = Full::new(Bytes::from_static(b"12345"));
    assert_eq!(node.send(large).await.status(), 413);
    let state = node.operate("GET", "/status").await;
    let state: Value = serde_json::from_slice(state.body()).expect("JSON");
    let refused = &state["customers"]["refused"];
    assert_eq!((&refused[0]["customer"], &refused[0]["count"]), (&json!("mill"), &json!(1)));
    assert_eq!(state["customers"]["refused_below_quota"], json!([]));
}
