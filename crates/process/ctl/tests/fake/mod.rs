//! A node in the test's process: an in-memory handler behind the real service, on a
//! port chosen by the operating system.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use conf::catalog::Catalog;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use conf::verify;
use rpc::failure::Failure;
use rpc::handler::Handler;
use rpc::handler::Pending;
use rpc::handler::Precondition;
use rpc::handler::Target;
use rpc::handler::WriteRequest;
use rpc::proto;
use rpc::service::Service;

/// How the platform behind the node behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Platform {
    /// Answers calls.
    #[default]
    Healthy,
    /// Does not accept calls.
    Unreachable,
    /// Accepts writes, but their answers are lost and can't be read back.
    LosesAnswers,
    /// Never answers; so the node doesn't answer either.
    Hangs,
    /// Another operator changes the object just before each write.
    ConcurrentWriter,
}

#[derive(Default)]
struct State {
    platform: Platform,
    catalog: Catalog,
    writes: Vec<WriteRequest>,
}

/// A node in memory.
#[derive(Default)]
pub struct Node {
    state: Mutex<State>,
}

impl Node {
    /// Starts a node; returns it and its operator address.
    pub async fn start() -> (Arc<Self>, SocketAddr) {
        let node = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let server = Service::new(node.clone()).into_server();
        let incoming = TcpIncoming::from(listener);
        tokio::spawn(Server::builder().add_service(server).serve_with_incoming(incoming));
        (node, address)
    }

    /// Sets how the platform behaves from now on.
    pub fn set_platform(&self, platform: Platform) {
        self.state.lock().platform = platform;
    }

    /// The writes that the node received.
    pub fn writes(&self) -> Vec<WriteRequest> {
        self.state.lock().writes.clone()
    }

    /// The stored spec of an object.
    pub fn spec(&self, kind: Kind, name: &str) -> Option<Spec> {
        let key = Key { kind, name: name.into() };
        self.state.lock().catalog.get(&key).and_then(|object| object.spec.clone())
    }
}

impl State {
    fn check_platform(&self) -> Result<(), Failure> {
        match self.platform {
            Platform::Unreachable => Err(Failure::unavailable("the platform does not answer")),
            _ => Ok(()),
        }
    }

    fn live(&self, key: &Key) -> Option<Object> {
        self.catalog.get(key).filter(|object| object.spec.is_some()).map(|o| (**o).clone())
    }

    fn put(&mut self, key: Key, spec: Option<Spec>) -> Object {
        let object = Object { key, revision: self.catalog.revision() + 1, spec };
        self.catalog = self.catalog.with_objects(std::slice::from_ref(&object)).0;
        object
    }

    fn write(&mut self, write: WriteRequest) -> Result<Object, Failure> {
        self.writes.push(write.clone());
        self.check_platform()?;
        if self.platform == Platform::ConcurrentWriter {
            let current = self.live(&write.key).and_then(|object| object.spec);
            self.put(write.key.clone(), current);
        }
        let present = self.live(&write.key);
        let revision = present.as_ref().map(|object| object.revision);
        match (write.expected, revision) {
            (Precondition::Absent, None) => {}
            (Precondition::Revision(expected), Some(revision)) if expected == revision => {}
            _ => return Err(Failure::Conflict(present)),
        }
        let next = Object { key: write.key.clone(), revision: 0, spec: write.spec.clone() };
        let findings = verify::object(&self.catalog, &next);
        if !findings.is_empty() {
            return Err(Failure::Invalid(findings));
        }
        let object = self.put(write.key, write.spec);
        if self.platform == Platform::LosesAnswers {
            let message = "the platform's answer was lost".to_string();
            return Err(Failure::Unknown { message, operation: write.operation });
        }
        Ok(object)
    }
}

impl Handler for Node {
    fn write(&self, write: WriteRequest) -> Pending<'_, Object> {
        let result = self.state.lock().write(write);
        let hangs = self.state.lock().platform == Platform::Hangs;
        Box::pin(async move {
            if hangs {
                std::future::pending::<()>().await;
            }
            result
        })
    }

    fn get(&self, key: Key) -> Pending<'_, Object> {
        let state = self.state.lock();
        let found = state
            .check_platform()
            .and_then(|()| state.live(&key).ok_or_else(|| Failure::NotFound(key.to_string())));
        Box::pin(async move { found })
    }

    fn list(&self, kind: Option<Kind>) -> Pending<'_, Vec<Object>> {
        let state = self.state.lock();
        let matches_kind = |object: &&Arc<Object>| {
            object.spec.is_some() && kind.is_none_or(|kind| object.key.kind == kind)
        };
        let found: Vec<_> =
            state.catalog.iter().filter(matches_kind).map(|o| (**o).clone()).collect();
        let result = state.check_platform().map(|()| found);
        Box::pin(async move { result })
    }

    fn status(&self) -> Pending<'_, proto::StatusReply> {
        let reachable = self.state.lock().platform != Platform::Unreachable;
        let member = |name: &str, revision, leaving| proto::Node {
            name: name.to_string(),
            data_centre: "west".to_string(),
            incarnation: "00000000000000a1".to_string(),
            peer_address: "10.0.0.1:7001".to_string(),
            applied_revision: revision,
            fresh: true,
            leaving,
            liveness: "alive".to_string(),
            age_ms: 40,
        };
        let status = proto::StatusReply {
            node: "first".to_string(),
            members: vec![member("first", 12, false), member("second", 9, true)],
            lowest_applied_revision: 9,
            platform_reachable: reachable,
            platform_silent_ms: Some(if reachable { 3 } else { 4000 }),
            leaving_servers: vec!["a1".to_string()],
        };
        Box::pin(async move { Ok(status) })
    }

    fn drain(&self, target: Target) -> Pending<'_, String> {
        Box::pin(async move {
            match target {
                Target::Node(name) if name == "first" => Ok("first stops".to_string()),
                Target::Server(name) if name == "a1" => Ok("a1 is leaving".to_string()),
                Target::Node(name) | Target::Server(name) => Err(Failure::NotFound(name)),
            }
        })
    }

    fn dump(&self) -> Pending<'_, proto::DumpReply> {
        let state_json = r#"{"requests":3}"#.to_string();
        Box::pin(async move { Ok(proto::DumpReply { node: "first".to_string(), state_json }) })
    }

    fn explain(&self, request: String) -> Pending<'_, String> {
        Box::pin(async move {
            match request.as_str() {
                "a1-1" => Ok("0.000ms pinned desk-1@4\n0.120ms sent to a1\n".to_string()),
                _ => Err(Failure::NotFound(format!("request {request}"))),
            }
        })
    }

    fn report(&self, experiment: String) -> Pending<'_, proto::ReportReply> {
        let arm = |name: &str, p99_ms, p99_ratio| proto::ArmReport {
            name: name.to_string(),
            policy: name.to_string(),
            requests: 5000,
            p50_ms: 4.0,
            p99_ms,
            coverage: 0.9999,
            sends_per_shard: 1.02,
            p99_ratio,
            coverage_difference: None,
            extra_load_ratio: None,
            stopped: None,
        };
        let ratio = proto::Interval { estimate: 0.8, low: 0.75, high: 0.86 };
        let report = proto::ReportReply {
            experiment,
            service: "desk".to_string(),
            stage: "running".to_string(),
            value: "tail".to_string(),
            arms: vec![arm("old", 20.0, None), arm("new", 16.0, Some(ratio))],
            winner: Some("new".to_string()),
            verdict: "new wins on the tail".to_string(),
            nodes: vec!["first".to_string()],
            nodes_missing: vec!["second".to_string()],
        };
        Box::pin(async move { Ok(report) })
    }
}

/// The result of a run of `hsctl`.
pub struct Run {
    /// The exit code.
    pub code: u8,
    /// The output followed by the error output, with node addresses replaced by
    /// `NODE`.
    pub text: String,
}

/// Runs `hsctl` against the nodes at `addresses`.
pub async fn hsctl(addresses: &[SocketAddr], line: &str) -> Run {
    let mut arguments: Vec<String> = line.split_whitespace().map(str::to_string).collect();
    for address in addresses {
        arguments.extend(["--node".to_string(), address.to_string()]);
    }
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = ctl::run::run(&arguments, &mut out, &mut err).await;
    let mut text = String::from_utf8_lossy(&out).into_owned() + &String::from_utf8_lossy(&err);
    for address in addresses {
        text = text.replace(&address.to_string(), "NODE");
    }
    Run { code: code as u8, text }
}

/// Runs each command line in both formats; returns the commands and what they printed.
pub async fn transcript(address: SocketAddr, lines: &[&str]) -> String {
    let mut text = String::new();
    for line in lines {
        for line in [line.to_string(), format!("{line} --output json")] {
            let run = hsctl(&[address], &line).await;
            text.push_str(&format!("$ hsctl {line}\n{}exit {}\n\n", run.text, run.code));
        }
    }
    text
}

/// An address where nothing listens.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("the listener has an address")
}

/// Writes a file of objects for `hsctl -f`, named after the test; returns its path.
pub fn file(test: &str, text: &str) -> String {
    let path = format!("{}/{test}.yaml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

/// Two policies, a map, a service and an experiment.
pub const OBJECTS: &str = "\
kind: experiment
name: trial
spec:
  service: desk
  arms:
    - {name: old, policy: steady, weight: 1}
    - {name: new, policy: quick, weight: 1}
---
kind: service
name: desk
spec: {value: tail, deadline_ms: 50, policy: steady, map: desk-1, slots: 2, connections: 25}
---
kind: map
name: desk-1
spec:
  service: desk
  groups:
    - servers: [{name: a1, address: '10.0.0.1:80', data_centre: west}]
---
kind: policy
name: steady
spec: {}
---
kind: policy
name: quick
spec: {choice: home}
";
