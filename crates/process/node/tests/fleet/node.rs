//! An entry node as a process. Invariant: dropping the handle ends the process.

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

use crate::fleet::LOOKUP_TTL_MS;
use crate::fleet::calls::call;
use fakes::wait::eventually;
use rpc::proto::operator_client::OperatorClient;

/// The line that a node prints once it has started.
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
    pub data_centre: String,
    /// The address at which it serves callers.
    pub caller: SocketAddr,
    /// The address at which it serves other nodes.
    pub peer: SocketAddr,
    /// The address at which it serves operators.
    pub operator: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts the process and waits for its first line.
    pub fn start(
        folder: &Path,
        name: &str,
        data_centre: &str,
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let any_port = "127.0.0.1:0";
        // JSON is valid YAML.
        let settings = json!({
            "name": name, "data_centre": data_centre, "region": "r", "caller_address": any_port,
            "peer_address": any_port, "operator_address": any_port, "platform": [platform],
            "seeds": seeds, "keep_ms": LOOKUP_TTL_MS, "log": "warn",
        });
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings.to_string()).expect("the settings file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_heatherseam"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        // Returns after the first line, or when the process exits.
        let read = BufReader::new(stdout).read_line(&mut line);
        read.expect("the first line is read");
        let started: Started =
            serde_json::from_str(&line).expect("the first line has the addresses");
        let Started { caller, peer, operator } = started;
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            caller,
            peer,
            operator,
            child,
        }
    }

    /// Sends a signal, such as `STOP`, to this process alone.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.expect("kill runs").success(), "{name} to {}", self.name);
    }

    /// Waits until the process exits.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let what = format!("{} exits", self.name);
        let child = std::cell::RefCell::new(&mut self.child);
        let exit_status = || child.borrow_mut().try_wait().expect("a child");
        eventually(&what, async || exit_status().is_some()).await;
        exit_status().expect("an exit status")
    }

    /// The body of a `GET` from the callers' address; `Null` if the call failed.
    pub async fn get(&self, path: &str) -> Value {
        call(self.caller, "GET", path, &[], None).await.map_or(Value::Null, |(_, body)| body)
    }

    /// The dump of its state.
    pub async fn debug_state(&self) -> Value {
        self.get("/debug/state").await
    }

    /// The highest revision that it has applied.
    pub async fn applied_revision(&self) -> u64 {
        self.debug_state().await["configuration"]["revision"].as_u64().unwrap_or(0)
    }

    /// Whether it has the object, optionally at a given revision, and not as deleted.
    pub async fn has_object(&self, object: &str) -> bool {
        let state = self.debug_state().await;
        let objects = state["configuration"]["objects"].as_array().cloned().unwrap_or_default();
        let mut objects = objects.iter().filter_map(|line| line.as_str());
        objects.any(|line| {
            let rest = line.strip_prefix(object);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
                && !line.ends_with(" deleted")
        })
    }

    /// Whether it reports its configuration as current.
    pub async fn is_synced(&self) -> bool {
        self.debug_state().await["node"]["fresh"] == true
    }

    /// Address and data centre of each entry of its lookup, in order; empty if it did
    /// not answer.
    pub async fn entries(&self, parameters: &str) -> Vec<(String, String)> {
        let answer = self.get(&format!("/v1/entries{parameters}")).await;
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let entries = answer["entries"].as_array().cloned().unwrap_or_default();
        entries.iter().map(|entry| (text(&entry["address"]), text(&entry["data_centre"]))).collect()
    }

    /// The addresses in its lookup, sorted; empty if it did not answer.
    pub async fn lookup_addresses(&self) -> Vec<String> {
        let entries = self.entries("").await;
        let mut addresses: Vec<_> = entries.into_iter().map(|(address, _)| address).collect();
        addresses.sort();
        addresses
    }

    /// Whether its lookup has `address`; also true if it did not answer.
    pub async fn may_list(&self, address: SocketAddr) -> bool {
        let addresses = self.lookup_addresses().await;
        addresses.is_empty() || addresses.contains(&address.to_string())
    }

    /// Sends a query; returns the status and the JSON body.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn query(&self, query: Value) -> io::Result<(u16, Value)> {
        call(self.caller, "POST", "/v1/query", &[], Some(query)).await
    }

    /// A client for its operator API.
    pub async fn operator_client(&self) -> OperatorClient<Channel> {
        let endpoint = Channel::from_shared(format!("http://{}", self.operator));
        let endpoint = endpoint.expect("an address").timeout(Duration::from_secs(30));
        OperatorClient::new(endpoint.connect().await.expect("a connection"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
