//! Servers that are unreachable: connection attempts to them get no answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::header;
use crate::deployed::request;
use fakes::wait::eventually;

mod deployed;

/// The route's soft deadline (`objective_ms`) in [`deployed::config`].
const SOFT_DEADLINE: Duration = Duration::from_secs(2);

/// An address whose accept queue is full, so that the SYN packet of a further
/// connection is dropped.
struct Unreachable {
    address: SocketAddr,
    _listener: TcpListener,
    _pending: Vec<TcpStream>,
}

impl Unreachable {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("an address");
        let listener = socket.listen(0).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut pending = Vec::new();
        let connect_timeout = Duration::from_millis(200);
        while let Ok(Ok(stream)) = timeout(connect_timeout, TcpStream::connect(address)).await {
            pending.push(stream);
        }
        Self { address, _listener: listener, _pending: pending }
    }
}

fn register_at(cluster: &Cluster, service: &str, address: SocketAddr) {
    for server in cluster.servers_of(service) {
        let mut entry = server.entry("ready");
        entry["address"] = Value::from(address.to_string());
        cluster.store.put("servers", &server.id, &entry);
    }
}

/// Sends requests until one is answered fast, since the first ones wait until the node
/// considers the servers unreachable; then every answer must be fast. Calls `check`
/// with each answer.
async fn assert_answers_become_fast(
    node: &Node,
    method: &str,
    path: &str,
    check: impl Fn(&Response<Bytes>),
) {
    let mut number = 0;
    let mut send = async || {
        number += 1;
        let started = Instant::now();
        let answer = node.send(request(&format!("d{number}"), method, path, "")).await;
        check(&answer);
        started.elapsed()
    };
    eventually("an answer is fast", async || send().await < SOFT_DEADLINE / 8).await;
    for _ in 0..40 {
        let elapsed = send().await;
        assert!(elapsed < SOFT_DEADLINE / 8, "{elapsed:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_shard_does_not_delay_answers() {
    let unreachable = Unreachable::start().await;
    let cluster = Cluster::start();
    cluster.publish();
    register_at(&cluster, "shard-c", unreachable.address);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    assert_answers_become_fast(&node, "GET", "/search/", |answer| {
        assert_eq!(answer.status(), 200);
        assert_eq!(header(answer, "heatherseam-missing-parts"), "1");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_an_unreachable_service_is_refused_at_once() {
    let unreachable = Unreachable::start().await;
    let cluster = Cluster::start();
    cluster.publish();
    register_at(&cluster, "plain", unreachable.address);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    assert_answers_become_fast(&node, "POST", "/book/", |answer| {
        assert_eq!(answer.status(), 503);
        assert!(!header(answer, "retry-after").is_empty());
    })
    .await;
    // Requests are served again once the service is reachable.
    cluster.publish();
    eventually("the request is served", async || {
        node.send(request("back", "POST", "/book/", "x")).await.status() == 200
    })
    .await;
}
