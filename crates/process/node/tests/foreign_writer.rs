//! Entries of another writer among those of the servers: nodes that run follow all changes beside
//! them, and nodes that start get their lists, within their memory.

use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::deployed::Cluster;
use crate::deployed::MEMORY_MB;
use crate::deployed::Node;
use crate::deployed::request;
use fakes::wait::eventually;

mod deployed;

/// The maximum size of an object's content, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// Contents that can't be read, though their neighbours can.
fn unreadable() -> [(&'static str, Vec<u8>); 5] {
    let entry = |zone: &str, slots: &str, port: u32| {
        format!(
            "{{\"service\":\"plain\",\"address\":\"127.0.0.1:{port}\",\"zone\":{zone},\
             \"slots\":{slots},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1}}"
        )
        .into_bytes()
    };
    let deep = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    [
        ("x-surrogate", entry("\"hall \\ud83d\"", "2", 9)),
        ("x-number", entry("\"hall\"", "1e400", 9)),
        ("x-nested", entry(&deep, "2", 9)),
        ("x-port", entry("\"hall\"", "2", 70_000)),
        ("x-bytes", b"\"\xff\xfe\xc3\"".to_vec()),
    ]
}

/// A cluster, and a node that knows only the first server of the service `plain`.
async fn start() -> (Cluster, Node) {
    let cluster = Cluster::start();
    cluster.publish();
    let new = cluster.servers_of("plain").nth(1).expect("a server");
    cluster.store.delete("servers", &new.id);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node)
}

/// Replaces that server by one that the node uses only if it follows the changes.
async fn follow_replacement(cluster: &Cluster, node: &Node) {
    let mut servers = cluster.servers_of("plain");
    let (old, new) = (servers.next().expect("a server"), servers.next().expect("another one"));
    cluster.store.put("servers", &new.id, &new.entry("ready"));
    cluster.store.put("servers", &old.id, &old.entry("draining"));
    eventually("the new server is used", async || {
        node.send(request("s", "GET", "/view/x", "")).await;
        !new.runs().is_empty()
    })
    .await;
}

/// Guards against one entry that makes each list and each batch of changes unreadable.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entries_hide_no_server() {
    let (cluster, node) = start().await;
    for (name, content) in unreadable() {
        cluster.store.put_raw("servers", name, &content);
    }
    follow_replacement(&cluster, &node).await;
    let started = cluster.start_node();
    started.wait_until_ready().await;
    let metrics = started.metrics().await;
    let is_count = |line: &&str| line.contains("unreadable_entries{kind=\"servers\"");
    let line = metrics.lines().find(is_count).expect("the number of unreadable entries");
    assert!(line.ends_with(" 5"), "{line}");
    let lines = started.log_lines();
    let logged = |name: &str| lines.iter().filter(|line| line["name"] == name).count();
    assert!(unreadable().iter().all(|(name, _)| logged(name) == 1), "each is logged once");
}

/// Guards against names that break the query of the next page: a page ends after a large entry.
#[tokio::test(flavor = "multi_thread")]
async fn names_of_any_letters_do_not_stop_a_list() {
    let cluster = Cluster::start();
    let content = format!("\"{}\"", "x".repeat(VALUE_BYTES - 10));
    for name in ["batch job 7", "batch#7", "batch&7", "batch/7?a=%20", "batch é"] {
        cluster.store.put_raw("servers", name, content.as_bytes());
    }
    let node = cluster.start_ready_node().await;
    assert_eq!(node.send(request("1", "GET", "/view/x", "")).await.status(), 200);
}

/// Writes `count` entries of the maximum size, each a list of numbers.
fn put_large(cluster: &Cluster, count: usize) {
    let content = format!("[{}0]", "7,".repeat(VALUE_BYTES / 2 - 10));
    for number in 0..count {
        cluster.store.put_raw("servers", &format!("x-{number}"), content.as_bytes());
    }
}

/// Guards against answers of the store that take a node over its memory.
#[tokio::test(flavor = "multi_thread")]
async fn large_entries_take_little_memory() {
    let (cluster, node) = start().await;
    for _ in 0..3 {
        put_large(&cluster, 12);
        sleep(Duration::from_millis(700)).await;
    }
    follow_replacement(&cluster, &node).await;
    let started = cluster.start_node();
    started.wait_until_ready().await;
    for node in [&node, &started] {
        let peak = node.peak_memory_mb();
        assert!(peak < MEMORY_MB, "{peak} MB of {MEMORY_MB}");
    }
}

/// Guards against a limit on the size of an answer that stops a node from following: all changes
/// since the last watch come in one answer, however many there are.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_any_size_are_followed() {
    let (cluster, node) = start().await;
    put_large(&cluster, 40);
    follow_replacement(&cluster, &node).await;
    assert!(node.peak_memory_mb() < MEMORY_MB);
}

/// Guards against a node that runs out of descriptors by the servers of services that its
/// configuration does not name, or that takes one of these for its path.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_the_configuration_does_not_name_get_no_connections() {
    const OTHERS: usize = 300;
    let (cluster, node) = start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let before = node.descriptors();
    for number in 0..OTHERS {
        let mut entry = cluster.servers[0].entry("ready");
        entry["service"] = json!(format!("other-{number}"));
        entry["address"] = json!(address);
        cluster.store.put("servers", &format!("other-{number}"), &entry);
    }
    follow_replacement(&cluster, &node).await;
    let started = cluster.start_node();
    started.wait_until_ready().await;
    let accepted = is_connected_to(&listener).await;
    assert!(!accepted, "a connection was opened to a server of another service");
    for node in [&node, &started] {
        let more = node.descriptors().saturating_sub(before);
        assert!(more < OTHERS / 10, "{more} more descriptors");
    }
    // A version that names one of them.
    let mut spec = deployed::config(4, json!([]));
    let services = spec["services"].as_array_mut().expect("services");
    services.push(json!({ "name": "other-7", "max_conns": 25 }));
    cluster.store.put("config", "main", &spec);
    assert!(is_connected_to(&listener).await, "no connection to a server that is named");
}

/// Whether a connection to `listener` is opened within a second.
async fn is_connected_to(listener: &TcpListener) -> bool {
    tokio::time::timeout(Duration::from_secs(1), listener.accept()).await.is_ok()
}
