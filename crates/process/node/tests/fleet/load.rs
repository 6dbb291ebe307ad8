//! Callers that send without a pause and follow the lookups.
//!
//! Invariant: a caller keeps a lookup no longer than it was told, and keeps its
//! connection as long as the node of it is named and doesn't close it.

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

/// How long one request may take before it counts as hanging.
const LIMIT: Duration = Duration::from_secs(30);

/// What became of the requests of all callers.
#[derive(Debug, Default)]
pub struct Tally {
    /// Answered with all that was asked.
    pub whole: u64,
    /// Answered otherwise, with what was told.
    pub others: Vec<String>,
    /// Not answered, with what was seen.
    pub cut: Vec<String>,
}

/// Callers that run until they are ended.
pub struct Load {
    tally: Arc<Mutex<Tally>>,
    stop: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `count` callers that know the nodes of `first`.
    pub fn start(count: usize, first: &[SocketAddr]) -> Self {
        let tally = Arc::new(Mutex::new(Tally::default()));
        let stop = CancellationToken::new();
        let callers = (0..count).map(|number| {
            let caller = Caller {
                number,
                entries: first.to_vec(),
                until: Instant::now(),
                open: None,
                tally: Arc::clone(&tally),
            };
            tokio::spawn(caller.run(stop.clone()))
        });
        let callers = callers.collect();
        Self { tally, stop, callers }
    }

    /// The answers so far.
    pub fn whole(&self) -> u64 {
        self.tally.lock().whole
    }

    /// Ends the callers after their present requests.
    pub async fn end(self) -> Tally {
        self.stop.cancel();
        for caller in self.callers {
            caller.await.expect("a caller ends well");
        }
        std::mem::take(&mut *self.tally.lock())
    }
}

struct Caller {
    number: usize,
    entries: Vec<SocketAddr>,
    until: Instant,
    open: Option<(SocketAddr, Connection)>,
    tally: Arc<Mutex<Tally>>,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) {
        let mut sent = 0;
        while !stop.is_cancelled() {
            if Instant::now() >= self.until {
                self.look().await;
            }
            self.send(&format!("{}-{sent}", self.number)).await;
            sent += 1;
        }
    }

    /// Asks one of the known nodes which to use.
    async fn look(&mut self) {
        for node in self.entries.clone() {
            let asked = Instant::now();
            let answer = calls::call(node, "GET", "/v1/entries", &[], None).await;
            let Ok((200, answer)) = answer else { continue };
            let entries = answer["entries"].as_array().cloned().unwrap_or_default();
            let read = |entry: &Value| entry["address"].as_str().and_then(|a| a.parse().ok());
            let entries: Vec<SocketAddr> = entries.iter().filter_map(read).collect();
            if entries.is_empty() {
                continue;
            }
            let keep = Duration::from_millis(answer["keep_ms"].as_u64().unwrap_or(0));
            (self.entries, self.until) = (entries, asked + keep);
            self.open = self.open.take().filter(|(node, _)| self.entries.contains(node));
            return;
        }
        self.tally.lock().cut.push(format!("no lookup from {:?}", self.entries));
    }

    async fn send(&mut self, text: &str) {
        let request = || calls::request("POST", "/v1/query", &[], Some(calls::search(text)));
        let (node, seen) = match self.open.take() {
            Some((node, connection)) => (node, self.exchange(node, connection, request()).await),
            None => self.first(request()).await,
        };
        let mut tally = self.tally.lock();
        match seen {
            Ok((200, answer)) if answer["covered"].as_array().is_some_and(|c| c.len() == 2) => {
                tally.whole += 1;
            }
            Ok((status, answer)) => tally.others.push(format!("{node}: {status} {answer}")),
            Err(error) => tally.cut.push(format!("{node}: {error}")),
        }
    }

    /// Sends on a new connection to a named node.
    async fn first(
        &mut self,
        request: Request<Full<bytes::Bytes>>,
    ) -> (SocketAddr, Result<(u16, Value), String>) {
        let node = self.entries[self.number % self.entries.len()];
        match Connection::open(node).await {
            Ok(connection) => (node, self.exchange(node, connection, request).await),
            Err(error) => (node, Err(format!("not accepted: {error}"))),
        }
    }

    async fn exchange(
        &mut self,
        node: SocketAddr,
        mut connection: Connection,
        request: Request<Full<bytes::Bytes>>,
    ) -> Result<(u16, Value), String> {
        let sent = tokio::time::timeout(LIMIT, connection.send(request)).await;
        let response = sent.map_err(|_| "hangs".to_owned())?.map_err(|error| error.to_string())?;
        let closes = response.headers().get("connection").is_some_and(|value| value == "close");
        if !closes {
            self.open = Some((node, connection));
        }
        let answer = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        Ok((response.status().as_u16(), answer))
    }
}
