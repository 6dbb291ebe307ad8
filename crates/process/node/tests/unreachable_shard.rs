//! Servers that answer nothing at all, not even a connect.

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

use crate::deployed::Node;
use crate::deployed::World;
use crate::deployed::header;
use crate::deployed::request;
use fakes::wait::eventually;

mod deployed;

/// The objective of the route, in [`deployed::config`].
const OBJECTIVE: Duration = Duration::from_secs(2);

/// An address whose line of new connections is full, so that the opening packet
/// of a further one is dropped.
struct Dark {
    address: SocketAddr,
    _listener: TcpListener,
    _line: Vec<TcpStream>,
}

impl Dark {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("an address");
        let listener = socket.listen(0).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut line = Vec::new();
        let limit = Duration::from_millis(200);
        while let Ok(Ok(stream)) = timeout(limit, TcpStream::connect(address)).await {
            line.push(stream);
        }
        Self { address, _listener: listener, _line: line }
    }
}

fn put_at(world: &World, service: &str, address: SocketAddr) {
    for shard in world.of(service) {
        let mut entry = shard.entry("ready");
        entry["address"] = Value::from(address.to_string());
        world.store.put("servers", &shard.id, &entry);
    }
}

/// Asks until an answer comes quickly, for the first requests find out that
/// nothing is there; from then on every answer must. `check` sees each.
async fn all_quick_in_the_end(
    node: &Node,
    method: &str,
    path: &str,
    check: impl Fn(&Response<Bytes>),
) {
    let mut number = 0;
    let mut ask = async || {
        number += 1;
        let began = Instant::now();
        let answer = node.send(request(&format!("d{number}"), method, path, "")).await;
        check(&answer);
        began.elapsed()
    };
    eventually("nobody waits", async || ask().await < OBJECTIVE / 8).await;
    for _ in 0..40 {
        let took = ask().await;
        assert!(took < OBJECTIVE / 8, "{took:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn dark_shard_is_not_waited_for() {
    let dark = Dark::start().await;
    let world = World::start();
    world.publish();
    put_at(&world, "shard-c", dark.address);
    let node = world.node();
    node.ready().await;
    all_quick_in_the_end(&node, "GET", "/search/", |answer| {
        assert_eq!(answer.status(), 200);
        assert_eq!(header(answer, "heatherseam-missing-parts"), "1");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_for_a_dark_service_is_refused_at_once() {
    let dark = Dark::start().await;
    let world = World::start();
    world.publish();
    put_at(&world, "plain", dark.address);
    let node = world.node();
    node.ready().await;
    all_quick_in_the_end(&node, "POST", "/book/", |answer| {
        assert_eq!(answer.status(), 503);
        assert!(!header(answer, "retry-after").is_empty());
    })
    .await;
    // It is served again once the service is back.
    world.publish();
    eventually("it is served", async || {
        node.send(request("back", "POST", "/book/", "x")).await.status() == 200
    })
    .await;
}
