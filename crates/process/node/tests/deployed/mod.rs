//! A small cluster on the users' platform: the store and the servers are fakes in
//! the test's process; each entry node is a process on a loopback address of its own.
//!
//! Invariant: each wait is for a condition, with a timeout that only ends a hung
//! test; a node's process never outlives its test.

// Each test file uses only a part of this module.
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
/// The timeout of callers; long because the test machine may be overloaded.
pub const TIMEOUT_MS: u64 = 8000;

/// The port for traffic between nodes.
pub const PEER_PORT: u16 = 18_040;

/// The memory that a node may use, in MB.
pub const MEMORY_MB: u64 = 64;

/// A running entry node.
pub struct Node {
    child: Child,
    /// The address at which it serves callers.
    pub caller_address: SocketAddr,
    readiness_address: SocketAddr,
    lookup_address: SocketAddr,
    metrics_address: SocketAddr,
    /// Its settings file.
    pub settings_file: PathBuf,
    log_file: PathBuf,
}

/// The store and the servers of a test.
pub struct Cluster {
    /// The platform's store.
    pub store: Store,
    /// The servers, grouped by service.
    pub servers: Vec<Instance>,
    /// Bounds in the nodes' settings besides the usual ones.
    pub more_bounds: Value,
    /// The descriptors that a node may use, if that is limited.
    pub max_descriptors: Option<u64>,
    dir: PathBuf,
    subnet: u8,
    nodes_started: AtomicU32,
}

/// The number of the next cluster in this test process.
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

impl Drop for Cluster {
    fn drop(&mut self) {
        // If the test failed, the folder with the nodes' logs is kept.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A record of 16 bytes: `first_byte`, then `filler` in all others.
pub fn record(first_byte: u8, filler: u8) -> [u8; 16] {
    let mut record = [filler; 16];
    record[0] = first_byte;
    record
}

impl Cluster {
    /// Starts a store, and two servers for each of three shards and for the service
    /// `plain`.
    pub fn start() -> Self {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let dir = std::env::temp_dir().join(format!("heatherseam-{process}-{number}"));
        std::fs::create_dir_all(&dir).expect("a folder for settings");
        let store = Store::start().expect("a store");
        let mut servers = Vec::new();
        for (service, first_byte) in [("shard-a", 1), ("shard-b", 2), ("shard-c", 3), ("plain", 9)]
        {
            for replica in 0..2 {
                let id = format!("{service}-{replica}");
                let records = [record(first_byte, 1), record(first_byte + 100, 2)].concat();
                servers.push(Instance::start(&id, service, &records).expect("a server"));
            }
        }
        let subnet = ((process + number * 7) % 200) as u8;
        Self {
            store,
            servers,
            more_bounds: json!({}),
            max_descriptors: None,
            dir,
            subnet,
            nodes_started: AtomicU32::new(1),
        }
    }

    /// Registers all servers and writes a configuration of version 3.
    pub fn publish(&self) {
        for server in &self.servers {
            self.store.put("servers", &server.id, &server.entry("ready"));
        }
        self.store.put("config", "main", &config(3, json!([])));
    }

    /// The servers of a service.
    pub fn servers_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        self.servers.iter().filter(move |server| server.service == service)
    }

    /// Starts a node without waiting until it is ready.
    pub fn start_node(&self) -> Node {
        self.start_node_with_seeds(&[])
    }

    /// Like [`Cluster::start_node`], with the addresses of other nodes as seeds.
    pub fn start_node_with_seeds(&self, seeds: &[SocketAddr]) -> Node {
        self.start_node_at(self.store.address(), seeds)
    }

    /// Like [`Cluster::start_node_with_seeds`], with another store.
    pub fn start_node_at(&self, store: SocketAddr, seeds: &[SocketAddr]) -> Node {
        let number = self.nodes_started.fetch_add(1, Ordering::Relaxed);
        let ip =
            format!("127.{}.{}.{number}", 10 + self.subnet, NEXT_CLUSTER.load(Ordering::Relaxed));
        let port = |offset: u16| -> SocketAddr {
            format!("{ip}:{}", 18_000 + offset).parse().expect("an address")
        };
        let mut text = json!({
            "node_name": format!("node-{number}"), "ip": ip, "zone": "hall", "region": "land",
            "zones": { "hall": "land", "reef": "sea" },
            "listen": { "front": port(6), "readiness_addr": port(7), "directory": port(5) },
            "port_range": [PEER_PORT, PEER_PORT + 15],
            "limits": { "cpu_share": 1.0, "memory_mb": MEMORY_MB },
            "seeds": seeds,
            "bounds": {
                "grace_s": 6, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
                "ttl_max_s": 5, "config_apply_ms": 3000, "drain_ms": 3000, "quota_window_s": 5,
                "quota_overage": 0.1, "quota_slack": 20
            },
            "platform": { "address": store }
        });
        if let Some(max) = self.max_descriptors {
            text["limits"]["max_fds"] = json!(max);
        }
        if let (Some(bounds), Some(more)) =
            (text["bounds"].as_object_mut(), self.more_bounds.as_object())
        {
            bounds.extend(more.clone());
        }
        let settings_file = self.dir.join(format!("node-{number}.yaml"));
        std::fs::write(&settings_file, text.to_string()).expect("a settings file");
        let log_file = self.dir.join(format!("node-{number}.log"));
        let stdout = std::fs::File::create(&log_file).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_heatherseam"))
            .arg("serve")
            .env("HEATHERSEAM_CONFIG", &settings_file)
            .stdout(stdout)
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()
            .expect("a node");
        let metrics_address = SocketAddr::new(port(6).ip(), platform::settings::METRICS_PORT);
        Node {
            child,
            caller_address: port(6),
            readiness_address: port(7),
            lookup_address: port(5),
            metrics_address,
            settings_file,
            log_file,
        }
    }

    /// Registers the servers, writes the configuration, starts a node and waits until
    /// it is ready.
    pub async fn start_ready_node(&self) -> Node {
        self.publish();
        let node = self.start_node();
        node.wait_until_ready().await;
        node
    }
}

/// A configuration with the default routes and `more_routes`.
pub fn config(version: u64, more_routes: Value) -> Value {
    let mut routes = vec![
        json!({
            "name": "search", "host": HOST, "path_prefix": "/search/", "route_type": "idempotent",
            "timeout_ms": TIMEOUT_MS, "objective_ms": 2000, "priority": 1, "max_attempts": 2,
            "gather": ["shard-a", "shard-b", "shard-c"], "top_k": 4, "min_coverage": 0.6
        }),
        json!({
            "name": "view", "host": HOST, "path_prefix": "/view/", "route_type": "idempotent",
            "timeout_ms": TIMEOUT_MS, "objective_ms": 2000, "priority": 1, "max_attempts": 2,
            "service": "plain"
        }),
        json!({
            "name": "book", "host": HOST, "path_prefix": "/book/",
            "route_type": "non_idempotent", "timeout_ms": TIMEOUT_MS, "objective_ms": 2000,
            "priority": 1, "max_attempts": 2, "service": "plain"
        }),
    ];
    routes.extend(more_routes.as_array().cloned().unwrap_or_default());
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
        .header("heatherseam-deadline-ms", TIMEOUT_MS.to_string())
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request")
}

/// A header of a response as text; empty if it is absent.
pub fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

impl Node {
    /// Sends a request on a new connection.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Response<Bytes> {
        with_timeout("a request", http::send(self.caller_address, request))
            .await
            .expect("a response")
    }

    /// Whether its readiness endpoint reports it as ready.
    pub async fn is_ready(&self) -> bool {
        let response =
            http::send(self.readiness_address, request("0", "GET", "/api/readyz", "")).await;
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until it is ready.
    pub async fn wait_until_ready(&self) {
        eventually("the node is ready", async || self.is_ready().await).await;
    }

    /// The addresses in its lookup; empty if it did not answer.
    pub async fn lookup(&self) -> Vec<String> {
        let path = "/api/resolve?name=desk.example&region=land&zone=hall";
        let Ok(response) = http::send(self.lookup_address, request("0", "GET", path, "")).await
        else {
            return Vec::new();
        };
        let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        let addresses = body["addrs"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    /// The addresses that it listens on besides that for callers.
    pub fn other_addresses(&self) -> [SocketAddr; 4] {
        let peers = SocketAddr::new(self.caller_address.ip(), PEER_PORT);
        [self.lookup_address, self.readiness_address, self.metrics_address, peers]
    }

    /// Whether its metrics endpoint answers.
    pub async fn serves_metrics(&self) -> bool {
        http::send(self.metrics_address, request("0", "GET", "/metrics", "")).await.is_ok()
    }

    /// Sends a request to the port for operators.
    pub async fn operate(&self, method: &str, path: &str) -> Response<Bytes> {
        let request = http::send(self.metrics_address, request("0", method, path, ""));
        with_timeout("a request of an operator", request).await.expect("a response")
    }

    /// Its metrics as text.
    pub async fn metrics(&self) -> String {
        let scrape = http::send(self.metrics_address, request("0", "GET", "/metrics", ""));
        let response = with_timeout("a scrape", scrape).await.expect("a response");
        String::from_utf8_lossy(response.body()).into_owned()
    }

    /// The most memory that it has used so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let id = self.child.id().expect("the process runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("its peak");
        let kb = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok());
        kb.expect("a number") / 1024
    }

    /// The number of its open descriptors.
    pub fn descriptors(&self) -> usize {
        let id = self.child.id().expect("the process runs");
        std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors").count()
    }

    /// Sends it SIGTERM.
    pub async fn terminate(&self) {
        self.signal("-TERM").await;
    }

    /// Sends it a signal.
    pub async fn signal(&self, name: &str) {
        let id = self.child.id().expect("the process runs").to_string();
        let sent = Command::new("kill").args([name, &id]).status().await;
        assert!(sent.expect("kill runs").success());
    }

    /// Waits until it exits; returns whether its exit status reports success.
    pub async fn wait_for_exit(&mut self) -> bool {
        with_timeout("a node exits", self.child.wait()).await.expect("an exit status").success()
    }

    /// The JSON lines of its log.
    pub fn log_lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log_file).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}
