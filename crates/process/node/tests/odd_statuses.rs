//! Servers that answer with statuses that are no final ones of HTTP.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::http::HeaderValue;
use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::PEER_PORT;
use crate::deployed::config;
use crate::deployed::header;
use crate::deployed::record;
use crate::deployed::request;
use fakes::http;
use fakes::raw::Server;
use fakes::wait::with_timeout;

mod deployed;

/// What the HTTP library rejects by itself, and what it passes on.
const STATUSES: [&str; 12] =
    ["000", "099", "100", "101", "102", "199", "600", "700", "999", "1000", "2x0", ""];

/// A whole answer but for its status, which is the last part of the request's path.
fn answer(server: &str, path: &str, id: &str) -> Vec<u8> {
    let status = path.rsplit('/').next().unwrap_or_default();
    let status = if status == "x" { "200" } else { status };
    let head = format!(
        "HTTP/1.1 {status} So\r\nheatherseam-request-id: {id}\r\n\
         heatherseam-server-stamp: {server}.{id}\r\ncontent-length: 16\r\n\r\n"
    );
    [head.as_bytes(), &record(1, 1)].concat()
}

/// A node whose servers of the services `odd` and `part` answer with the statuses that their
/// requests name; three routes lead there: `/one/`, `/once/` (not idempotent) and `/all/`, a search
/// over `part` and a sound shard.
async fn start() -> (Cluster, Node, Vec<Server>) {
    let cluster = Cluster::start();
    cluster.publish();
    let mut servers = Vec::new();
    for (id, service) in [("odd-0", "odd"), ("odd-1", "odd"), ("part-0", "part")] {
        let answer = Arc::new(move |path: &str, request: &str| answer(id, path, request));
        let server = Server::start(id, service, answer).await.expect("a server");
        cluster.store.put("servers", server.id(), &server.entry());
        servers.push(server);
    }
    let route = |prefix: &str, kind: &str, target: (&str, serde_json::Value)| {
        let mut route = json!({
            "name": prefix, "host": deployed::HOST, "path_prefix": prefix, "route_type": kind,
            "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000, "priority": 1,
            "max_attempts": 2, "top_k": 4, "min_coverage": 0.4
        });
        route[target.0] = target.1;
        route
    };
    let routes = json!([
        route("/one/", "idempotent", ("service", json!("odd"))),
        route("/once/", "non_idempotent", ("service", json!("odd"))),
        route("/all/", "idempotent", ("gather", json!(["part", "shard-b"]))),
    ]);
    let mut config = config(4, routes);
    let services = config["services"].as_array_mut().expect("services");
    services.extend(["odd", "part"].map(|name| json!({ "name": name, "max_conns": 25 })));
    cluster.store.put("config", "main", &config);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node, servers)
}

/// The answer to a request that another node has passed on.
async fn pass_on(node: &Node, id: &str, path: &str) -> Response<Bytes> {
    let mut request = request(id, "GET", path, "");
    request.headers_mut().insert("entry-forwarded", HeaderValue::from_static("4"));
    let mut address = node.caller_address;
    address.set_port(PEER_PORT);
    let sent = with_timeout("a request that is passed on", http::send(address, request));
    sent.await.expect("an answer")
}

/// Guards against a status that is no answer of HTTP and reaches the caller as one.
#[tokio::test(flavor = "multi_thread")]
async fn status_that_is_no_final_one_is_no_answer() {
    let (_cluster, node, _servers) = start().await;
    let mut passed = Vec::new();
    for (number, status) in STATUSES.into_iter().enumerate() {
        for prefix in ["one", "once"] {
            let id = format!("{prefix}-{number}");
            let answer = node.send(request(&id, "GET", &format!("/{prefix}/{status}"), "")).await;
            if answer.status() != 502 || !header(&answer, "heatherseam-server-stamp").is_empty() {
                passed.push((prefix, status, answer.status()));
            }
        }
        // A sound answer in between, so that the servers are not left out.
        node.send(request(&format!("w-{number}"), "GET", "/one/x", "")).await;
    }
    assert!(passed.is_empty(), "answers: {passed:?}");
}

/// Guards against such an answer that becomes a part of a search.
#[tokio::test(flavor = "multi_thread")]
async fn status_that_is_no_final_one_is_no_part_of_a_search() {
    let (_cluster, node, _servers) = start().await;
    for (number, status) in STATUSES.into_iter().enumerate() {
        let answer =
            node.send(request(&format!("a-{number}"), "GET", &format!("/all/{status}"), "")).await;
        assert_eq!(answer.status(), 200, "{status}");
        assert_eq!(header(&answer, "heatherseam-missing-parts"), "1", "{status}");
        assert!(!header(&answer, "heatherseam-part-stamps").contains("part-0"), "{status}");
        node.send(request(&format!("w-{number}"), "GET", "/all/x", "")).await;
    }
}

/// Guards against such an answer to a request that another node has passed on.
#[tokio::test(flavor = "multi_thread")]
async fn status_that_is_no_final_one_is_not_passed_back() {
    let (_cluster, node, _servers) = start().await;
    let mut passed = Vec::new();
    for (number, status) in STATUSES.into_iter().enumerate() {
        let answer = pass_on(&node, &format!("p-{number}"), &format!("/one/{status}")).await;
        if answer.status() != 502 {
            passed.push((status, answer.status()));
        }
        pass_on(&node, &format!("w-{number}"), "/one/x").await;
    }
    assert!(passed.is_empty(), "answers: {passed:?}");
}
