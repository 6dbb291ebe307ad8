//! A small deployment for tests: stand-ins in this process, entry nodes as
//! processes of their own.
//!
//! Invariant: each wait is for a condition; the limits only end a test that
//! hangs, and a node never outlives its test.

// Each test file uses another part of it.
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

/// The deadline of a query; long, since the machine may be busy.
pub const DEADLINE_MS: u32 = 8000;

/// One entry node.
pub struct Node {
    child: Child,
    /// Where it serves callers.
    pub caller: SocketAddr,
    peer: SocketAddr,
    /// Its life, as its tickets name it.
    pub incarnation: String,
}

/// The whole deployment.
pub struct World {
    /// The platform.
    pub platform: Platform,
    /// The upstream servers.
    pub fleet: Fleet,
    /// The entry nodes.
    pub nodes: Vec<Node>,
    value: &'static str,
    revisions: BTreeMap<String, u64>,
    dir: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        // What the nodes logged is kept if the test failed.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The usual servers: three groups of three, all as near to the nodes, so that
/// each of them gets work.
pub fn service() -> Service {
    Service { connections: 48, data_centres: vec![Arc::from("a")], ..Service::default() }
}

/// A query for all shards.
pub fn query(number: u64) -> Query {
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

/// A non-idempotent request to shard 0.
pub fn claim(number: u64, ticket: Option<&str>) -> Query {
    Query {
        ticket: ticket.map(str::to_owned),
        non_idempotent: true,
        shards: Some(vec![0]),
        ..query(number)
    }
}

impl Node {
    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id().expect("it runs")
    }

    /// Stops all its threads by SIGSTOP, and returns once they stand still.
    pub async fn pause(&self) {
        self.signal("-STOP").await;
        // The signal only takes effect when a thread has picked it up.
        eventually("its threads stand still", async || self.stands_still()).await;
    }

    /// Ends [`Node::pause`] by SIGCONT.
    pub async fn go_on(&self) {
        self.signal("-CONT").await;
    }

    fn stands_still(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.id())).expect("it runs");
        let stopped = |thread: std::io::Result<std::fs::DirEntry>| {
            let stat =
                thread.and_then(|thread| std::fs::read_to_string(thread.path().join("stat")));
            // The state is the first field after the name in brackets.
            stat.is_ok_and(|stat| {
                stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
            })
        };
        threads.into_iter().all(stopped)
    }

    /// Sends a signal by `kill(1)` to this child's id.
    async fn signal(&self, signal: &str) {
        let status = Command::new("kill").arg(signal).arg(self.id().to_string()).status().await;
        assert!(status.expect("kill runs").success());
    }

    /// Ends it without warning.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("it runs");
    }

    /// Asks it; `None` if the connection failed.
    pub async fn try_ask(&self, query: &Query) -> Option<Result<Answer, Refusal>> {
        let body = serde_json::to_vec(query).expect("a query is JSON");
        let request = Request::post(caller::QUERY_PATH).body(Full::from(body));
        let reply = http::send(self.caller, request.expect("it is well-formed"));
        let reply = with_timeout("a query", reply).await.ok()?;
        let told = reply.body();
        match reply.status().is_success() {
            true => Some(Ok(serde_json::from_slice(told).expect("it is an answer"))),
            false => Some(Err(serde_json::from_slice(told).expect("it is a refusal"))),
        }
    }

    /// Asks it.
    pub async fn ask(&self, query: &Query) -> Result<Answer, Refusal> {
        self.try_ask(query).await.expect("the node answers")
    }

    /// Asks it and checks that the answer is honest for a map of `shards`.
    pub async fn honest(&self, query: &Query, shards: u32) -> Answer {
        let answer = self.ask(query).await.expect("it is answered");
        let wrong = violations(query, &answer, Some(shards));
        assert!(wrong.is_empty(), "{wrong:?} in {answer:?}");
        answer
    }

    /// The nodes that it names, and tickets of its own.
    pub async fn entries(&self, tickets: u32) -> Option<EntryNodes> {
        let path = format!("{}?tickets={tickets}", caller::ENTRIES_PATH);
        let reply = get(self.caller, &path).await?;
        reply.status().is_success().then(|| serde_json::from_slice(reply.body()).expect("JSON"))
    }

    /// What it knows of an upstream server.
    pub async fn upstream(&self, server: &str) -> Value {
        let reply = get(self.caller, caller::DUMP_PATH).await.expect("it answers");
        let state: Value = serde_json::from_slice(reply.body()).expect("it is JSON");
        let rows = state["upstreams"].as_array().expect("they are a list");
        let row = rows.iter().find(|row| row["name"] == server);
        row.expect("it knows the server").clone()
    }

    /// One ticket of its own.
    pub async fn ticket(&self) -> String {
        let block = self.entries(1).await.expect("it answers").block.expect("it was asked for");
        block.tickets.into_iter().next().expect("there is one")
    }
}

/// Gets a path; `None` if the connection failed.
pub async fn get(address: SocketAddr, path: &str) -> Option<Response<Bytes>> {
    let request = Request::get(path).body(Full::default()).expect("it is well-formed");
    with_timeout(path, http::send(address, request)).await.ok()
}

impl World {
    /// `nodes` entry nodes before the servers of `service`, all ready; the
    /// service values coverage.
    pub async fn start(nodes: usize, service: Service) -> Self {
        Self::start_valuing("coverage", nodes, service).await
    }

    /// The same with another value of the service.
    pub async fn start_valuing(value: &'static str, nodes: usize, service: Service) -> Self {
        let shards = service.groups;
        let settings = Settings { services: vec![service], ..Settings::default() };
        let fleet = Fleet::start(settings).expect("a port is free");
        let platform = Platform::start((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
        let mut world = Self {
            platform,
            fleet,
            nodes: Vec::new(),
            value,
            revisions: BTreeMap::new(),
            dir: folder(),
        };
        let policy = json!({
            "hedge": { "quantile_percent": 100.0 },
            "retry": { "attempts": 6, "budget_percent": 100.0 },
            "slice_percent": 100,
        });
        world.put("policy", "usual", policy).await;
        for (name, map) in world.fleet.maps().clone() {
            world.put("map", &name, serde_json::to_value(map).expect("JSON")).await;
        }
        world.use_map("search-1", &[]).await;
        for number in 0..nodes {
            let node = world.spawn(number, nodes).await;
            world.nodes.push(node);
        }
        for node in &world.nodes {
            eventually("the nodes know each other", async || {
                node.entries(0).await.is_some_and(|entries| entries.entries.len() == nodes)
            })
            .await;
            eventually("a first whole answer", async || {
                let answer = node.try_ask(&query(0)).await;
                matches!(answer, Some(Ok(answer)) if answer.covered.len() == shards as usize)
            })
            .await;
        }
        world
    }

    async fn spawn(&self, number: usize, nodes: usize) -> Node {
        let seeds: Vec<String> =
            self.nodes.iter().take(1).map(|node| node.peer.to_string()).collect();
        // JSON is YAML, too.
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
        let output = child.stdout.take().expect("it is piped");
        let mut line = String::new();
        let read = with_timeout("a node's start", async {
            BufReader::new(output).read_line(&mut line).await
        });
        read.await.expect("it prints its addresses");
        let started: Value = serde_json::from_str(&line).expect("it prints JSON");
        let text = |key: &str| started[key].as_str().expect("it is text").to_owned();
        let address = |key| text(key).parse().expect("it is an address");
        Node {
            child,
            caller: address("caller"),
            peer: address("peer"),
            incarnation: text("incarnation"),
        }
    }

    /// Writes an object, over its present revision if it has one.
    pub async fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let path = format!("/v1/objects/{kind}/{name}");
        let after = self.revisions.get(&path).copied().unwrap_or(0);
        let operation = format!("tests-{path}-{after}");
        let value = json!({ "operation": operation, "after": after, "spec": { kind: spec } });
        let request = match after {
            0 => Request::put(&path).header("if-none-match", "*"),
            after => Request::put(&path).header("if-match", after),
        };
        let request = request.body(Full::from(value.to_string())).expect("it is well-formed");
        let reply = with_timeout("a write", http::send(self.platform.address(), request)).await;
        let reply = reply.expect("the platform answers");
        assert!(reply.status().is_success(), "{reply:?}");
        let item: Object = serde_json::from_slice(reply.body()).expect("it is the new object");
        self.revisions.insert(path, item.revision);
    }

    /// Sets the platform's VM list.
    pub async fn list(&self, vms: &Vms) {
        let body = serde_json::to_vec(vms).expect("it is JSON");
        let request = Request::put(VMS_PATH).body(Full::from(body)).expect("it is well-formed");
        let reply = with_timeout("a list", http::send(self.platform.address(), request)).await;
        assert!(reply.expect("the platform answers").status().is_success());
    }

    /// Makes the service use a map.
    pub async fn use_map(&mut self, map: &str, older: &[&str]) {
        let spec = json!({
            "value": self.value, "deadline_ms": DEADLINE_MS, "policy": "usual", "map": map,
            "older_maps": older, "slots": 2, "connections": 48,
        });
        self.put("service", "search", spec).await;
    }

    /// The map that the servers were started with.
    pub fn map(&self) -> Map {
        self.fleet.maps()["search-1"].clone()
    }

    /// Puts a fault in force.
    pub async fn fault(&self, server: &str, action: Action) {
        let met = self.fleet.inject_fault(Fault::new(server, action)).await.expect("it is set");
        assert!(met > 0, "there is no {server}");
    }

    /// One server's counters.
    pub fn stats(&self, server: &str) -> Stats {
        self.fleet.stats()[server].clone()
    }

    /// How often the claim of this number began to run.
    pub fn runs(&self, number: u64) -> usize {
        let body = json!({ "q": number }).to_string();
        self.fleet.runs().runs.get(&body).map_or(0, Vec::len)
    }
}

fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("nodes-{}-{number}", std::process::id());
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("the folder can be made");
    dir
}
