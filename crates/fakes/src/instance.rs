//! A server of the users' platform: proves its replies, tells its load, names
//! itself, and misbehaves as asked.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::HeaderValue;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::Reply;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// It answers.
    #[default]
    Healthy,
    /// It answers after this time.
    Slow(Duration),
    /// It certifies that it does not run them.
    Refuses,
    /// It runs them and closes the connection.
    ResetsAfterRun,
    /// It answers with the id of another request.
    WrongRequestId,
    /// It answers with a proved failure.
    ServerError,
    /// It answers without a proof.
    WrongStamp,
}

/// A request that a server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The caller's id of it.
    pub id: String,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The milliseconds that the server was told to keep to.
    pub deadline_ms: u64,
}

#[derive(Default)]
struct State {
    behavior: Behavior,
    runs: Vec<Run>,
}

/// A running server.
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The records that it answers, 16 bytes each.
    pub records: Vec<u8>,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: CancellationToken,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// What one server answers with.
struct Host {
    id: String,
    records: Vec<u8>,
    state: Arc<Mutex<State>>,
}

impl Instance {
    /// Starts a server on a free port of the loopback.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(id: &str, service: &str, records: &[u8]) -> io::Result<Self> {
        let listener = http::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let host = Host { id: id.to_owned(), records: records.to_vec(), state: Arc::clone(&state) };
        let host = Arc::new(host);
        let stop = CancellationToken::new();
        let answer = move |request| answer(Arc::clone(&host), request);
        tokio::spawn(http::serve(listener, stop.clone(), answer));
        let (id, service, records) = (id.to_owned(), service.to_owned(), records.to_vec());
        Ok(Self { id, service, records, address, state, stop })
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "hall",
            "version": "v1", "slots": 4, "state": state, "warmup_left_ms": 0,
            "sequence": 1, "born": 1700
        })
    }

    /// Changes how it treats requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().behavior = behavior;
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn answer(host: Arc<Host>, request: Request<Incoming>) -> io::Result<Reply> {
    let headers = request.headers().clone();
    let id = text(&headers, "heatherseam-request-id");
    if text(&headers, "heatherseam-expect-instance") != host.id {
        let mut reply = http::text(StatusCode::MISDIRECTED_REQUEST, "");
        set(&mut reply, "heatherseam-instance-id", &host.id);
        return Ok(reply);
    }
    let behavior = host.state.lock().behavior;
    if behavior == Behavior::Refuses {
        let mut reply = http::text(StatusCode::SERVICE_UNAVAILABLE, "");
        set(&mut reply, "heatherseam-request-id", &id);
        set(&mut reply, "heatherseam-not-executed", "1");
        set(&mut reply, "heatherseam-server-load", "4,12,4");
        return Ok(reply);
    }
    let method = request.method().to_string();
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let deadline_ms = text(&headers, "heatherseam-deadline-ms").parse().unwrap_or(0);
    let body = http::read(request.into_body()).await?.to_vec();
    host.state.lock().runs.push(Run { id: id.clone(), method, path, body, deadline_ms });
    if let Behavior::Slow(time) = behavior {
        tokio::time::sleep(time).await;
    }
    if behavior == Behavior::ResetsAfterRun {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let mut reply = http::text(StatusCode::OK, "");
    *reply.body_mut() = http::full(host.records.clone());
    if behavior == Behavior::ServerError {
        *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    if behavior != Behavior::WrongStamp {
        set(&mut reply, "heatherseam-server-stamp", &format!("{}.{id}", host.id));
    }
    let echo = if behavior == Behavior::WrongRequestId { "another" } else { &id };
    set(&mut reply, "heatherseam-request-id", echo);
    set(&mut reply, "heatherseam-server-load", "1,0,4");
    Ok(reply)
}

fn set(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

/// How often each id was run by any of `shards`.
pub fn run_counts<'a>(shards: impl Iterator<Item = &'a Instance>) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in shards.flat_map(Instance::runs) {
        *counts.entry(run.id).or_insert(0) += 1;
    }
    counts
}
