//! One entry node as a process. Invariant: it ends with its handle.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tonic::transport::Channel;

use crate::fleet::KEEP_MS;
use crate::fleet::calls::call;
use fakes::wait::eventually;
use rpc::proto::operator_client::OperatorClient;

/// What a node prints once it has started.
#[derive(Deserialize)]
struct Started {
    caller: SocketAddr,
    peer: SocketAddr,
    operator: SocketAddr,
}

/// A running node.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it serves peers.
    pub peer: SocketAddr,
    /// Where it serves operators.
    pub operator: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts the process and waits for its line.
    pub fn start(
        folder: &Path,
        name: &str,
        centre: &str,
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let any = "127.0.0.1:0";
        // JSON is YAML, too.
        let settings = json!({
            "name": name, "data_centre": centre, "region": "r", "caller_address": any,
            "peer_address": any, "operator_address": any, "platform": [platform],
            "seeds": seeds, "keep_ms": KEEP_MS, "log": "warn",
        });
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings.to_string()).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_heatherseam"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut line = String::new();
        let out = child.stdout.take().expect("its output");
        // Ends with a line or with the process.
        let read = BufReader::new(out).read_line(&mut line);
        read.expect("a line");
        let started: Started = serde_json::from_str(&line).expect("its addresses");
        let Started { caller, peer, operator } = started;
        Self { name: name.to_owned(), centre: centre.to_owned(), caller, peer, operator, child }
    }

    /// Sends a signal, such as `STOP`, to this process alone.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.expect("kill runs").success(), "{name} to {}", self.name);
    }

    /// Waits for the end of the process.
    pub async fn ended(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.name);
        let child = std::cell::RefCell::new(&mut self.child);
        let look = || child.borrow_mut().try_wait().expect("a child");
        eventually(&what, async || look().is_some()).await;
        look().expect("an exit status")
    }

    /// The answer to a `GET` for callers; `Null` if there is none.
    pub async fn get(&self, path: &str) -> Value {
        call(self.caller, "GET", path, &[], None).await.map_or(Value::Null, |(_, body)| body)
    }

    /// Its whole state.
    pub async fn state(&self) -> Value {
        self.get("/debug/state").await
    }

    /// The highest revision that is in force.
    pub async fn revision(&self) -> u64 {
        self.state().await["configuration"]["revision"].as_u64().unwrap_or(0)
    }

    /// Whether the object, or the object at a revision, is in force and not deleted.
    pub async fn holds(&self, object: &str) -> bool {
        let state = self.state().await;
        let lines = state["configuration"]["objects"].as_array().cloned().unwrap_or_default();
        let mut lines = lines.iter().filter_map(|line| line.as_str());
        lines.any(|line| {
            let rest = line.strip_prefix(object);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
                && !line.ends_with(" deleted")
        })
    }

    /// Whether it holds the present configuration, by its own word.
    pub async fn is_fresh(&self) -> bool {
        self.state().await["node"]["fresh"] == true
    }

    /// What its lookup names, in its order; nothing if it did not answer.
    pub async fn entries(&self, parameters: &str) -> Vec<(String, String)> {
        let answer = self.get(&format!("/v1/entries{parameters}")).await;
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let entries = answer["entries"].as_array().cloned().unwrap_or_default();
        entries.iter().map(|entry| (text(&entry["address"]), text(&entry["data_centre"]))).collect()
    }

    /// The addresses that its lookup names, sorted.
    pub async fn named(&self) -> Vec<String> {
        let entries = self.entries("").await;
        let mut named: Vec<_> = entries.into_iter().map(|(address, _)| address).collect();
        named.sort();
        named
    }

    /// Whether its lookup names `address`; true, too, if it did not answer.
    pub async fn names(&self, address: SocketAddr) -> bool {
        let named = self.named().await;
        named.is_empty() || named.contains(&address.to_string())
    }

    /// Sends a request for an answer.
    ///
    /// # Errors
    ///
    /// It was cut off.
    pub async fn query(&self, query: Value) -> io::Result<(u16, Value)> {
        call(self.caller, "POST", "/v1/query", &[], Some(query)).await
    }

    /// A client of its operators' calls.
    pub async fn operators(&self) -> OperatorClient<Channel> {
        let endpoint = Channel::from_shared(format!("http://{}", self.operator));
        let endpoint = endpoint.expect("an address").timeout(Duration::from_secs(30));
        OperatorClient::new(endpoint.connect().await.expect("operators are served"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
