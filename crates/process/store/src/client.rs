//! The platform's object API over HTTP/1.1.
//!
//! Invariants: every call has a timeout; a connection is closed, and never reused,
//! unless its call was answered in full; a request counts as sent unless the HTTP
//! library returns it as unsent.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::api::Changes;
use crate::api::Envelope;
use crate::api::Error;
use crate::api::Listing;
use crate::api::Pending;
use crate::api::Precondition;
use crate::api::Store;
use crate::api::Versioned;
use crate::budget::TokenBucket;
use base::time::Time;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Spec;
use wire::platform::Batch;
use wire::platform::List;
use wire::platform::OBJECTS_PATH;
use wire::platform::Object;
use wire::platform::VMS_PATH;
use wire::platform::Vms;
use wire::platform::WATCH_PATH;

const MAX_ANSWER_BYTES: usize = 64 << 20;
const MAX_IDLE_CONNECTIONS: usize = 4;

/// The limits of calls to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The timeout of a call; a watch may take its wait in addition.
    pub timeout: Duration,
    /// The maximum sustained rate of calls.
    pub calls_per_second: f64,
    /// The maximum number of calls in a burst above that rate.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { timeout: Duration::from_millis(1000), calls_per_second: 10.0, burst: 20.0 }
    }
}

/// Counts of calls since the client was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Calls sent.
    pub calls: u64,
    /// Calls without a usable answer.
    pub lost: u64,
    /// Calls that were not sent because the rate limit held them until their timeout.
    pub over_budget: u64,
}

type Sender = SendRequest<Full<Bytes>>;

/// A client of the platform with a pool of idle connections.
pub struct Client {
    addresses: Vec<SocketAddr>,
    settings: Settings,
    start: Instant,
    bucket: Mutex<TokenBucket>,
    idle: Mutex<Vec<Sender>>,
    next_address: AtomicUsize,
    calls: AtomicU64,
    lost: AtomicU64,
    over_budget: AtomicU64,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// A client that connects to the first of `addresses`, and moves on to the next
    /// one whenever connecting fails.
    pub fn new(addresses: Vec<SocketAddr>, settings: Settings) -> Self {
        let bucket = TokenBucket::new(settings.calls_per_second, settings.burst);
        Self {
            addresses,
            settings,
            start: Instant::now(),
            bucket: Mutex::new(bucket),
            idle: Mutex::new(Vec::new()),
            next_address: AtomicUsize::new(0),
            calls: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            over_budget: AtomicU64::new(0),
        }
    }

    /// The counts of calls so far.
    pub fn counters(&self) -> Counters {
        Counters {
            calls: self.calls.load(Ordering::Relaxed),
            lost: self.lost.load(Ordering::Relaxed),
            over_budget: self.over_budget.load(Ordering::Relaxed),
        }
    }

    /// Waits until the rate limit allows a call, at most until `deadline`.
    async fn acquire_call(&self, deadline: Instant) -> Result<(), Error> {
        loop {
            let taken = self.bucket.lock().try_take(Time::ZERO + self.start.elapsed());
            let Err(next) = taken else {
                return Ok(());
            };
            let next = self.start + next.since(Time::ZERO);
            if next >= deadline {
                self.over_budget.fetch_add(1, Ordering::Relaxed);
                return Err(Error::RateLimited);
            }
            tokio::time::sleep_until(next).await;
        }
    }

    async fn connect(&self) -> Result<Sender, Error> {
        let not_sent = |error: &dyn std::fmt::Display| Error::NotSent(error.to_string());
        let next_address = self.next_address.load(Ordering::Relaxed);
        let address = self.addresses.get(next_address % self.addresses.len().max(1));
        let address = address.ok_or_else(|| not_sent(&"the platform has no address"))?;
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| {
            self.next_address.fetch_add(1, Ordering::Relaxed);
            not_sent(&error)
        })?;
        stream.set_nodelay(true).map_err(|error| not_sent(&error))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(&error))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "store", "connection closed: {error}");
            }
        });
        Ok(sender)
    }

    /// Sends one request; tries again on another connection if an idle one turns out
    /// to be closed.
    async fn exchange(&self, mut request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        loop {
            let idle = self.idle.lock().pop();
            let reused = idle.is_some();
            let mut sender = match idle {
                Some(sender) => sender,
                None => self.connect().await?,
            };
            if sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return Err(Error::NotSent("the connection closed".to_owned()));
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let status = response.status();
                    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
                    let body = body.map_err(|error| Error::NoAnswer(error.to_string()))?.to_bytes();
                    self.put_idle(sender);
                    return Ok(Answer { status, body });
                }
                Err(mut error) => match error.take_message() {
                    Some(returned) if reused => request = returned,
                    Some(_) => return Err(Error::NotSent(error.into_error().to_string())),
                    None => return Err(Error::NoAnswer(error.into_error().to_string())),
                },
            }
        }
    }

    fn put_idle(&self, sender: Sender) {
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }

    /// Makes one call within the timeout plus `extra_time`.
    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        extra_time: Duration,
    ) -> Result<Answer, Error> {
        let deadline = Instant::now() + self.settings.timeout + extra_time;
        self.acquire_call(deadline).await?;
        let answered = tokio::time::timeout_at(deadline, self.exchange(request)).await;
        // The timeout may expire after the request was sent. Dropping the exchange
        // closes its connection.
        let answer = answered.unwrap_or_else(|_| Err(Error::NoAnswer("timed out".to_owned())));
        if answer.is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
            self.idle.lock().clear();
        }
        answer
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        extra_time: Duration,
    ) -> Result<Option<T>, Error> {
        let answer = self.call(request(Method::GET, path, None, Bytes::new())?, extra_time).await?;
        match answer.status {
            StatusCode::OK => parse(&answer.body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }
}

fn request(
    method: Method,
    path: &str,
    expected: Option<Precondition>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Error> {
    let mut builder = Request::builder().method(method).uri(path).header(header::HOST, "platform");
    builder = match expected {
        Some(Precondition::Absent) => builder.header(header::IF_NONE_MATCH, "*"),
        Some(Precondition::Revision(revision)) => builder.header(header::IF_MATCH, revision),
        None => builder,
    };
    builder.body(Full::new(body)).map_err(|error| Error::NotSent(error.to_string()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}

/// Maps an HTTP error status to an error. A server error counts as no answer, since
/// the component that returns it may be unaware that another one executed the call.
fn status_error(status: StatusCode) -> Error {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::Throttled,
        status if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT => {
            Error::Rejected(status.as_u16())
        }
        status => Error::NoAnswer(format!("status {status}")),
    }
}

/// Parses objects. One that can't be parsed is logged and skipped, so that it doesn't
/// block the others.
fn parse_objects(items: &[Object]) -> Vec<Versioned> {
    let mut parsed = Vec::with_capacity(items.len());
    for object in items {
        match Versioned::parse(object) {
            Ok(stored) => parsed.push(stored),
            Err(error) => {
                log::warn!(target: "store", "skipped an object that can't be parsed: {error}")
            }
        }
    }
    parsed
}

fn boxed<'a, T>(future: impl Future<Output = Result<T, Error>> + Send + 'a) -> Pending<'a, T> {
    Box::pin(future)
}

impl Store for Client {
    fn get<'a>(&'a self, key: &'a Key) -> Pending<'a, Option<Versioned>> {
        boxed(async move {
            let path = format!("{OBJECTS_PATH}/{}/{}", key.kind, key.name);
            let object: Option<Object> = self.get_json(&path, Duration::ZERO).await?;
            object.map(|object| Versioned::parse(&object)).transpose()
        })
    }

    fn list(&self, kind: Kind) -> Pending<'_, Listing> {
        boxed(async move {
            let list: Option<List> =
                self.get_json(&format!("{OBJECTS_PATH}/{kind}"), Duration::ZERO).await?;
            let list = list.ok_or(Error::Rejected(StatusCode::NOT_FOUND.as_u16()))?;
            Ok(Listing { revision: list.revision, objects: parse_objects(&list.items) })
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a Key,
        expected: Precondition,
        spec: Option<&'a Spec>,
        operation: &'a Arc<str>,
    ) -> Pending<'a, Versioned> {
        boxed(async move {
            let envelope = Envelope {
                operation: operation.clone(),
                after: Some(expected.revision()),
                spec: spec.cloned(),
            };
            let body =
                serde_json::to_vec(&envelope).map_err(|error| Error::NotSent(error.to_string()))?;
            let path = format!("{OBJECTS_PATH}/{}/{}", key.kind, key.name);
            let request = request(Method::PUT, &path, Some(expected), Bytes::from(body))?;
            let answer = self.call(request, Duration::ZERO).await?;
            match answer.status {
                StatusCode::OK | StatusCode::CREATED => Versioned::parse(&parse(&answer.body)?),
                StatusCode::PRECONDITION_FAILED => {
                    let found = parse(&answer.body).and_then(|object| Versioned::parse(&object));
                    Err(Error::Conflict(found.ok().map(Box::new)))
                }
                status => Err(status_error(status)),
            }
        })
    }

    fn watch(&self, since: u64, wait: Duration) -> Pending<'_, Changes> {
        boxed(async move {
            let path = format!("{WATCH_PATH}?since={since}&wait_ms={}", wait.as_millis());
            let batch: Option<Batch> = self.get_json(&path, wait).await?;
            let batch = batch.ok_or(Error::Rejected(StatusCode::NOT_FOUND.as_u16()))?;
            Ok(Changes { revision: batch.revision, objects: parse_objects(&batch.items) })
        })
    }

    fn vms(&self) -> Pending<'_, Vms> {
        boxed(async move {
            let vms: Option<Vms> = self.get_json(VMS_PATH, Duration::ZERO).await?;
            vms.ok_or(Error::Rejected(StatusCode::NOT_FOUND.as_u16()))
        })
    }
}
