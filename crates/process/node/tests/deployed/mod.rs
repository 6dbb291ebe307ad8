//! A small deployment on the users' platform: its stand-ins in this process,
//! entry nodes as processes of their own on loopback addresses.
//!
//! Invariant: each wait is for a condition; the limits only end a test that
//! hangs, and a node never outlives its test.

// Each test file uses another part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use serde_json::Value;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;

use fakes::http;
use fakes::instance::Instance;
use fakes::store::Store;
use fakes::wait::eventually;
use fakes::wait::with_timeout;

/// The host of all routes.
pub const HOST: &str = "desk.example";
/// How long callers wait; long, since the machine may be busy.
pub const PATIENCE_MS: u64 = 8000;

/// One entry node.
pub struct Node {
    child: Child,
    /// Where it serves callers.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    lookups: SocketAddr,
    metrics: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    log: PathBuf,
}

/// The whole deployment.
pub struct World {
    /// The platform's store.
    pub store: Store,
    /// The servers, shard by shard.
    pub shards: Vec<Instance>,
    dir: PathBuf,
    subnet: u8,
    number: AtomicU32,
}

/// Distinguishes the worlds of one test process.
static WORLDS: AtomicU32 = AtomicU32::new(0);

impl Drop for World {
    fn drop(&mut self) {
        // What the nodes logged is kept if the test failed.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A record of 16 bytes that begins with `first`.
pub fn record(first: u8, rest: u8) -> [u8; 16] {
    let mut record = [rest; 16];
    record[0] = first;
    record
}

impl World {
    /// A store, and two servers of each of three shards and of one plain service.
    pub fn start() -> Self {
        let world = WORLDS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let dir = std::env::temp_dir().join(format!("heatherseam-{process}-{world}"));
        std::fs::create_dir_all(&dir).expect("a folder for settings");
        let store = Store::start().expect("a store");
        let mut shards = Vec::new();
        for (service, first) in [("shard-a", 1), ("shard-b", 2), ("shard-c", 3), ("plain", 9)] {
            for replica in 0..2 {
                let id = format!("{service}-{replica}");
                let records = [record(first, 1), record(first + 100, 2)].concat();
                shards.push(Instance::start(&id, service, &records).expect("a server"));
            }
        }
        let subnet = ((process + world * 7) % 200) as u8;
        Self { store, shards, dir, subnet, number: AtomicU32::new(1) }
    }

    /// Registers all servers and writes the first version.
    pub fn publish(&self) {
        for shard in &self.shards {
            self.store.put("servers", &shard.id, &shard.entry("ready"));
        }
        self.store.put("config", "main", &config(3, json!([])));
    }

    /// The servers of a service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        self.shards.iter().filter(move |shard| shard.service == service)
    }

    /// Starts a node, which may not be ready yet.
    pub fn node(&self) -> Node {
        self.node_with_seeds(&[])
    }

    /// Starts a node that is told of others.
    pub fn node_with_seeds(&self, seeds: &[SocketAddr]) -> Node {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.{number}", 10 + self.subnet, WORLDS.load(Ordering::Relaxed));
        let port = |offset: u16| -> SocketAddr {
            format!("{ip}:{}", 18_000 + offset).parse().expect("an address")
        };
        let text = json!({
            "node_name": format!("node-{number}"), "ip": ip, "zone": "hall", "region": "land",
            "zones": { "hall": "land" },
            "listen": { "front": port(6), "readiness_addr": port(7), "directory": port(5) },
            "port_range": [18_040, 18_055],
            "seeds": seeds,
            "bounds": {
                "grace_s": 6, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
                "ttl_max_s": 5
            },
            "platform": { "address": self.store.address() }
        });
        let settings = self.dir.join(format!("node-{number}.yaml"));
        std::fs::write(&settings, text.to_string()).expect("a settings file");
        let log = self.dir.join(format!("node-{number}.log"));
        let out = std::fs::File::create(&log).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_heatherseam"))
            .arg("serve")
            .env("HEATHERSEAM_CONFIG", &settings)
            .stdout(out)
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()
            .expect("a node");
        let metrics = SocketAddr::new(port(6).ip(), platform::settings::METRICS_PORT);
        Node {
            child,
            callers: port(6),
            readiness: port(7),
            lookups: port(5),
            metrics,
            settings,
            log,
        }
    }

    /// Publishes everything, starts a node and waits until it is ready.
    pub async fn ready_node(&self) -> Node {
        self.publish();
        let node = self.node();
        node.ready().await;
        node
    }
}

/// A version with the usual routes and `more`.
pub fn config(version: u64, more: Value) -> Value {
    let mut routes = vec![
        json!({
            "name": "search", "host": HOST, "path_prefix": "/search/", "route_type": "idempotent",
            "timeout_ms": PATIENCE_MS, "objective_ms": 2000, "priority": 1, "max_attempts": 2,
            "gather": ["shard-a", "shard-b", "shard-c"], "top_k": 4, "min_coverage": 0.6
        }),
        json!({
            "name": "view", "host": HOST, "path_prefix": "/view/", "route_type": "idempotent",
            "timeout_ms": PATIENCE_MS, "objective_ms": 2000, "priority": 1, "max_attempts": 2,
            "service": "plain"
        }),
        json!({
            "name": "book", "host": HOST, "path_prefix": "/book/",
            "route_type": "non_idempotent", "timeout_ms": PATIENCE_MS, "objective_ms": 2000,
            "priority": 1, "max_attempts": 2, "service": "plain"
        }),
    ];
    routes.extend(more.as_array().cloned().unwrap_or_default());
    let names = ["shard-a", "shard-b", "shard-c", "plain"];
    let services: Vec<Value> =
        names.iter().map(|n| json!({ "name": n, "max_conns": 25 })).collect();
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 1000,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 }
    })
}

/// A caller's request.
pub fn request(id: &str, method: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("heatherseam-request-id", id)
        .header("heatherseam-deadline-ms", PATIENCE_MS.to_string())
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request")
}

/// A header of a response as text; empty if it is absent.
pub fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

impl Node {
    /// Sends a request on a connection of its own.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Bytes> {
        with_timeout("a request", http::send(self.callers, request)).await.expect("a response")
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let asked = http::send(self.readiness, request("0", "GET", "/api/readyz", "")).await;
        asked.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until it is ready.
    pub async fn ready(&self) {
        eventually("a node gets ready", async || self.is_ready().await).await;
    }

    /// The addresses that its lookup names.
    pub async fn lookup(&self) -> Vec<String> {
        let path = "/api/resolve?name=desk.example&region=land&zone=hall";
        let Ok(response) = http::send(self.lookups, request("0", "GET", path, "")).await else {
            return Vec::new();
        };
        let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        let addresses = body["addrs"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    /// Whether its metrics can be read.
    pub async fn metrics_answer(&self) -> bool {
        http::send(self.metrics, request("0", "GET", "/metrics", "")).await.is_ok()
    }

    /// Its metrics as text.
    pub async fn metrics(&self) -> String {
        let scrape = http::send(self.metrics, request("0", "GET", "/metrics", ""));
        let response = with_timeout("a scrape", scrape).await.expect("a response");
        String::from_utf8_lossy(response.body()).into_owned()
    }

    /// Asks it to stop.
    pub async fn terminate(&self) {
        self.signal("-TERM").await;
    }

    /// Sends it a signal.
    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await;
        assert!(sent.expect("the signal is sent").success());
    }

    /// Waits for its end; whether it ended without an error.
    pub async fn ended(&mut self) -> bool {
        with_timeout("a node ends", self.child.wait()).await.expect("it ran").success()
    }

    /// The lines of its log, as JSON.
    pub fn log(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}
