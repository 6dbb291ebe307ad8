//! Callers that pause while they read their answers, with time left until their deadline.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::deployed::Cluster;
use crate::deployed::HOST;
use crate::deployed::Node;
use crate::deployed::TIMEOUT_MS;
use crate::deployed::config;
use fakes::raw::Server;
use fakes::wait::with_timeout;

mod deployed;

/// Small, so that the answer waits in the node.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

/// An answer whose body has as many bytes as the last part of the path says.
fn answer(path: &str, id: &str) -> Vec<u8> {
    let length = path.rsplit('/').next().and_then(|length| length.parse().ok()).unwrap_or(16);
    let head = format!(
        "HTTP/1.1 200 OK\r\nheatherseam-request-id: {id}\r\n\
         heatherseam-server-stamp: large.{id}\r\ncontent-length: {length}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'x'; length]].concat()
}

async fn start() -> (Cluster, Node, Server) {
    let cluster = Cluster::start();
    cluster.publish();
    let answer = Arc::new(answer);
    let server = Server::start("large-0", "large", answer).await.expect("a server");
    cluster.store.put("servers", server.id(), &server.entry());
    let route = json!([{
        "name": "large", "host": HOST, "path_prefix": "/large/", "route_type": "idempotent",
        "timeout_ms": TIMEOUT_MS, "objective_ms": 2000, "priority": 1, "max_attempts": 2,
        "service": "large"
    }]);
    let mut config = config(4, route);
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({ "name": "large", "max_conns": 100 }));
    cluster.store.put("config", "main", &config);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node, server)
}

async fn connect(node: &Node) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.connect(node.caller_address).await.expect("a connection")
}

/// Sends a request and reads its answer with a pause after the first bytes; returns how much came, or
/// `None` if the request was refused.
async fn read_slowly(
    stream: &mut TcpStream,
    id: &str,
    length: usize,
    pause: Duration,
) -> Option<usize> {
    let head = format!(
        "GET /large/{length} HTTP/1.1\r\nhost: {HOST}\r\nheatherseam-request-id: {id}\r\n\
         heatherseam-deadline-ms: {TIMEOUT_MS}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return Some(0);
    }
    let mut received = Vec::new();
    let mut part = vec![0; 1024];
    let head_length = loop {
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return Some(0),
            Ok(count) => received.extend_from_slice(&part[..count]),
        }
        if let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end + 4;
        }
    };
    if !received.starts_with(b"HTTP/1.1 200") {
        return None;
    }
    tokio::time::sleep(pause).await;
    part.resize(64 << 10, 0);
    while received.len() < head_length + length {
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => break,
            Ok(count) => received.extend_from_slice(&part[..count]),
        }
    }
    Some(received.len() - head_length)
}

/// Guards against a live caller that pauses and is taken for a dead one: its request has run and its
/// answer is lost (review/8).
#[tokio::test(flavor = "multi_thread")]
async fn answer_to_a_caller_that_pauses_is_whole() {
    let (_cluster, node, _server) = start().await;
    let mut cases = Vec::new();
    for pause_ms in [300, 2000, 5000] {
        for length in [1000, 18_000, 1 << 20, 4 << 20] {
            cases.push((pause_ms, length));
        }
    }
    let node = &node;
    let read = |(pause_ms, length): (u64, usize)| async move {
        let mut stream = connect(node).await;
        let mut lost = Vec::new();
        for number in 0..2 {
            let pause = Duration::from_millis(pause_ms);
            let mut tries = 0;
            let count = loop {
                let id = format!("p-{pause_ms}-{length}-{number}-{tries}");
                if let Some(count) = read_slowly(&mut stream, &id, length, pause).await {
                    break count;
                }
                tries += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            };
            if count != length {
                lost.push(format!("{length} B, {pause_ms} ms, answer {number}: {count} B"));
            }
        }
        lost
    };
    let lost = with_timeout("all answers", join_all(cases.into_iter().map(read))).await.concat();
    assert!(lost.is_empty(), "{lost:?}");
}
