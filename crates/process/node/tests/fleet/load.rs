//! Callers that send requests one after another to the nodes of the last lookup.
//!
//! Invariant: a caller uses a lookup no longer than its TTL, and keeps its
//! connection while the lookup lists the node and the node doesn't close it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::Request;
use parking_lot::Mutex;
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::fleet::calls;
use fakes::http::Connection;

/// The time after which a request counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The results of the requests of all callers.
#[derive(Debug, Default)]
pub struct Results {
    /// The number of answers that cover all shards.
    pub complete: u64,
    /// All other responses.
    pub unexpected: Vec<String>,
    /// The errors of requests and lookups that failed.
    pub failed: Vec<String>,
}

/// Callers that run until they are stopped.
pub struct Load {
    results: Arc<Mutex<Results>>,
    stop: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `count` callers whose first lookup goes to one of `initial_nodes`.
    pub fn start(count: usize, initial_nodes: &[SocketAddr]) -> Self {
        let results = Arc::new(Mutex::new(Results::default()));
        let stop = CancellationToken::new();
        let callers = (0..count).map(|index| {
            let caller = Caller {
                index,
                entries: initial_nodes.to_vec(),
                lookup_expires: Instant::now(),
                connection: None,
                results: Arc::clone(&results),
            };
            tokio::spawn(caller.run(stop.clone()))
        });
        let callers = callers.collect();
        Self { results, stop, callers }
    }

    /// The number of complete answers so far.
    pub fn complete_answers(&self) -> u64 {
        self.results.lock().complete
    }

    /// Stops the callers after their current requests and returns the results.
    pub async fn stop(self) -> Results {
        self.stop.cancel();
        for caller in self.callers {
            caller.await.expect("the caller does not panic");
        }
        std::mem::take(&mut *self.results.lock())
    }
}

struct Caller {
    index: usize,
    entries: Vec<SocketAddr>,
    lookup_expires: Instant,
    connection: Option<(SocketAddr, Connection)>,
    results: Arc<Mutex<Results>>,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) {
        let mut sent = 0;
        while !stop.is_cancelled() {
            if Instant::now() >= self.lookup_expires {
                self.lookup().await;
            }
            self.send(&format!("{}-{sent}", self.index)).await;
            sent += 1;
        }
    }

    /// Replaces the list of nodes by the lookup of the first node that answers.
    async fn lookup(&mut self) {
        for node in self.entries.clone() {
            let started = Instant::now();
            let answer = calls::call(node, "GET", "/v1/entries", &[], None).await;
            let Ok((200, answer)) = answer else { continue };
            let entries = answer["entries"].as_array().cloned().unwrap_or_default();
            let parse_address =
                |entry: &Value| entry["address"].as_str().and_then(|a| a.parse().ok());
            let entries: Vec<SocketAddr> = entries.iter().filter_map(parse_address).collect();
            if entries.is_empty() {
                continue;
            }
            let ttl = Duration::from_millis(answer["keep_ms"].as_u64().unwrap_or(0));
            (self.entries, self.lookup_expires) = (entries, started + ttl);
            self.connection =
                self.connection.take().filter(|(node, _)| self.entries.contains(node));
            return;
        }
        self.results.lock().failed.push(format!("no lookup from {:?}", self.entries));
    }

    async fn send(&mut self, text: &str) {
        let request = || calls::request("POST", "/v1/query", &[], Some(calls::search(text)));
        let (node, outcome) = match self.connection.take() {
            Some((node, connection)) => (node, self.exchange(node, connection, request()).await),
            None => self.send_on_new_connection(request()).await,
        };
        let mut results = self.results.lock();
        match outcome {
            Ok((200, answer)) if answer["covered"].as_array().is_some_and(|c| c.len() == 2) => {
                results.complete += 1;
            }
            Ok((status, answer)) => results.unexpected.push(format!("{node}: {status} {answer}")),
            Err(error) => results.failed.push(format!("{node}: {error}")),
        }
    }

    /// Opens a connection to a node of the list and sends the request on it.
    async fn send_on_new_connection(
        &mut self,
        request: Request<Full<bytes::Bytes>>,
    ) -> (SocketAddr, Result<(u16, Value), String>) {
        let node = self.entries[self.index % self.entries.len()];
        match Connection::open(node).await {
            Ok(connection) => (node, self.exchange(node, connection, request).await),
            Err(error) => (node, Err(format!("could not connect: {error}"))),
        }
    }

    async fn exchange(
        &mut self,
        node: SocketAddr,
        mut connection: Connection,
        request: Request<Full<bytes::Bytes>>,
    ) -> Result<(u16, Value), String> {
        let sent = tokio::time::timeout(REQUEST_TIMEOUT, connection.send(request)).await;
        let response =
            sent.map_err(|_| "timed out".to_owned())?.map_err(|error| error.to_string())?;
        let closes = response.headers().get("connection").is_some_and(|value| value == "close");
        if !closes {
            self.connection = Some((node, connection));
        }
        let answer = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        Ok((response.status().as_u16(), answer))
    }
}
