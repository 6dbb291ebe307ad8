//! One server: which requests it takes, how long they take, what it replies.
//!
//! Invariant: a request is either refused before it began, with a reply that
//! says so, or counted as begun.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderMap;
use parking_lot::Mutex;
use tokio::sync::Semaphore;

use crate::hits;
use crate::http;
use crate::http::Body;
use crate::http::Reply;
use crate::upstream::Runs;
use crate::upstream::Service;
use crate::upstream::Stats;
use crate::upstream::work::Work;
use base::hash;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream as names;
use wire::upstream::Health;
use wire::upstream::ShardCopy;
use wire::upstream::State;

/// What a refused request is told to wait, in milliseconds.
const RETRY_AFTER_MS: u32 = 20;
/// Reports older than the lag that are kept: one.
const SPARE_REPORTS: usize = 1;

/// The part of a server that outlives its connections.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
    pub(super) service: Arc<Service>,
    pub(super) inner: Mutex<Inner>,
    seed: u64,
    slots: Semaphore,
    runs: Arc<Mutex<Runs>>,
}

/// What changes.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) stats: Stats,
    pub(super) faults: Faults,
    pub(super) holds: Vec<ShardCopy>,
    pub(super) draining: bool,
    life: u64,
    started: Option<Instant>,
    work: Work,
    reports: VecDeque<(Instant, State, u32)>,
    last_reply: Option<Sealed>,
}

/// The faults that are set; counts go down as they are met.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub(super) late: Option<(Duration, Option<u32>)>,
    pub(super) swap: u32,
    pub(super) cut: u32,
    pub(super) newer: u32,
    pub(super) shed: u32,
    pub(super) lose: u32,
    pub(super) slow: Option<f64>,
    pub(super) misreport: Option<u32>,
    pub(super) lag: Duration,
}

/// A shard request as its headers tell it.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    attempt: String,
    holding: ShardCopy,
    deadline: Option<Duration>,
    non_idempotent: bool,
}

/// A reply before faults meet it.
#[derive(Clone, Debug)]
struct Sealed {
    ask: Ask,
    version: u64,
    body: Bytes,
}

/// Counts a request as load while it waits or runs.
struct Load<'a> {
    server: &'a Server,
    finished: bool,
}

impl Drop for Load<'_> {
    fn drop(&mut self) {
        let mut inner = self.server.inner.lock();
        inner.stats.load -= 1;
        inner.stats.cancels += u64::from(!self.finished);
    }
}

impl Server {
    pub(super) fn new(
        name: Arc<str>,
        address: SocketAddr,
        service: Arc<Service>,
        shard: u32,
        fleet_seed: u64,
        runs: Arc<Mutex<Runs>>,
    ) -> Self {
        let seed = hash::stable(fleet_seed, &[&name]);
        let snapshot = Snapshot { version: service.version, map: service.map.clone() };
        let inner = Inner {
            stats: Stats::default(),
            faults: Faults::default(),
            holds: vec![ShardCopy { snapshot, shard }],
            draining: false,
            life: 0,
            started: service.starts_cold.then(Instant::now),
            work: Work::new(seed),
            reports: VecDeque::new(),
            last_reply: None,
        };
        let slots = Semaphore::new(service.slots);
        Self { name, address, service, inner: Mutex::new(inner), seed, slots, runs }
    }

    /// Begins a new incarnation, cold and without faults.
    pub(super) fn renew(&self) {
        let mut inner = self.inner.lock();
        inner.life += 1;
        inner.started = Some(Instant::now());
        inner.draining = false;
        inner.faults = Faults::default();
        inner.reports.clear();
        inner.last_reply = None;
    }

    pub(super) fn health(&self) -> Reply {
        let mut inner = self.inner.lock();
        let (state, load) = self.report(&mut inner);
        let health = Health {
            server: self.name.clone(),
            incarnation: self.incarnation(&inner),
            state,
            load,
            holds: inner.holds.clone(),
        };
        http::json(StatusCode::OK, &health)
    }

    /// Runs or refuses one shard request.
    pub(super) async fn run(&self, headers: &HeaderMap, body: Bytes) -> io::Result<Reply> {
        let came = Instant::now();
        let Some(ask) = Ask::new(headers) else {
            return Ok(self.refuse(None, StatusCode::BAD_REQUEST));
        };
        if let Some(status) = self.objection(&ask) {
            return Ok(self.refuse(Some(&ask), status));
        }
        let mut load = Load { server: self, finished: false };
        let Ok(slot) = self.slots.acquire().await else {
            return Err(io::Error::other("no slots"));
        };
        let Some(span) = self.begin(&ask, &body, came) else {
            load.finished = true;
            return Ok(self.refuse(Some(&ask), StatusCode::SERVICE_UNAVAILABLE));
        };
        let left = ask.deadline.map(|deadline| deadline.saturating_sub(came.elapsed()));
        tokio::time::sleep(left.map_or(span, |left| left.min(span))).await;
        load.finished = true;
        if left.is_some_and(|left| left < span) {
            self.inner.lock().stats.expired += 1;
            return Ok(self.reply(&ask, StatusCode::GATEWAY_TIMEOUT, http::full("")));
        }
        drop(slot);
        drop(load);
        self.finish(ask, &body).await
    }

    /// Why a request can't be taken, if so; otherwise it counts as load.
    fn objection(&self, ask: &Ask) -> Option<StatusCode> {
        let mut inner = self.inner.lock();
        inner.stats.sends += 1;
        inner.stats.last_send_ms = unix_ms();
        if inner.draining {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !inner.holds.contains(&ask.holding) {
            return Some(StatusCode::CONFLICT);
        }
        if take(&mut inner.faults.shed) {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        if inner.stats.load >= (self.service.slots + self.service.queue) as u64 {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        inner.stats.load += 1;
        inner.stats.last_work_ms = unix_ms();
        None
    }

    /// Begins the work and tells how long it takes; `None` if it is too late.
    fn begin(&self, ask: &Ask, body: &Bytes, came: Instant) -> Option<Duration> {
        let mut inner = self.inner.lock();
        if ask.deadline.is_some_and(|deadline| came.elapsed() >= deadline) {
            inner.stats.expired += 1;
            return None;
        }
        inner.stats.begun += 1;
        let cold = if self.cold(&inner) { self.service.cold_factor } else { 1.0 };
        let factor = cold * inner.faults.slow.unwrap_or(1.0);
        let span = inner.work.next(&self.service, factor);
        drop(inner);
        if ask.non_idempotent {
            let request = String::from_utf8_lossy(body).into_owned();
            self.runs.lock().runs.entry(request).or_default().push(self.name.clone());
        }
        Some(span)
    }

    /// Replies to finished work, as the faults allow.
    async fn finish(&self, ask: Ask, body: &Bytes) -> io::Result<Reply> {
        let (sealed, late, cut, lost) = {
            let mut inner = self.inner.lock();
            inner.stats.finished += 1;
            let newer = u64::from(take(&mut inner.faults.newer));
            let sealed = self.seal(ask, body, newer);
            let before = inner.last_reply.replace(sealed.clone());
            let swapped = before.filter(|_| take(&mut inner.faults.swap));
            let late = inner.faults.next_late();
            let cut = take(&mut inner.faults.cut);
            (swapped.unwrap_or(sealed), late, cut, take(&mut inner.faults.lose))
        };
        if lost {
            return Err(io::Error::other("the reply is lost"));
        }
        tokio::time::sleep(late).await;
        let length = sealed.body.len();
        let body = if cut { half(&sealed.body) } else { http::full(sealed.body.clone()) };
        let mut reply = self.reply(&sealed.ask, StatusCode::OK, body);
        put(&mut reply, names::VERSION_HEADER, sealed.version);
        put(&mut reply, CONTENT_LENGTH.as_str(), length);
        Ok(reply)
    }

    fn seal(&self, ask: Ask, body: &Bytes, newer: u64) -> Sealed {
        let version = ask.holding.snapshot.version + newer;
        let shard = ask.holding.shard;
        let query = serde_json::from_slice(body).unwrap_or(serde_json::Value::Null);
        let found = serde_json::json!({
            "server": self.name,
            "shard": shard,
            "version": version,
            "hits": hits::of(&query, shard, version),
        });
        Sealed { ask, version, body: Bytes::from(found.to_string()) }
    }

    fn refuse(&self, ask: Option<&Ask>, status: StatusCode) -> Reply {
        self.inner.lock().stats.refused += 1;
        let mut reply = match ask {
            Some(ask) => self.reply(ask, status, http::full("")),
            None => http::text(status, "a header is missing or malformed"),
        };
        put(&mut reply, names::NOT_RUN_HEADER, 1);
        put(&mut reply, names::RETRY_AFTER_MS_HEADER, RETRY_AFTER_MS);
        reply
    }

    /// A reply with the headers that echo the request and report on the server.
    fn reply(&self, ask: &Ask, status: StatusCode, body: Body) -> Reply {
        let mut reply = Response::new(body);
        *reply.status_mut() = status;
        let mut inner = self.inner.lock();
        let (state, load) = self.report(&mut inner);
        put(&mut reply, names::INCARNATION_HEADER, self.incarnation(&inner));
        put(&mut reply, names::STATE_HEADER, state);
        put(&mut reply, names::LOAD_HEADER, load);
        put(&mut reply, names::ATTEMPT_HEADER, &ask.attempt);
        put(&mut reply, names::MAP_HEADER, &ask.holding.snapshot.map);
        put(&mut reply, names::SHARD_HEADER, ask.holding.shard);
        put(&mut reply, names::VERSION_HEADER, ask.holding.snapshot.version);
        reply
    }

    /// What it says of itself, which lags or misleads if a fault says so.
    fn report(&self, inner: &mut Inner) -> (State, u32) {
        let now = Instant::now();
        let state = match inner.draining {
            true => State::Draining,
            false if self.cold(inner) => State::Cold,
            false => State::Ready,
        };
        let true_load = u32::try_from(inner.stats.load).unwrap_or(u32::MAX);
        let load = inner.faults.misreport.unwrap_or(true_load);
        let lag = inner.faults.lag;
        if lag.is_zero() {
            inner.reports.clear();
        }
        inner.reports.push_back((now, state, load));
        let old = |report: &(Instant, State, u32)| now.duration_since(report.0) >= lag;
        let passed = inner.reports.iter().take_while(|report| old(report)).count();
        inner.reports.drain(..passed.saturating_sub(SPARE_REPORTS));
        inner.reports.front().map_or((state, load), |(_, state, load)| (*state, *load))
    }

    fn cold(&self, inner: &Inner) -> bool {
        let span = Duration::from_millis(self.service.cold_ms);
        inner.started.is_some_and(|started| started.elapsed() < span)
    }

    fn incarnation(&self, inner: &Inner) -> Incarnation {
        Incarnation(hash::stable(self.seed, &[&inner.life.to_string()]))
    }
}

impl Faults {
    fn next_late(&mut self) -> Duration {
        match &mut self.late {
            None => Duration::ZERO,
            Some((span, None)) => *span,
            Some((span, Some(replies))) => {
                if take(replies) {
                    *span
                } else {
                    Duration::ZERO
                }
            }
        }
    }
}

impl Ask {
    fn new(headers: &HeaderMap) -> Option<Self> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let map = Arc::from(text(names::MAP_HEADER)?);
        let snapshot = Snapshot { version: number(text(names::VERSION_HEADER)?)?, map };
        let holding = ShardCopy { snapshot, shard: number(text(names::SHARD_HEADER)?)? };
        let deadline = match text(names::DEADLINE_US_HEADER) {
            Some(micros) => Some(Duration::from_micros(number(micros)?)),
            None => None,
        };
        let non_idempotent = text(names::NON_IDEMPOTENT_HEADER) == Some("1");
        let attempt = text(names::ATTEMPT_HEADER)?.to_owned();
        Some(Self { attempt, holding, deadline, non_idempotent })
    }
}

fn number<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Counts one off; whether there was one.
fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn put(reply: &mut Reply, name: &'static str, value: impl ToString) {
    if let Ok(value) = value.to_string().parse() {
        reply.headers_mut().insert(name, value);
    }
}

/// Half of the body, then an error that closes the connection.
fn half(body: &Bytes) -> Body {
    let start = Ok(Frame::data(body.slice(..body.len() / 2)));
    let cut = Err(io::Error::other("the body is cut"));
    // The pause lets the first half leave before the connection ends.
    let frames = futures::stream::iter([start]).chain(futures::stream::once(async {
        tokio::task::yield_now().await;
        cut
    }));
    BodyExt::boxed(StreamBody::new(frames))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
