//! A small cluster for tests: the platform and the upstream servers are fakes in
//! the test's process, and each entry node is a process of its own.
//!
//! Invariant: each wait is for a condition, with a timeout that only ends a hung
//! test; a node's process never outlives its test.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;

use conf::object::Map;
use fakes::caller::violations;
use fakes::http;
use fakes::platform::Platform;
use fakes::upstream::Action;
use fakes::upstream::Fault;
use fakes::upstream::Fleet;
use fakes::upstream::Service;
use fakes::upstream::Settings;
use fakes::upstream::Stats;
use fakes::wait::eventually;
use fakes::wait::with_timeout;
use wire::caller;
use wire::caller::Answer;
use wire::caller::EntryNodes;
use wire::caller::Priority;
use wire::caller::Query;
use wire::caller::Refusal;
use wire::platform::Object;
use wire::platform::VMS_PATH;
use wire::platform::Vms;

/// The default deadline of queries; long because the test machine may be overloaded.
pub const DEADLINE_MS: u32 = 8000;

/// A running entry node.
pub struct Node {
    child: Child,
    /// The address at which it serves callers.
    pub caller: SocketAddr,
    peer: SocketAddr,
    /// Its incarnation, as it appears in its tickets.
    pub incarnation: String,
}

/// Entry nodes, upstream servers and the platform.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The upstream servers.
    pub fleet: Fleet,
    /// The entry nodes.
    pub nodes: Vec<Node>,
    preference: &'static str,
    revisions: BTreeMap<String, u64>,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // If the test failed, the folder with the nodes' logs is kept.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The default servers: three groups of three, all in the nodes' data centre so
/// that each of them receives requests.
pub fn service() -> Service {
    Service { connections: 48, data_centres: vec![Arc::from("a")], ..Service::default() }
}

/// An idempotent query to all shards.
pub fn search_query(number: u64) -> Query {
    Query {
        service: Arc::from("search"),
        caller: Arc::from("tests"),
        priority: Priority::Routine,
        deadline_ms: None,
        ticket: None,
        non_idempotent: false,
        shards: None,
        min_version: None,
        body: json!({ "q": number }),
    }
}

/// A non-idempotent query to shard 0.
pub fn non_idempotent_query(number: u64, ticket: Option<&str>) -> Query {
    Query {
        ticket: ticket.map(str::to_owned),
        non_idempotent: true,
        shards: Some(vec![0]),
        ..search_query(number)
    }
}

impl Node {
    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id().expect("the process runs")
    }

    /// Stops the process with SIGSTOP, and returns once all its threads are stopped.
    pub async fn pause(&self) {
        self.signal("-STOP").await;
        // Each thread stops only when it handles the signal.
        eventually("all threads of the node are stopped", async || self.is_stopped()).await;
    }

    /// Resumes the process with SIGCONT after [`Node::pause`].
    pub async fn resume(&self) {
        self.signal("-CONT").await;
    }

    fn is_stopped(&self) -> bool {
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", self.id())).expect("the process runs");
        let stopped = |thread: std::io::Result<std::fs::DirEntry>| {
            let stat =
                thread.and_then(|thread| std::fs::read_to_string(thread.path().join("stat")));
            // The state is the first field after the command name in parentheses.
            stat.is_ok_and(|stat| {
                stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
            })
        };
        threads.into_iter().all(stopped)
    }

    /// Sends a signal to this process with `kill(1)`.
    async fn signal(&self, signal: &str) {
        let status = Command::new("kill").arg(signal).arg(self.id().to_string()).status().await;
        assert!(status.expect("kill runs").success());
    }

    /// Kills the process with SIGKILL.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("the process runs");
    }

    /// Sends it a query; `None` if the connection failed.
    pub async fn try_send(&self, query: &Query) -> Option<Result<Answer, Refusal>> {
        let body = serde_json::to_vec(query).expect("a query is JSON");
        let request = Request::post(caller::QUERY_PATH).body(Full::from(body));
        let reply = http::send(self.caller, request.expect("the request is well-formed"));
        let reply = with_timeout("a query", reply).await.ok()?;
        let body = reply.body();
        match reply.status().is_success() {
            true => Some(Ok(serde_json::from_slice(body).expect("the body is an answer"))),
            false => Some(Err(serde_json::from_slice(body).expect("the body is a refusal"))),
        }
    }

    /// Sends it a query.
    pub async fn send(&self, query: &Query) -> Result<Answer, Refusal> {
        self.try_send(query).await.expect("the node responds")
    }

    /// Sends it a query and checks the answer for violations, with a map of `shards`.
    pub async fn send_checked(&self, query: &Query, shards: u32) -> Answer {
        let answer = self.send(query).await.expect("the query is answered");
        let violations = violations(query, &answer, Some(shards));
        assert!(violations.is_empty(), "{violations:?} in {answer:?}");
        answer
    }

    /// Its lookup: the nodes that it lists, and tickets that it minted.
    pub async fn entries(&self, tickets: u32) -> Option<EntryNodes> {
        let path = format!("{}?tickets={tickets}", caller::ENTRIES_PATH);
        let reply = get(self.caller, &path).await?;
        reply.status().is_success().then(|| serde_json::from_slice(reply.body()).expect("JSON"))
    }

    /// Its state of an upstream server, from the debug dump.
    pub async fn upstream_state(&self, server: &str) -> Value {
        let reply = get(self.caller, caller::DUMP_PATH).await.expect("the node responds");
        let state: Value = serde_json::from_slice(reply.body()).expect("the value is JSON");
        let rows = state["upstreams"].as_array().expect("upstreams is a list");
        let row = rows.iter().find(|row| row["name"] == server);
        row.expect("the node has the server").clone()
    }

    /// A ticket that it minted.
    pub async fn ticket(&self) -> String {
        let block = self
            .entries(1)
            .await
            .expect("the node responds")
            .block
            .expect("a ticket was requested");
        block.tickets.into_iter().next().expect("the block has a ticket")
    }
}

/// Sends a GET request; `None` if the connection failed.
pub async fn get(address: SocketAddr, path: &str) -> Option<Response<Bytes>> {
    let request = Request::get(path).body(Full::default()).expect("the request is well-formed");
    with_timeout(path, http::send(address, request)).await.ok()
}

impl Cluster {
    /// Starts `nodes` entry nodes for the servers of `service` and waits until all
    /// are ready; the service prefers coverage.
    pub async fn start(nodes: usize, service: Service) -> Self {
        Self::start_with_preference("coverage", nodes, service).await
    }

    /// Like [`Cluster::start`], with the given preference of the service.
    pub async fn start_with_preference(
        preference: &'static str,
        nodes: usize,
        service: Service,
    ) -> Self {
        let shards = service.groups;
        let settings = Settings { services: vec![service], ..Settings::default() };
        let fleet = Fleet::start(settings).expect("a port is free");
        let platform = Platform::start((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
        let mut cluster = Self {
            platform,
            fleet,
            nodes: Vec::new(),
            preference,
            revisions: BTreeMap::new(),
            dir: create_test_dir(),
        };
        let policy = json!({
            "hedge": { "quantile_percent": 100.0 },
            "retry": { "attempts": 6, "budget_percent": 100.0 },
            "slice_percent": 100,
        });
        cluster.put("policy", "usual", policy).await;
        for (name, map) in cluster.fleet.maps().clone() {
            cluster.put("map", &name, serde_json::to_value(map).expect("JSON")).await;
        }
        cluster.use_map("search-1", &[]).await;
        for number in 0..nodes {
            let node = cluster.start_node(number, nodes).await;
            cluster.nodes.push(node);
        }
        for node in &cluster.nodes {
            eventually("the node lists all nodes", async || {
                node.entries(0).await.is_some_and(|entries| entries.entries.len() == nodes)
            })
            .await;
            eventually("a first complete answer", async || {
                let answer = node.try_send(&search_query(0)).await;
                matches!(answer, Some(Ok(answer)) if answer.covered.len() == shards as usize)
            })
            .await;
        }
        cluster
    }

    async fn start_node(&self, number: usize, nodes: usize) -> Node {
        let seeds: Vec<String> =
            self.nodes.iter().take(1).map(|node| node.peer.to_string()).collect();
        // JSON is valid YAML.
        let settings = json!({
            "name": format!("node-{number}"),
            "data_centre": "a",
            "region": "r",
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "platform": [self.platform.address().to_string()],
            "seeds": seeds,
            "fleet_size": nodes,
            "seed": number + 1,
        });
        let file = self.dir.join(format!("node-{number}.yaml"));
        std::fs::write(&file, settings.to_string()).expect("the folder can be written");
        let log = std::fs::File::create(self.dir.join(format!("node-{number}.log")));
        let mut child = Command::new(env!("CARGO_BIN_EXE_heatherseam"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(log.expect("the folder can be written"))
            .kill_on_drop(true)
            .spawn()
            .expect("the binary runs");
        let output = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        let first_line = with_timeout("a node's start", async {
            BufReader::new(output).read_line(&mut line).await
        });
        first_line.await.expect("the node prints its first line");
        let started: Value = serde_json::from_str(&line).expect("the first line is JSON");
        let text = |key: &str| started[key].as_str().expect("the field is a string").to_owned();
        let address = |key| text(key).parse().expect("the field is an address");
        Node {
            child,
            caller: address("caller"),
            peer: address("peer"),
            incarnation: text("incarnation"),
        }
    }

    /// Creates an object, or replaces its current revision.
    pub async fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let path = format!("/v1/objects/{kind}/{name}");
        let after = self.revisions.get(&path).copied().unwrap_or(0);
        let operation = format!("tests-{path}-{after}");
        let value = json!({ "operation": operation, "after": after, "spec": { kind: spec } });
        let request = match after {
            0 => Request::put(&path).header("if-none-match", "*"),
            after => Request::put(&path).header("if-match", after),
        };
        let request =
            request.body(Full::from(value.to_string())).expect("the request is well-formed");
        let reply = with_timeout("a write", http::send(self.platform.address(), request)).await;
        let reply = reply.expect("the platform responds");
        assert!(reply.status().is_success(), "{reply:?}");
        let object: Object =
            serde_json::from_slice(reply.body()).expect("the body is the new object");
        self.revisions.insert(path, object.revision);
    }

    /// Replaces the platform's list of VMs.
    pub async fn set_vms(&self, vms: &Vms) {
        let body = serde_json::to_vec(vms).expect("the value is JSON");
        let request =
            Request::put(VMS_PATH).body(Full::from(body)).expect("the request is well-formed");
        let reply =
            with_timeout("a write of the VM list", http::send(self.platform.address(), request))
                .await;
        assert!(reply.expect("the platform responds").status().is_success());
    }

    /// Sets the service's current map and its older maps.
    pub async fn use_map(&mut self, map: &str, older: &[&str]) {
        let spec = json!({
            "value": self.preference, "deadline_ms": DEADLINE_MS, "policy": "usual", "map": map,
            "older_maps": older, "slots": 2, "connections": 48,
        });
        self.put("service", "search", spec).await;
    }

    /// The map with which the servers were started.
    pub fn initial_map(&self) -> Map {
        self.fleet.maps()["search-1"].clone()
    }

    /// Applies a fault to all servers that match `server`.
    pub async fn inject_fault(&self, server: &str, action: Action) {
        let matched = self
            .fleet
            .inject_fault(Fault::new(server, action))
            .await
            .expect("the fault is applied");
        assert!(matched > 0, "no server matches {server}");
    }

    /// The counters of one server.
    pub fn stats(&self, server: &str) -> Stats {
        self.fleet.stats()[server].clone()
    }

    /// How many times servers began to run the query with this number.
    pub fn run_count(&self, number: u64) -> usize {
        let body = json!({ "q": number }).to_string();
        self.fleet.runs().runs.get(&body).map_or(0, Vec::len)
    }
}

fn create_test_dir() -> PathBuf {
    static NEXT_DIR: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    let name = format!("nodes-{}-{number}", std::process::id());
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("the folder can be created");
    dir
}
