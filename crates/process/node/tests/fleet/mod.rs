//! A cluster for tests: each entry node is a process of its own; the platform and
//! the upstream servers are fakes in the test's process.
//!
//! Invariant: timeouts here only end a hung test; no check depends on how long
//! something took. Each child process is ended through its own handle.

// Each test file uses only a part of this module.
#![allow(dead_code)]

pub mod calls;
pub mod load;
pub mod node;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use crate::fleet::calls::call;
use crate::fleet::node::Node;
use fakes::platform::Fault;
use fakes::platform::Outage;
use fakes::platform::Platform;
use fakes::upstream;
use fakes::wait::eventually;

/// How long callers may use the result of a lookup.
pub const LOOKUP_TTL_MS: u64 = 300;
/// The data centres, assigned to the nodes in turn.
pub const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

static NEXT_FLEET: AtomicUsize = AtomicUsize::new(0);

/// Entry nodes, upstream servers and the platform.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The upstream servers of the service `search`.
    pub upstream: upstream::Fleet,
    /// The running nodes, in the order in which they started.
    pub nodes: Vec<Node>,
    folder: PathBuf,
    nodes_started: usize,
}

impl Fleet {
    /// Starts `count` nodes with one service, and waits until they list each other.
    pub async fn start(count: usize) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any_port).expect("a platform");
        let service = upstream::Service { groups: 2, ..upstream::Service::default() };
        let settings = upstream::Settings { services: vec![service], ..Default::default() };
        let upstream = upstream::Fleet::start(settings).expect("upstreams");
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let folder = format!("fleet-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut fleet = Self { platform, upstream, nodes: Vec::new(), folder, nodes_started: 0 };
        fleet.write_initial_objects().await;
        for _ in 0..count {
            fleet.add_node();
        }
        fleet.wait_until_converged().await;
        fleet
    }

    async fn write_initial_objects(&self) {
        let hedge = json!({"quantile_percent": 100.0, "budget_percent": 5.0});
        self.put("policy", "plain", json!({"hedge": hedge})).await;
        for (name, map) in self.upstream.maps() {
            self.put("map", name, serde_json::to_value(map).expect("JSON")).await;
        }
        let service = json!({
            "value": "coverage", "deadline_ms": 20_000, "policy": "plain", "map": "search-1",
            "slots": 2, "connections": 25,
        });
        self.put("service", "search", service).await;
    }

    /// Starts another node without waiting until it is ready; returns its index.
    pub fn add_node(&mut self) -> usize {
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|node| node.peer).collect();
        let data_centre = DATA_CENTRES[self.nodes_started % DATA_CENTRES.len()];
        let name = format!("node-{}", self.nodes_started);
        self.nodes_started += 1;
        let platform = self.platform.address();
        self.nodes.push(Node::start(&self.folder, &name, data_centre, platform, &seeds));
        self.nodes.len() - 1
    }

    /// Waits until the lookup of every node lists exactly the running nodes. A node is
    /// listed only if its configuration is complete and current.
    pub async fn wait_until_converged(&mut self) {
        let mut addresses: Vec<String> =
            self.nodes.iter().map(|node| node.caller.to_string()).collect();
        addresses.sort();
        self.wait_on_all("the lookup lists all nodes", async |node| {
            node.lookup_addresses().await == addresses
        })
        .await;
    }

    /// Waits until `condition` is true of each node.
    pub async fn wait_on_all(&self, what: &str, condition: impl AsyncFn(&Node) -> bool) {
        for node in &self.nodes {
            eventually(&format!("{} at {}", what, node.name), async || condition(node).await).await;
        }
    }

    /// Writes an object directly to the platform; returns its revision.
    pub async fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let path = format!("/v1/objects/{kind}/{name}");
        let present = call(self.platform.address(), "GET", &path, &[], None).await;
        let revision = present.ok().and_then(|(_, object)| object["revision"].as_u64());
        let condition = match revision {
            Some(revision) => ("if-match", revision.to_string()),
            None => ("if-none-match", "*".to_owned()),
        };
        let body = json!({"operation": "", "after": revision.unwrap_or(0), "spec": {kind: spec}});
        self.write("PUT", &path, condition, Some(body)).await
    }

    /// Deletes an object directly at the platform; returns the tombstone's revision.
    pub async fn delete(&self, kind: &str, name: &str, revision: u64) -> u64 {
        let path = format!("/v1/objects/{kind}/{name}");
        self.write("DELETE", &path, ("if-match", revision.to_string()), None).await
    }

    async fn write(
        &self,
        method: &str,
        path: &str,
        condition: (&str, String),
        body: Option<Value>,
    ) -> u64 {
        let headers = [(condition.0, condition.1.as_str())];
        let answer = call(self.platform.address(), method, path, &headers, body).await;
        let (status, object) = answer.expect("the platform responds");
        assert_eq!(status, 200, "{object}");
        object["revision"].as_u64().expect("a revision")
    }

    /// Waits until every node has applied the change of `revision`.
    pub async fn wait_for_revision(&self, revision: u64) {
        let what = format!("revision {revision} is applied");
        self.wait_on_all(&what, async |node| node.applied_revision().await >= revision).await;
    }

    /// Starts an outage of the platform.
    pub fn start_outage(&self, outage: Outage) {
        self.platform.inject_fault(Fault { outage: Some(outage), ..Fault::default() });
    }

    /// Removes all faults of the platform.
    pub fn clear_faults(&self) {
        self.platform.inject_fault(Fault::default());
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
