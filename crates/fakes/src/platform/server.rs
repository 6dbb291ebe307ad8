//! The HTTP server of the platform.
//!
//! Invariant: the store's lock is never held while a call waits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::header::IF_MATCH;
use hyper::header::IF_NONE_MATCH;
use parking_lot::Mutex;
use serde_json::Value;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::http;
use crate::http::Reply;
use crate::platform::Condition;
use crate::platform::Fault;
use crate::platform::Loss;
use crate::platform::Outage;
use crate::platform::Stats;
use crate::platform::Store;
use crate::platform::fault::WriteOutcome;
use wire::platform::MAX_VALUE_BYTES;
use wire::platform::OBJECTS_PATH;
use wire::platform::VMS_PATH;
use wire::platform::Vms;
use wire::platform::WATCH_PATH;

/// A running stand-in, which stops when this is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<State>,
    _stop: DropGuard,
}

/// The VM lists that were set, each with the time from which it is returned.
#[derive(Debug, Default)]
struct VmLists {
    lag: Duration,
    lists: Vec<(Instant, Vms)>,
}

#[derive(Debug)]
struct State {
    store: Mutex<Store>,
    fault: watch::Sender<Fault>,
    revision: watch::Sender<u64>,
    vms: Mutex<VmLists>,
    stats: Mutex<Stats>,
}

impl Platform {
    /// Starts on `address` as a task of the current runtime; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = http::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            store: Mutex::default(),
            fault: watch::Sender::default(),
            revision: watch::Sender::new(0),
            vms: Mutex::default(),
            stats: Mutex::default(),
        });
        let stop = CancellationToken::new();
        let handler_state = state.clone();
        let answer = move |request| answer_counted(handler_state.clone(), request);
        tokio::spawn(http::serve(listener, stop.clone(), answer));
        log::info!(target: "fakes", "platform listens on {address}");
        Ok(Self { address, state, _stop: stop.drop_guard() })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force, as `PUT /fault` does.
    pub fn inject_fault(&self, fault: Fault) {
        self.state.fault.send_replace(fault);
    }

    /// The counters, as `GET /stats` returns them.
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }
}

async fn answer_counted(state: Arc<State>, request: Request<Incoming>) -> io::Result<Reply> {
    let request_bytes = request.body().size_hint().exact().unwrap_or(0);
    let reply = answer(state.clone(), request).await?;
    let reply_bytes = reply.body().size_hint().exact().unwrap_or(0);
    state.stats.lock().bytes += request_bytes + reply_bytes;
    Ok(reply)
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> io::Result<Reply> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/stats") => return Ok(http::json(StatusCode::OK, &state.stats())),
        (&Method::GET, "/fault") => {
            let fault = state.fault.borrow().clone();
            return Ok(http::json(StatusCode::OK, &fault));
        }
        (&Method::PUT, "/fault") => return Ok(state.put_fault(request).await),
        (&Method::PUT, VMS_PATH) => return Ok(state.put_vms(request).await),
        _ => {}
    }
    state.stats.lock().calls += 1;
    if let Some(refusal) = state.apply_fault().await? {
        return Ok(refusal);
    }
    if let Some(rest) = path.strip_prefix(OBJECTS_PATH) {
        return state.objects(rest, request).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, WATCH_PATH) => {
            let since = http::number(request.uri(), "since");
            let wait = Duration::from_millis(http::number(request.uri(), "wait_ms"));
            Ok(state.watch(since, wait).await)
        }
        (&Method::GET, VMS_PATH) => {
            state.stats.lock().vms += 1;
            Ok(http::json(StatusCode::OK, &state.vms.lock().current()))
        }
        _ => Ok(http::text(StatusCode::NOT_FOUND, "no such path")),
    }
}

impl State {
    fn stats(&self) -> Stats {
        Stats { revision: self.store.lock().revision(), ..self.stats.lock().clone() }
    }

    async fn put_fault(&self, request: Request<Incoming>) -> Reply {
        match http::read_json::<Fault>(request.into_body()).await {
            Ok(fault) => {
                log::info!(target: "fakes", "platform fault {fault:?}");
                self.fault.send_replace(fault.clone());
                http::json(StatusCode::OK, &fault)
            }
            Err(response) => *response,
        }
    }

    async fn put_vms(&self, request: Request<Incoming>) -> Reply {
        let lag = http::parameter(request.uri(), "lag_ms").and_then(|text| text.parse().ok());
        match http::read_json::<Vms>(request.into_body()).await {
            Ok(vms) => {
                let mut vm_lists = self.vms.lock();
                vm_lists.lag = lag.map_or(vm_lists.lag, Duration::from_millis);
                let from = Instant::now() + vm_lists.lag;
                vm_lists.lists.push((from, vms));
                http::text(StatusCode::OK, "")
            }
            Err(response) => *response,
        }
    }

    /// Applies slowness and outages; returns the reply of a call that an outage refuses.
    async fn apply_fault(&self) -> io::Result<Option<Reply>> {
        let (outage, slow_ms) = {
            let fault = self.fault.borrow();
            (fault.outage, fault.slow_ms)
        };
        if outage.is_some() {
            self.stats.lock().outages += 1;
        }
        match outage {
            None => {}
            Some(Outage::Hang) => std::future::pending().await,
            Some(Outage::Close) => return Err(io::Error::other("outage")),
            Some(Outage::Refuse) => {
                return Ok(Some(http::text(StatusCode::SERVICE_UNAVAILABLE, "outage")));
            }
        }
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        Ok(None)
    }

    async fn objects(
        self: &Arc<Self>,
        rest: &str,
        request: Request<Incoming>,
    ) -> io::Result<Reply> {
        let mut parts = rest.trim_start_matches('/').splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        match (request.method().clone(), name) {
            (Method::GET, None) => Ok(self.list(&kind)),
            (Method::GET, Some(name)) => Ok(self.get(&kind, &name)),
            (Method::PUT | Method::DELETE, Some(name)) => self.write(kind, name, request).await,
            _ => Ok(http::text(StatusCode::METHOD_NOT_ALLOWED, "")),
        }
    }

    fn list(&self, kind: &str) -> Reply {
        self.stats.lock().lists += 1;
        let stale_by = self.fault.borrow().stale_by;
        http::json(StatusCode::OK, &self.store.lock().list(kind, stale_by))
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        self.stats.lock().gets += 1;
        let stale_by = self.fault.borrow().stale_by;
        match self.store.lock().get(kind, name, stale_by) {
            Some(item) => http::json(StatusCode::OK, &item),
            None => http::text(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    async fn write(
        self: &Arc<Self>,
        kind: String,
        name: String,
        request: Request<Incoming>,
    ) -> io::Result<Reply> {
        self.stats.lock().writes += 1;
        let delete = request.method() == Method::DELETE;
        let Some(condition) = parse_condition(request.headers()) else {
            return Ok(http::text(StatusCode::PRECONDITION_REQUIRED, "no usable precondition"));
        };
        let body = http::read(request.into_body()).await?;
        let value = match parse_value(delete, &body) {
            Ok(value) => value,
            Err(response) => return Ok(*response),
        };
        let mut outcome = WriteOutcome::Normal;
        self.fault.send_modify(|fault| outcome = fault.next_write());
        match outcome {
            WriteOutcome::Normal => Ok(self.apply(&kind, &name, condition, value)),
            WriteOutcome::Unanswered => {
                self.apply(&kind, &name, condition, value);
                self.lose_answer().await
            }
            WriteOutcome::Delayed(ms) => {
                let state = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    state.apply(&kind, &name, condition, value);
                });
                self.lose_answer().await
            }
        }
    }

    fn apply(&self, kind: &str, name: &str, condition: Condition, value: Option<Value>) -> Reply {
        let result = self.store.lock().write(kind, name, condition, value);
        match result {
            Ok(item) => {
                // Concurrent writes may get here in either order; the highest revision wins.
                self.revision.send_if_modified(|revision| {
                    let newer = item.revision > *revision;
                    *revision = item.revision.max(*revision);
                    newer
                });
                http::json(StatusCode::OK, &item)
            }
            Err(present) => {
                self.stats.lock().conflicts += 1;
                http::json(StatusCode::PRECONDITION_FAILED, &present)
            }
        }
    }

    async fn lose_answer(&self) -> io::Result<Reply> {
        let by = self.fault.borrow().lose_by;
        match by {
            Loss::Hang => std::future::pending().await,
            Loss::Close => Err(io::Error::other("the answer is lost by a fault")),
        }
    }

    async fn watch(&self, since: u64, wait: Duration) -> Reply {
        let _guard = PendingWatch::new(&self.stats);
        let mut revision = self.revision.subscribe();
        let event = revision.wait_for(|now| *now > since);
        // A timeout returns an empty batch, not an error.
        let _ = tokio::time::timeout(wait, event).await;
        let silent = self.fault.borrow().silent_watch;
        if silent {
            std::future::pending::<()>().await;
        }
        http::json(StatusCode::OK, &self.store.lock().after(since))
    }
}

impl VmLists {
    fn current(&self) -> Vms {
        let now = Instant::now();
        let current = self.lists.iter().rev().find(|(from, _)| *from <= now);
        current.map_or_else(|| Vms { vms: Vec::new() }, |(_, vms)| vms.clone())
    }
}

/// Counts a watch as pending until it ends, also if its caller disconnects.
struct PendingWatch<'a>(&'a Mutex<Stats>);

impl<'a> PendingWatch<'a> {
    fn new(stats: &'a Mutex<Stats>) -> Self {
        let mut counters = stats.lock();
        counters.watches += 1;
        counters.waiting += 1;
        Self(stats)
    }
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

fn parse_condition(headers: &HeaderMap) -> Option<Condition> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(Condition::Absent);
    }
    let text = headers.get(IF_MATCH)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Condition::Match)
}

fn parse_value(delete: bool, body: &Bytes) -> Result<Option<Value>, Box<Reply>> {
    if delete {
        return Ok(None);
    }
    if body.len() > MAX_VALUE_BYTES {
        return Err(Box::new(http::text(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large")));
    }
    serde_json::from_slice(body)
        .map(Some)
        .map_err(|error| Box::new(http::text(StatusCode::BAD_REQUEST, error.to_string())))
}
