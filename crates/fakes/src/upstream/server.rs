//! One upstream server: admission of requests, service times and replies.
//!
//! Invariant: a request is either refused before it starts, with a reply that
//! says so, or counted as started.

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
use crate::upstream::service_time::ServiceTimes;
use base::hash;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream as names;
use wire::upstream::Health;
use wire::upstream::ShardCopy;
use wire::upstream::State;

/// The retry-after time of refusals, in milliseconds.
const RETRY_AFTER_MS: u32 = 20;
/// The number of reports older than the lag that are kept.
const MAX_OLD_REPORTS: usize = 1;

/// The state of a server that persists over connections and incarnations.
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

/// The mutable state of a server.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) stats: Stats,
    pub(super) faults: Faults,
    pub(super) holds: Vec<ShardCopy>,
    pub(super) draining: bool,
    incarnation_number: u64,
    started: Option<Instant>,
    service_times: ServiceTimes,
    reports: VecDeque<(Instant, State, u32)>,
    last_reply: Option<PreparedReply>,
}

/// The faults in force; a count drops by one each time its fault is applied.
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

/// A shard request, parsed from its headers.
#[derive(Clone, Debug)]
pub(super) struct ShardRequest {
    attempt: String,
    shard_copy: ShardCopy,
    deadline: Option<Duration>,
    non_idempotent: bool,
}

/// A reply before faults are applied to it.
#[derive(Clone, Debug)]
struct PreparedReply {
    request: ShardRequest,
    version: u64,
    body: Bytes,
}

/// Counts a request as load while it is queued or runs.
struct LoadGuard<'a> {
    server: &'a Server,
    finished: bool,
}

impl Drop for LoadGuard<'_> {
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
            incarnation_number: 0,
            started: service.starts_cold.then(Instant::now),
            service_times: ServiceTimes::new(seed),
            reports: VecDeque::new(),
            last_reply: None,
        };
        let slots = Semaphore::new(service.slots);
        Self { name, address, service, inner: Mutex::new(inner), seed, slots, runs }
    }

    /// Starts a new incarnation, cold and without faults.
    pub(super) fn start_incarnation(&self) {
        let mut inner = self.inner.lock();
        inner.incarnation_number += 1;
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
            shard_copies: inner.holds.clone(),
        };
        http::json(StatusCode::OK, &health)
    }

    /// Runs or refuses one shard request.
    pub(super) async fn run(&self, headers: &HeaderMap, body: Bytes) -> io::Result<Reply> {
        let received_at = Instant::now();
        let Some(request) = ShardRequest::new(headers) else {
            return Ok(self.refuse(None, StatusCode::BAD_REQUEST));
        };
        if let Some(status) = self.admit(&request) {
            let refusal = self.refuse(Some(&request), status);
            let delay = self.inner.lock().faults.next_delay();
            tokio::time::sleep(delay).await;
            return Ok(refusal);
        }
        let mut guard = LoadGuard { server: self, finished: false };
        let Ok(slot) = self.slots.acquire().await else {
            return Err(io::Error::other("no slots"));
        };
        let Some(service_time) = self.start_work(&request, &body, received_at) else {
            guard.finished = true;
            return Ok(self.refuse(Some(&request), StatusCode::SERVICE_UNAVAILABLE));
        };
        let remaining =
            request.deadline.map(|deadline| deadline.saturating_sub(received_at.elapsed()));
        tokio::time::sleep(remaining.map_or(service_time, |remaining| remaining.min(service_time)))
            .await;
        guard.finished = true;
        if remaining.is_some_and(|remaining| remaining < service_time) {
            self.inner.lock().stats.expired += 1;
            return Ok(self.reply(&request, StatusCode::GATEWAY_TIMEOUT, http::full("")));
        }
        drop(slot);
        drop(guard);
        self.finish(request, &body).await
    }

    /// Accepts a request and counts it as load, or returns the status of its refusal.
    fn admit(&self, request: &ShardRequest) -> Option<StatusCode> {
        let mut inner = self.inner.lock();
        inner.stats.sends += 1;
        inner.stats.last_send_ms = unix_ms();
        if inner.draining {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !inner.holds.contains(&request.shard_copy) {
            return Some(StatusCode::CONFLICT);
        }
        if decrement(&mut inner.faults.shed) {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        if inner.stats.load >= (self.service.slots + self.service.queue) as u64 {
            return Some(StatusCode::SERVICE_UNAVAILABLE);
        }
        inner.stats.load += 1;
        inner.stats.last_work_ms = unix_ms();
        None
    }

    /// Starts the work and returns its service time; `None` if the deadline has passed.
    fn start_work(
        &self,
        request: &ShardRequest,
        body: &Bytes,
        received_at: Instant,
    ) -> Option<Duration> {
        let mut inner = self.inner.lock();
        if request.deadline.is_some_and(|deadline| received_at.elapsed() >= deadline) {
            inner.stats.expired += 1;
            return None;
        }
        inner.stats.begun += 1;
        let cold_factor = if self.is_cold(&inner) { self.service.cold_factor } else { 1.0 };
        let factor = cold_factor * inner.faults.slow.unwrap_or(1.0);
        let service_time = inner.service_times.next(&self.service, factor);
        drop(inner);
        if request.non_idempotent {
            let request_body = String::from_utf8_lossy(body).into_owned();
            self.runs.lock().runs.entry(request_body).or_default().push(self.name.clone());
        }
        Some(service_time)
    }

    /// Replies to finished work, with the faults applied.
    async fn finish(&self, request: ShardRequest, body: &Bytes) -> io::Result<Reply> {
        let (prepared, delay, is_cut, is_lost) = {
            let mut inner = self.inner.lock();
            inner.stats.finished += 1;
            let newer = u64::from(decrement(&mut inner.faults.newer));
            let prepared = self.prepare_reply(request, body, newer);
            let previous = inner.last_reply.replace(prepared.clone());
            let swapped = previous.filter(|_| decrement(&mut inner.faults.swap));
            let delay = inner.faults.next_delay();
            let is_cut = decrement(&mut inner.faults.cut);
            (swapped.unwrap_or(prepared), delay, is_cut, decrement(&mut inner.faults.lose))
        };
        if is_lost {
            return Err(io::Error::other("the reply is lost by a fault"));
        }
        tokio::time::sleep(delay).await;
        let length = prepared.body.len();
        let body =
            if is_cut { cut_body(&prepared.body) } else { http::full(prepared.body.clone()) };
        let mut reply = self.reply(&prepared.request, StatusCode::OK, body);
        set_header(&mut reply, names::VERSION_HEADER, prepared.version);
        set_header(&mut reply, CONTENT_LENGTH.as_str(), length);
        Ok(reply)
    }

    fn prepare_reply(&self, request: ShardRequest, body: &Bytes, newer: u64) -> PreparedReply {
        let version = request.shard_copy.snapshot.version + newer;
        let shard = request.shard_copy.shard;
        let query = serde_json::from_slice(body).unwrap_or(serde_json::Value::Null);
        let body = serde_json::json!({
            "server": self.name,
            "shard": shard,
            "version": version,
            "hits": hits::of(&query, shard, version),
        });
        PreparedReply { request, version, body: Bytes::from(body.to_string()) }
    }

    fn refuse(&self, request: Option<&ShardRequest>, status: StatusCode) -> Reply {
        self.inner.lock().stats.refused += 1;
        let mut reply = match request {
            Some(request) => self.reply(request, status, http::full("")),
            None => http::text(status, "a header is missing or malformed"),
        };
        set_header(&mut reply, names::NOT_RUN_HEADER, 1);
        set_header(&mut reply, names::RETRY_AFTER_MS_HEADER, RETRY_AFTER_MS);
        reply
    }

    /// A reply whose headers identify the request and report the server's state.
    fn reply(&self, request: &ShardRequest, status: StatusCode, body: Body) -> Reply {
        let mut reply = Response::new(body);
        *reply.status_mut() = status;
        let mut inner = self.inner.lock();
        let (state, load) = self.report(&mut inner);
        set_header(&mut reply, names::INCARNATION_HEADER, self.incarnation(&inner));
        set_header(&mut reply, names::STATE_HEADER, state);
        set_header(&mut reply, names::LOAD_HEADER, load);
        set_header(&mut reply, names::ATTEMPT_HEADER, &request.attempt);
        set_header(&mut reply, names::MAP_HEADER, &request.shard_copy.snapshot.map);
        set_header(&mut reply, names::SHARD_HEADER, request.shard_copy.shard);
        set_header(&mut reply, names::VERSION_HEADER, request.shard_copy.snapshot.version);
        reply
    }

    /// The state and load to report; out of date or wrong if such a fault is set.
    fn report(&self, inner: &mut Inner) -> (State, u32) {
        let now = Instant::now();
        let state = match inner.draining {
            true => State::Draining,
            false if self.is_cold(inner) => State::Cold,
            false => State::Ready,
        };
        let true_load = u32::try_from(inner.stats.load).unwrap_or(u32::MAX);
        let load = inner.faults.misreport.unwrap_or(true_load);
        let lag = inner.faults.lag;
        if lag.is_zero() {
            inner.reports.clear();
        }
        inner.reports.push_back((now, state, load));
        let is_old = |report: &(Instant, State, u32)| now.duration_since(report.0) >= lag;
        let old_reports = inner.reports.iter().take_while(|report| is_old(report)).count();
        inner.reports.drain(..old_reports.saturating_sub(MAX_OLD_REPORTS));
        inner.reports.front().map_or((state, load), |(_, state, load)| (*state, *load))
    }

    fn is_cold(&self, inner: &Inner) -> bool {
        let cold_for = Duration::from_millis(self.service.cold_ms);
        inner.started.is_some_and(|started| started.elapsed() < cold_for)
    }

    fn incarnation(&self, inner: &Inner) -> Incarnation {
        Incarnation(hash::stable(self.seed, &[&inner.incarnation_number.to_string()]))
    }
}

impl Faults {
    fn next_delay(&mut self) -> Duration {
        match &mut self.late {
            None => Duration::ZERO,
            Some((delay, None)) => *delay,
            Some((delay, Some(replies))) => {
                if decrement(replies) {
                    *delay
                } else {
                    Duration::ZERO
                }
            }
        }
    }
}

impl ShardRequest {
    fn new(headers: &HeaderMap) -> Option<Self> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let map = Arc::from(text(names::MAP_HEADER)?);
        let snapshot = Snapshot { version: number(text(names::VERSION_HEADER)?)?, map };
        let shard_copy = ShardCopy { snapshot, shard: number(text(names::SHARD_HEADER)?)? };
        let deadline = match text(names::DEADLINE_US_HEADER) {
            Some(micros) => Some(Duration::from_micros(number(micros)?)),
            None => None,
        };
        let non_idempotent = text(names::NON_IDEMPOTENT_HEADER) == Some("1");
        let attempt = text(names::ATTEMPT_HEADER)?.to_owned();
        Some(Self { attempt, shard_copy, deadline, non_idempotent })
    }
}

fn number<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Decrements a count unless it is zero; returns whether it was above zero.
fn decrement(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn set_header(reply: &mut Reply, name: &'static str, value: impl ToString) {
    if let Ok(value) = value.to_string().parse() {
        reply.headers_mut().insert(name, value);
    }
}

/// Half of the body, then an error that closes the connection.
fn cut_body(body: &Bytes) -> Body {
    let start = Ok(Frame::data(body.slice(..body.len() / 2)));
    let cut = Err(io::Error::other("the body is cut by a fault"));
    // Yields so that the first half is sent before the connection closes.
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
