//! Meshes over real connections on loopback. Every wait is for a condition, with a
//! timeout that is reached only on failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use conf::catalog::Catalog;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use peer::gossip::Withdrawal;
use peer::mesh::ForwardError;
use peer::mesh::Mesh;
use peer::mesh::Owner;
use peer::mesh::Settings;
use peer::protocol::Handler;
use peer::protocol::Response;
use peer::record::Addresses;
use peer::record::Departure;
use peer::shutdown_driver;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::Priority;
use wire::caller::Query;
use wire::caller::Refusal;
use wire::id::Incarnation;

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Node {
    name: String,
    catalog: Mutex<Arc<Catalog>>,
    taken: Mutex<Vec<Vec<u8>>>,
    running: AtomicUsize,
    closed: AtomicUsize,
}

fn refusal(from: &str) -> Response {
    let (request, message) = (Arc::from(from), String::new());
    let (outcome, cause) = (Execution::Unknown, Cause::LostReply);
    Response::Refusal(Refusal { request, outcome, cause, message, retry_after_ms: None })
}

impl Handler for Node {
    fn catalog(&self) -> Arc<Catalog> {
        self.catalog.lock().clone()
    }

    fn on_objects(&self, objects: Vec<Object>) {
        let mut catalog = self.catalog.lock();
        let (next, _) = catalog.with_objects(&objects);
        *catalog = Arc::new(next);
    }

    fn on_withdrawals(&self, _: Vec<Withdrawal>) {}

    fn run_query(&self, _: Query) -> BoxFuture<'static, Response> {
        let response = refusal(&self.name);
        async move { response }.boxed()
    }

    fn import_tickets(&self, tickets: Vec<u8>) -> bool {
        self.taken.lock().push(tickets);
        true
    }

    fn contribution(&self) -> Vec<u8> {
        self.name.clone().into_bytes()
    }
}

impl shutdown_driver::Handler for Node {
    fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    fn close_idle(&self) {
        self.closed.fetch_add(1, Ordering::SeqCst);
    }

    fn export_tickets(&self) -> Vec<u8> {
        b"sealed".to_vec()
    }
}

async fn start(
    number: u64,
    seeds: Vec<SocketAddr>,
    cancel: &CancellationToken,
) -> (Arc<Node>, Arc<Mesh>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let caller = SocketAddr::from(([127, 0, 0, 1], 100 + number as u16));
    let addresses = Addresses { caller, peer: any, operator: any };
    let name = format!("node-{number}");
    let incarnation = Incarnation(number);
    let mut settings =
        Settings::new(name.as_str().into(), incarnation, addresses, "dc".into(), "region".into())
            .with_seeds(seeds);
    settings.shutdown.lookup_ttl = Duration::from_millis(200);
    settings.freshness.outage_threshold = Duration::from_millis(100);
    let node = Arc::new(Node { name, ..Node::default() });
    let mesh = Mesh::start(settings, node.clone(), cancel.clone()).await.expect("port 0 is free");
    (node, mesh)
}

async fn start_three(cancel: &CancellationToken) -> Vec<(Arc<Node>, Arc<Mesh>)> {
    let mut nodes = vec![start(1, Vec::new(), cancel).await];
    let seed = nodes[0].1.peer_address();
    nodes.push(start(2, vec![seed], cancel).await);
    nodes.push(start(3, vec![seed], cancel).await);
    nodes[0].1.set_synced(true);
    nodes
}

async fn eventually(what: &str, done: impl Fn() -> bool) {
    let waited = async {
        while !done() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, waited).await.is_ok(), "{what}");
}

fn tombstone(revision: u64) -> Object {
    Object { key: Key { kind: Kind::Map, name: "m".into() }, revision, spec: None }
}

fn query() -> Query {
    Query {
        service: "s".into(),
        caller: "c".into(),
        priority: Priority::Routine,
        deadline_ms: None,
        ticket: None,
        non_idempotent: true,
        shards: None,
        min_version: None,
        body: serde_json::json!({"a": [1, null, "x"]}),
    }
}

fn all_in_lookups(nodes: &[(Arc<Node>, Arc<Mesh>)]) -> bool {
    nodes.iter().all(|(_, mesh)| mesh.lookup(None).entries.len() == nodes.len())
}

#[tokio::test]
async fn updates_reach_all_nodes_and_queries_their_minter() {
    let cancel = CancellationToken::new();
    let nodes = start_three(&cancel).await;
    eventually("all become fresh from their peers and are in lookups", || all_in_lookups(&nodes))
        .await;

    nodes[1].1.push(vec![tombstone(7)]);
    nodes[2].1.announce_withdrawal("server".into(), Incarnation(5));
    eventually("the object is everywhere", || {
        nodes.iter().all(|(node, _)| node.catalog().revision() == 7)
    })
    .await;
    eventually("the withdrawal is everywhere", || {
        nodes.iter().all(|(_, mesh)| mesh.is_leaving("server", Incarnation(5)))
    })
    .await;

    let response = nodes[0].1.forward(Incarnation(3), query()).await;
    assert_eq!(response, Ok(refusal("node-3")));
    let unowned = nodes[0].1.forward(Incarnation(99), query()).await;
    assert_eq!(unowned, Err(ForwardError::NoOwner));
    assert_eq!(nodes[0].1.owner(Incarnation(1)), Owner::Local);
    let contributions = nodes[0].1.collect_contributions().await;
    let mut bytes: Vec<Option<Vec<u8>>> =
        contributions.into_iter().map(|contribution| contribution.bytes).collect();
    bytes.sort();
    let expected = ["node-1", "node-2", "node-3"].map(|name| Some(name.as_bytes().to_vec()));
    assert_eq!(bytes, expected);
    cancel.cancel();
}

#[tokio::test]
async fn shutdown_leaves_lookups_waits_and_hands_tickets_over() {
    let cancel = CancellationToken::new();
    let nodes = start_three(&cancel).await;
    eventually("all are in lookups", || all_in_lookups(&nodes)).await;
    let (node, mesh) = nodes[2].clone();
    node.running.store(1, Ordering::SeqCst);
    let shutdown = tokio::spawn({
        let (node, mesh) = (node.clone(), mesh.clone());
        async move { shutdown_driver::run(&mesh, &*node).await }
    });
    eventually("lookups no longer return it", || {
        nodes[..2].iter().all(|(_, mesh)| mesh.lookup(None).entries.len() == 2)
    })
    .await;
    eventually("idle connections are closed", || node.closed.load(Ordering::SeqCst) > 0).await;
    assert!(!shutdown.is_finished(), "a request is in progress");
    assert!(nodes[0].0.taken.lock().is_empty());
    node.running.store(0, Ordering::SeqCst);
    assert!(tokio::time::timeout(TIMEOUT, shutdown).await.is_ok(), "it ends");
    let own = &mesh.members()[0];
    assert_eq!(own.leave, Departure::Going);
    let (taker, other) = if nodes[0].0.taken.lock().is_empty() { (1, 0) } else { (0, 1) };
    assert_eq!(*nodes[taker].0.taken.lock(), [b"sealed".to_vec()]);
    assert_eq!(nodes[taker].1.owner(Incarnation(3)), Owner::Local);
    assert!(nodes[other].0.taken.lock().is_empty());
    cancel.cancel();
}

#[tokio::test]
async fn silent_connection_is_replaced() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("port 0 is free");
    let seed = silent.local_addr().expect("bound");
    let cancel = CancellationToken::new();
    let (_node, mesh) = start(1, vec![seed], &cancel).await;
    let mut streams = Vec::new();
    for _ in 0..2 {
        let accepted = tokio::time::timeout(TIMEOUT, silent.accept()).await;
        streams.push(accepted.expect("the silent connection is replaced"));
    }
    assert!(mesh.counters().failed >= 1);
    cancel.cancel();
}
