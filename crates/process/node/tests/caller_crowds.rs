//! Crowds of callers that nobody controls, beside ordinary ones: bodies that stop short of their
//! end, heads that don't end, and connections that carry nothing.
//!
//! Each crowd needs several times what the node may hold, and whoever is turned away comes back at
//! once. Checked is what doesn't depend on the speed of the machine: that the process lives, its
//! memory and descriptors, and that ordinary requests are answered while the crowd is there, and
//! afterwards.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::deployed::Cluster;
use crate::deployed::MEMORY_MB;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::request;
use fakes::wait::eventually;

mod deployed;

/// The maximum size of a body.
const BODY_BYTES: usize = 256 << 10;
/// The descriptors that a node may use.
const MAX_DESCRIPTORS: usize = 400;
/// How long the crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// The pause of a caller whose connection ends before it comes back.
const RETURN_DELAY: Duration = Duration::from_millis(50);

/// What a caller of the crowd sends before it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// A body of a stated length, in one write.
    Whole,
    /// The same in pieces.
    Pieces,
    /// A body in large chunks.
    LargeChunks,
    /// A body in chunks of one byte.
    SmallChunks,
    /// Header lines without end, within the limit of a head.
    Head,
    /// Nothing.
    Nothing,
}

impl Form {
    /// The number of callers in the crowd.
    fn count(self) -> usize {
        match self {
            Self::Whole | Self::Pieces | Self::LargeChunks => 340,
            Self::SmallChunks => 64,
            Self::Head | Self::Nothing => 700,
        }
    }

    /// The bytes of a request, and the size of one write.
    fn bytes(self) -> (Vec<u8>, usize) {
        let head = |line: &str| {
            format!(
                "POST /book/x HTTP/1.1\r\nhost: {}\r\nheatherseam-request-id: crowd\r\n\
                 heatherseam-deadline-ms: {}\r\n{line}\r\n\r\n",
                deployed::HOST,
                deployed::TIMEOUT_MS
            )
            .into_bytes()
        };
        let chunked = |size: usize, count: usize| {
            let chunk = [format!("{size:x}\r\n").as_bytes(), &vec![b'x'; size], b"\r\n"].concat();
            [head("transfer-encoding: chunked"), chunk.repeat(count), b"0\r\n\r\n".to_vec()]
                .concat()
        };
        let stated =
            || [head(&format!("content-length: {BODY_BYTES}")), vec![b'x'; BODY_BYTES]].concat();
        match self {
            Self::Whole => (stated(), BODY_BYTES * 2),
            Self::Pieces => (stated(), 4096),
            Self::LargeChunks => (chunked(32 << 10, 8), 64 << 10),
            Self::SmallChunks => (chunked(1, 60_000), 64 << 10),
            Self::Head => (head(&format!("x-filler: {}\r\n", "x".repeat(1000)).repeat(15)), 4096),
            Self::Nothing => (Vec::new(), 1),
        }
    }

    /// How many bytes most callers leave out.
    fn missing(self) -> usize {
        match self {
            Self::Nothing => 0,
            _ => 4,
        }
    }
}

/// A caller that comes back as long as the crowd is there; every tenth one sends all bytes.
async fn come_back(address: SocketAddr, form: Form, number: usize) {
    let (bytes, piece) = form.bytes();
    let missing = if number.is_multiple_of(10) { 0 } else { form.missing() };
    loop {
        // A connection that is refused or ended is what the node may do.
        let _ = call(address, &bytes[..bytes.len() - missing], piece).await;
        sleep(RETURN_DELAY).await;
    }
}

async fn call(address: SocketAddr, bytes: &[u8], piece: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    for piece in bytes.chunks(piece) {
        stream.write_all(piece).await?;
    }
    let mut answer = [0; 256];
    while stream.read(&mut answer).await? > 0 {}
    Ok(())
}

/// A node with little room.
async fn start() -> (Cluster, Node) {
    let mut cluster = Cluster::start();
    cluster.max_descriptors = Some(MAX_DESCRIPTORS as u64);
    cluster.publish();
    let mut config = config(4, json!([]));
    config["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    cluster.store.put("config", "main", &config);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node)
}

/// Waits until ordinary callers get answers, each with a new connection, from the callers' address
/// and from that for lookups.
async fn expect_answers(node: &Node, when: &str) {
    for (method, path, body) in [("GET", "/view/x", ""), ("POST", "/book/x", "a usual body")] {
        eventually(&format!("{method} {path} is answered {when}"), async || {
            let sent = fakes::http::send(node.caller_address, request("o", method, path, body));
            let answer = tokio::time::timeout(Duration::from_secs(2), sent).await;
            answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status() == 200))
        })
        .await;
    }
    eventually(&format!("a lookup is answered {when}"), async || {
        let lookup = tokio::time::timeout(Duration::from_secs(2), node.lookup()).await;
        lookup.is_ok_and(|addresses| !addresses.is_empty())
    })
    .await;
}

/// Sends a crowd of each form to `address`, one after the other, and checks what the node holds.
async fn meet_crowds(node: &Node, address: SocketAddr, forms: &[Form]) {
    for form in forms {
        let mut crowd = JoinSet::new();
        for number in 0..form.count() {
            crowd.spawn(come_back(address, *form, number));
        }
        let end = Instant::now() + CROWD_TIME;
        while Instant::now() < end {
            let descriptors = node.descriptors();
            let shown = format!("{form:?} at {address}: {descriptors} of {MAX_DESCRIPTORS}");
            assert!(descriptors < MAX_DESCRIPTORS, "{shown} descriptors");
            sleep(Duration::from_millis(20)).await;
        }
        expect_answers(node, &format!("beside {form:?}")).await;
        crowd.shutdown().await;
        let peak = node.peak_memory_mb();
        assert!(peak < MEMORY_MB, "{form:?} at {address}: {peak} MB of {MEMORY_MB}");
        expect_answers(node, &format!("after {form:?}")).await;
    }
}

/// Guards against large bodies that stop short of their end and take all memory.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_stay_within_the_memory() {
    let (_cluster, node) = start().await;
    meet_crowds(&node, node.caller_address, &[Form::Whole, Form::Pieces]).await;
}

/// Guards against large chunks that stop short of their end and take all memory.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_stay_within_the_memory() {
    let (_cluster, node) = start().await;
    meet_crowds(&node, node.caller_address, &[Form::LargeChunks]).await;
}

/// Guards against the memory that each chunk needs beyond its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn small_chunks_that_stop_short_stay_within_the_memory() {
    let (_cluster, node) = start().await;
    meet_crowds(&node, node.caller_address, &[Form::SmallChunks]).await;
}

/// Guards against heads that don't end, and connections that carry nothing, which take all
/// descriptors at the callers' address.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_leave_descriptors_to_callers() {
    let (_cluster, node) = start().await;
    meet_crowds(&node, node.caller_address, &[Form::Head, Form::Nothing]).await;
}

/// Guards against the same at the other addresses.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_at_other_addresses_leave_descriptors_to_callers() {
    let (_cluster, node) = start().await;
    for address in node.other_addresses() {
        meet_crowds(&node, address, &[Form::Head, Form::Nothing]).await;
        eventually("the node is ready", async || node.is_ready().await).await;
        assert!(node.serves_metrics().await, "after a crowd at {address}");
    }
}
