//! A server that refuses requests, each one once unless told otherwise, and sends a second copy of that refusal late: where
//! the answer to a later request on the connection is due. The refusals may name no request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::http;

/// How long it runs a request.
const RUN_TIME: Duration = Duration::from_millis(50);

/// Where the second copy of a refusal arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Where the answer to the next request on the connection is due.
    NextRequest,
    /// Where the answer to the next attempt of the same request on the connection is due, after any
    /// number of others.
    NextAttempt,
}

/// The refusals of a server.
#[derive(Clone, Copy, Debug)]
pub struct Refusals {
    /// Whether they name their request.
    pub have_ids: bool,
    /// Where their second copies arrive.
    pub copied_to: Place,
}

/// Which requests a server refuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Refused {
    /// Each one once.
    #[default]
    Once,
    /// All of them.
    All,
    /// None of them.
    None,
}

#[derive(Default)]
struct State {
    refused_before: Mutex<HashSet<String>>,
    runs: Mutex<HashMap<String, usize>>,
    refused: Mutex<Refused>,
}

impl State {
    fn refuses(&self, id: &str) -> bool {
        let is_first = self.refused_before.lock().insert(id.to_owned());
        match *self.refused.lock() {
            Refused::Once => is_first,
            Refused::All => true,
            Refused::None => false,
        }
    }
}

/// A running server.
pub struct Server {
    id: String,
    service: String,
    address: SocketAddr,
    state: Arc<State>,
    accepting: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Server {
    /// Starts a server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(id: &str, service: &str, refusals: Refusals) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let (shared, own_id) = (Arc::clone(&state), id.to_owned());
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, own_id.clone(), refusals, Arc::clone(&shared)));
            }
        });
        let accepting = accepting.abort_handle();
        Ok(Self { id: id.to_owned(), service: service.to_owned(), address, state, accepting })
    }

    /// Its entry in the platform's store.
    pub fn entry(&self) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "hall",
            "version": "v1", "slots": 4, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1, "born": 1700
        })
    }

    /// The id under which it registers.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// How often it ran a request.
    pub fn runs(&self, id: &str) -> usize {
        self.state.runs.lock().get(id).copied().unwrap_or(0)
    }

    /// Changes which requests it refuses.
    pub fn refuse(&self, refused: Refused) {
        *self.state.refused.lock() = refused;
    }
}

async fn serve(
    mut stream: TcpStream,
    server: String,
    refusals: Refusals,
    state: Arc<State>,
) -> io::Result<()> {
    // The second copies that are due, by the request that they copy.
    let mut copies: Vec<(String, String)> = Vec::new();
    loop {
        let Some(id) = read_request(&mut stream).await? else { return Ok(()) };
        let is_due = |(copied, _): &mut (String, String)| match refusals.copied_to {
            Place::NextRequest => true,
            Place::NextAttempt => *copied == id,
        };
        for (_, copy) in copies.extract_if(.., is_due) {
            stream.write_all(copy.as_bytes()).await?;
        }
        let head = format!("heatherseam-request-id: {id}\r\ncontent-length: 0\r\n");
        let answer = if state.refuses(&id) {
            let head = if refusals.have_ids { &head } else { "content-length: 0\r\n" };
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{head}heatherseam-not-executed: 1\r\n\r\n"
            );
            copies.push((id, answer.clone()));
            answer
        } else {
            *state.runs.lock().entry(id.clone()).or_insert(0) += 1;
            tokio::time::sleep(RUN_TIME).await;
            format!("HTTP/1.1 200 OK\r\n{head}heatherseam-server-stamp: {server}.{id}\r\n\r\n")
        };
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Reads a request without a body; returns its id, or `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let Some(head) = http::read_head(stream).await? else { return Ok(None) };
    let id = head.lines().find_map(|line| line.strip_prefix("heatherseam-request-id: "));
    Ok(Some(id.unwrap_or_default().to_owned()))
}
