//! Messages between nodes, from callers and from servers that make no sense.

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::PEER_PORT;
use crate::deployed::request;
use fakes::wait::eventually;
use fakes::wait::with_timeout;

mod deployed;

/// The first byte of a datagram with notices.
const NOTICES: u8 = 0xc1;

/// A heartbeat of a node, as another one receives it.
async fn captured(cluster: &Cluster, node: &Node) -> Vec<u8> {
    // Seeds get heartbeats at the port for traffic between nodes.
    let ip = "127.0.0.77".parse().expect("an address");
    let socket = UdpSocket::bind(SocketAddr::new(ip, PEER_PORT)).await.expect("a socket");
    let seeds = [socket.local_addr().expect("an address"), node.caller_address];
    let _sender = cluster.start_node_with_seeds(&seeds);
    let mut buffer = [0; 2000];
    let received = with_timeout("a heartbeat", socket.recv_from(&mut buffer)).await;
    let (length, _) = received.expect("a heartbeat");
    buffer[..length].to_vec()
}

/// Guards against a process, or the task that reads other nodes' messages, that ends at one which
/// it can't read.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_of_nodes_end_nothing() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let heartbeat = captured(&cluster, &node).await;
    let socket = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a socket");
    let to = SocketAddr::new(node.caller_address.ip(), PEER_PORT);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for number in 0..3000 {
        let mut datagram = match number % 4 {
            0 => heartbeat.clone(),
            1 => heartbeat[..rng.random_range(0..heartbeat.len())].to_vec(),
            // A list of notices with any content.
            2 => {
                let length = rng.random_range(1..200);
                let bytes = (0..length).map(|_| rng.random::<u8>());
                [NOTICES, 0x91, 0x94, 0x92].into_iter().chain(bytes).collect()
            }
            _ => (0..rng.random_range(0..1400)).map(|_| rng.random::<u8>()).collect(),
        };
        if number % 4 == 0 {
            for _ in 0..rng.random_range(1..6) {
                let at = rng.random_range(0..datagram.len());
                datagram[at] = rng.random();
            }
        }
        socket.send_to(&datagram, to).await.expect("it is sent");
        if number % 100 == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }
    assert_eq!(node.send(request("a", "GET", "/search/x", "")).await.status(), 200);
    // It still takes note of other nodes.
    let other = cluster.start_node_with_seeds(&[node.caller_address]);
    eventually("both nodes are named", async || {
        let named = node.lookup().await;
        named.contains(&node.caller_address.to_string())
            && named.contains(&other.caller_address.to_string())
    })
    .await;
}

/// Guards against a process that ends, or no longer accepts, after bytes that are no request.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_end_nothing() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let peer = SocketAddr::new(node.caller_address.ip(), PEER_PORT);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let heads: [&[u8]; 5] = [
        b"",
        b"GET /search/x HTTP/1.1\r\n",
        b"POST /book/x HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 99999999999999999999\r\n\r\n",
        b"POST /poll HTTP/1.1\r\ncontent-length: 200\r\n\r\n",
        b"GET /search/x HTTP/1.1\r\nhost: desk.example\r\nentry-forwarded: 1\r\n\r\n",
    ];
    for address in [node.caller_address, peer] {
        for number in 0..100 {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let noise: Vec<u8> = (0..rng.random_range(0..300)).map(|_| rng.random()).collect();
            let bytes = [heads[number % heads.len()], &noise].concat();
            // The node may have closed the connection already.
            let _ = stream.write_all(&bytes).await;
            let _ = stream.shutdown().await;
            let mut answer = Vec::new();
            let _ = with_timeout("the end", stream.read_to_end(&mut answer)).await;
        }
    }
    assert_eq!(node.send(request("a", "GET", "/search/x", "")).await.status(), 200);
    assert!(node.is_ready().await);
}
