//! Entry nodes as real processes, with the platform and the upstreams in the
//! test's own process.
//!
//! Invariant: a deadline here only ends a hang; no verdict depends on how long
//! something took. Every child is ended by its own handle.

// Each test file uses a part of it.
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

/// The lifetime of a lookup, in milliseconds.
pub const KEEP_MS: u64 = 300;
/// The data centres, taken by the nodes in turn.
pub const CENTRES: [&str; 3] = ["a", "b", "c"];

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// A whole deployment.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The upstream servers of the service `search`.
    pub upstream: upstream::Fleet,
    /// The nodes that run.
    pub nodes: Vec<Node>,
    folder: PathBuf,
    started: usize,
}

impl Fleet {
    /// Starts `count` nodes with one service, all fresh and known to each other.
    pub async fn start(count: usize) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any).expect("a platform");
        let service = upstream::Service { groups: 2, ..upstream::Service::default() };
        let settings = upstream::Settings { services: vec![service], ..Default::default() };
        let upstream = upstream::Fleet::start(settings).expect("upstreams");
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = format!("fleet-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut fleet = Self { platform, upstream, nodes: Vec::new(), folder, started: 0 };
        fleet.fill().await;
        for _ in 0..count {
            fleet.add();
        }
        fleet.settle().await;
        fleet
    }

    async fn fill(&self) {
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

    /// Starts one node more, without waiting until it is ready; gives its index.
    pub fn add(&mut self) -> usize {
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|node| node.peer).collect();
        let centre = CENTRES[self.started % CENTRES.len()];
        let name = format!("node-{}", self.started);
        self.started += 1;
        let platform = self.platform.address();
        self.nodes.push(Node::start(&self.folder, &name, centre, platform, &seeds));
        self.nodes.len() - 1
    }

    /// Waits until every node is fresh, knows all objects, and names exactly all.
    pub async fn settle(&mut self) {
        let mut all: Vec<String> = self.nodes.iter().map(|node| node.caller.to_string()).collect();
        all.sort();
        self.on_all("every node is named", async |node| node.named().await == all).await;
    }

    /// Waits until `holds` is true of each node.
    pub async fn on_all(&self, what: &str, holds: impl AsyncFn(&Node) -> bool) {
        for node in &self.nodes {
            eventually(&format!("{} at {}", what, node.name), async || holds(node).await).await;
        }
    }

    /// Writes an object to the platform itself; gives its revision.
    pub async fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let path = format!("/v1/objects/{kind}/{name}");
        let present = call(self.platform.address(), "GET", &path, &[], None).await;
        let revision = present.ok().and_then(|(_, item)| item["revision"].as_u64());
        let condition = match revision {
            Some(revision) => ("if-match", revision.to_string()),
            None => ("if-none-match", "*".to_owned()),
        };
        let body = json!({"operation": "", "after": revision.unwrap_or(0), "spec": {kind: spec}});
        self.write("PUT", &path, condition, Some(body)).await
    }

    /// Deletes an object at the platform; gives its tombstone's revision.
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
        let (status, item) = answer.expect("the platform answers");
        assert_eq!(status, 200, "{item}");
        item["revision"].as_u64().expect("a revision")
    }

    /// Waits until the change of `revision` is in force on every node.
    pub async fn in_force(&self, revision: u64) {
        let what = format!("revision {revision} is in force");
        self.on_all(&what, async |node| node.revision().await >= revision).await;
    }

    /// Breaks the platform.
    pub fn outage(&self, outage: Outage) {
        self.platform.inject_fault(Fault { outage: Some(outage), ..Fault::default() });
    }

    /// Ends all faults of the platform.
    pub fn heal(&self) {
        self.platform.inject_fault(Fault::default());
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
