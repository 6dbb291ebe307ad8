//! An upstream server at the protocol of the users' platform. It stamps its
//! replies, reports its load and its id, and misbehaves as tests ask for.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

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

/// How a server handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Replies normally.
    #[default]
    Healthy,
    /// Replies after this delay.
    Slow(Duration),
    /// Refuses them with the header that says that they were not executed.
    Refuses,
    /// Runs them, then closes the connection without a reply.
    ResetsAfterRun,
    /// Replies with the id of another request.
    WrongRequestId,
    /// Replies with status 500 and a valid stamp.
    ServerError,
    /// Replies without the server stamp.
    MissingStamp,
    /// Runs them, then replies that it did not: a promise that it breaks.
    RunsAndRefuses,
    /// Replies normally, and says in all replies that it leaves.
    Leaves,
    /// Replies normally, and names this limit in all replies.
    NamesLimit(&'static str),
    /// Refuses requests with this value of `Retry-After`.
    TurnsAway(&'static str),
}

/// Requests that end the server that runs them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poison {
    /// Their paths or bodies contain this.
    pub mark: &'static str,
    /// The time from the start of the run to the end of the server.
    pub delay: Duration,
    /// Whether its connections stay open and silent.
    pub is_silent: bool,
}

/// A request that a server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request id.
    pub id: String,
    /// The method.
    pub method: String,
    /// The path and query string.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The value of the deadline header, in milliseconds; zero if it was absent.
    pub deadline_ms: u64,
    /// The customer that the request names; empty if it names none.
    pub customer: String,
    /// Whether the request contains a caller's key.
    pub has_credential: bool,
}

/// A request that was addressed to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request id.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
    /// Whether the server turned it away with a time to return.
    pub turned_away: bool,
    /// The limit that the server named in its reply.
    pub limit: Option<&'static str>,
    /// Whether the server refused it as not run.
    pub refused: bool,
    /// The customer that the request names; empty if it names none.
    pub customer: String,
    /// Whether the request contains a caller's key, in any header.
    pub has_credential: bool,
}

#[derive(Default)]
struct State {
    behavior: Behavior,
    runs: Vec<Run>,
    arrivals: Vec<Arrival>,
    poison: Option<Poison>,
    /// The text that all callers' keys contain.
    key_mark: Option<&'static str>,
    /// Until when it is cold.
    cold_until: Option<Instant>,
    /// When a request ended it.
    ended_at: Option<Instant>,
}

impl State {
    /// How much longer the server is cold; zero once it is warm again, `None` if it never was cold.
    fn warmup_left_ms(&self) -> Option<u64> {
        let end = self.cold_until?;
        Some(end.saturating_duration_since(Instant::now()).as_millis() as u64)
    }

    /// Whether a request with these headers contains a caller's key.
    fn finds_key(&self, headers: &HeaderMap) -> bool {
        let contains = |mark: &str, value: &HeaderValue| {
            value.as_bytes().windows(mark.len()).any(|part| part == mark.as_bytes())
        };
        headers.contains_key("heatherseam-credential")
            || self.key_mark.is_some_and(|mark| headers.values().any(|value| contains(mark, value)))
    }
}

/// A running server.
pub struct Instance {
    /// The instance id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The body of its replies: records of 16 bytes each.
    pub records: Vec<u8>,
    address: SocketAddr,
    zone: String,
    state: Arc<Mutex<State>>,
    stop: CancellationToken,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// What the request handler needs of a server.
struct Server {
    id: String,
    records: Vec<u8>,
    state: Arc<Mutex<State>>,
    close: CancellationToken,
    stop: CancellationToken,
}

impl Server {
    /// Ends the server while it runs a request.
    async fn end(&self, is_silent: bool) {
        self.state.lock().ended_at.get_or_insert_with(Instant::now);
        self.close.cancel();
        if is_silent {
            std::future::pending::<()>().await;
        }
        self.stop.cancel();
    }
}

impl Instance {
    /// Starts a server on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(id: &str, service: &str, records: &[u8]) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), id, service, records)
    }

    /// Starts a server on `address`.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start_at(
        address: SocketAddr,
        id: &str,
        service: &str,
        records: &[u8],
    ) -> io::Result<Self> {
        let listener = http::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let (close, stop) = (CancellationToken::new(), CancellationToken::new());
        let server = Arc::new(Server {
            id: id.to_owned(),
            records: records.to_vec(),
            state: Arc::clone(&state),
            close: close.clone(),
            stop: stop.clone(),
        });
        let answer = move |request| answer(Arc::clone(&server), request);
        tokio::spawn(http::serve_until(listener, close, stop.clone(), answer));
        let (id, service, records) = (id.to_owned(), service.to_owned(), records.to_vec());
        let zone = "hall".to_owned();
        Ok(Self { id, service, records, address, zone, state, stop })
    }

    /// Sets the data centre that its entry names.
    #[must_use]
    pub fn with_zone(mut self, zone: &str) -> Self {
        zone.clone_into(&mut self.zone);
        self
    }

    /// The data centre that its entry names.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The server's entry in the platform's store, in the given state.
    pub fn entry(&self, state: &str) -> Value {
        let warmup_left_ms = self.state.lock().warmup_left_ms().unwrap_or(0);
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 4, "state": state, "warmup_left_ms": warmup_left_ms,
            "sequence": 1, "born": 1700
        })
    }

    /// Makes it cold for `length`: its entry and its replies state the time that is left.
    pub fn set_cold(&self, length: Duration) {
        self.state.lock().cold_until = Some(Instant::now() + length);
    }

    /// Sets the text that all callers' keys contain, by which it finds them in any header.
    pub fn set_key_mark(&self, mark: &'static str) {
        self.state.lock().key_mark = Some(mark);
    }

    /// Ends it: closes all connections and accepts no more.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Changes how it handles requests, unless that was changed from `expected` meanwhile.
    pub fn replace_behavior(&self, expected: Behavior, behavior: Behavior) {
        let mut state = self.state.lock();
        if state.behavior == expected {
            state.behavior = behavior;
        }
    }

    /// Sets which requests end it.
    pub fn set_poison(&self, poison: Poison) {
        self.state.lock().poison = Some(poison);
    }

    /// When a request ended it, if one has.
    pub fn ended_at(&self) -> Option<Instant> {
        self.state.lock().ended_at
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it handles requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().behavior = behavior;
    }

    /// The requests that were addressed to it, in order, whether or not it ran them.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().arrivals.clone()
    }

    /// The requests that it ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn answer(server: Arc<Server>, request: Request<Incoming>) -> io::Result<Reply> {
    let headers = request.headers().clone();
    let id = header(&headers, "heatherseam-request-id");
    if header(&headers, "heatherseam-expect-instance") != server.id {
        let mut reply = http::text(StatusCode::MISDIRECTED_REQUEST, "");
        set_header(&mut reply, "heatherseam-instance-id", &server.id);
        return Ok(reply);
    }
    if server.close.is_cancelled() {
        std::future::pending::<()>().await;
    }
    let customer = header(&headers, "heatherseam-tenant");
    let (behavior, warmup_left_ms, has_credential) = {
        let mut state = server.state.lock();
        let turned_away = matches!(state.behavior, Behavior::TurnsAway(_));
        let limit = match state.behavior {
            Behavior::NamesLimit(limit) => Some(limit),
            _ => None,
        };
        let has_credential = state.finds_key(&headers);
        let refused = turned_away || state.behavior == Behavior::Refuses;
        state.arrivals.push(Arrival {
            id: id.clone(),
            at: Instant::now(),
            turned_away,
            limit,
            refused,
            customer: customer.clone(),
            has_credential,
        });
        (state.behavior, state.warmup_left_ms(), has_credential)
    };
    let retry_after = match behavior {
        Behavior::TurnsAway(value) => Some(value),
        _ => None,
    };
    if behavior == Behavior::Refuses || retry_after.is_some() {
        let mut reply = refusal(&id);
        if let Some(value) = retry_after {
            // Without a load, so that only the time tells the caller to stay away.
            reply.headers_mut().remove("heatherseam-server-load");
            set_header(&mut reply, "retry-after", value);
        }
        return Ok(reply);
    }
    let method = request.method().to_string();
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let deadline_ms = header(&headers, "heatherseam-deadline-ms").parse().unwrap_or(0);
    let body = http::read(request.into_body()).await?.to_vec();
    let poison = {
        let mut state = server.state.lock();
        let text = format!("{path} {}", String::from_utf8_lossy(&body));
        let id = id.clone();
        state.runs.push(Run { id, method, path, body, deadline_ms, customer, has_credential });
        state.poison.clone().filter(|poison| text.contains(poison.mark))
    };
    if let Some(poison) = poison {
        tokio::time::sleep(poison.delay).await;
        server.end(poison.is_silent).await;
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if let Behavior::Slow(time) = behavior {
        tokio::time::sleep(time).await;
    }
    if behavior == Behavior::RunsAndRefuses {
        return Ok(refusal(&id));
    }
    if behavior == Behavior::ResetsAfterRun {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let mut reply = http::text(StatusCode::OK, "");
    *reply.body_mut() = http::full(server.records.clone());
    if behavior == Behavior::ServerError {
        *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    if behavior != Behavior::MissingStamp {
        set_header(&mut reply, "heatherseam-server-stamp", &format!("{}.{id}", server.id));
    }
    if behavior == Behavior::Leaves {
        set_header(&mut reply, "server-leaving", "1");
    }
    if let Behavior::NamesLimit(value) = behavior {
        set_header(&mut reply, "server-limit", value);
    }
    if let Some(left) = warmup_left_ms {
        set_header(&mut reply, "heatherseam-warmup-ms", &left.to_string());
    }
    let echoed_id = if behavior == Behavior::WrongRequestId { "another" } else { &id };
    set_header(&mut reply, "heatherseam-request-id", echoed_id);
    set_header(&mut reply, "heatherseam-server-load", "1,0,4");
    Ok(reply)
}

/// A reply that says that the request was not executed.
fn refusal(id: &str) -> Reply {
    let mut reply = http::text(StatusCode::SERVICE_UNAVAILABLE, "");
    set_header(&mut reply, "heatherseam-request-id", id);
    set_header(&mut reply, "heatherseam-not-executed", "1");
    set_header(&mut reply, "heatherseam-server-load", "4,12,4");
    reply
}

fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

/// How often each request id was run, by all `instances` together.
pub fn run_counts<'a>(instances: impl Iterator<Item = &'a Instance>) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in instances.flat_map(Instance::runs) {
        *counts.entry(run.id).or_insert(0) += 1;
    }
    counts
}
