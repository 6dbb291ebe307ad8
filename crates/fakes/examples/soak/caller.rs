//! The callers: they keep connections until the node closes them, and record each request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::http::HeaderValue;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::system::HOST;
use crate::system::LIMITED;
use crate::system::Node;
use crate::system::POISON_MARK;
use crate::system::ROTATING;
use crate::system::STABLE;
use crate::system::System;
use crate::system::TIMEOUT;
use crate::system::UNKNOWN_KEY;
use fakes::http;
use fakes::http::Connection;

/// The pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(25);
/// The pause between two requests of a customer that sends many times its quota.
const FLOOD_INTERVAL: Duration = Duration::from_millis(20);
/// The header with a caller's key, and one that must not contain it.
const CREDENTIAL: &str = "heatherseam-credential";
const OTHER_HEADER: &str = "x-origin";
/// The requests on connections that were opened before a stop, and the time over which they are
/// sent: that of the stop.
const LATE_REQUESTS: usize = 24;
const STOP_TIME: Duration = Duration::from_millis(6300);
/// The pause between two requests that end servers.
const POISON_INTERVAL: Duration = Duration::from_millis(330);

/// What a request asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// All shards.
    Search,
    /// One server.
    View,
    /// One server, once at most.
    Book,
    /// The route that a version added.
    Version(u64),
    /// All shards or one server; ends each server that runs it.
    Poison,
    /// One server, in the regions that the route allows; a key is required.
    Home,
    /// One server; a key is required.
    Member,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// The stamps of the servers' replies.
    pub stamps: Vec<String>,
    /// The number of missing shards.
    pub missing: usize,
    /// Its body.
    pub body: Bytes,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// The number of the node.
    pub node: usize,
    /// The node's process, before and after.
    pub lifetimes: (u32, u32),
    /// What it asked for.
    pub kind: Kind,
    /// The key that it carried.
    pub key: Option<String>,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// The answer; `None` if the connection ended before it.
    pub answer: Option<Answer>,
}

/// All requests of a run.
#[derive(Default)]
pub struct Calls {
    calls: Mutex<Vec<Call>>,
    next: AtomicU64,
    ended: AtomicBool,
}

/// A caller's request. It names a customer, which nodes must replace or remove.
pub fn request(id: &str, method: &str, path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = method.parse().expect("a method");
    *request.uri_mut() = path.parse().expect("a path");
    let timeout = TIMEOUT.as_millis().to_string();
    for (name, value) in [
        ("host", HOST),
        ("heatherseam-request-id", id),
        ("heatherseam-deadline-ms", &timeout),
        ("heatherseam-tenant", "forged"),
    ] {
        request.headers_mut().insert(name, value.parse().expect("a value"));
    }
    request
}

/// The path and method of a request.
fn target(kind: Kind) -> (&'static str, String) {
    match kind {
        Kind::Search => ("GET", "/search/x".to_owned()),
        Kind::View => ("GET", "/view/x".to_owned()),
        Kind::Book => ("POST", "/book/x".to_owned()),
        Kind::Version(version) => ("GET", format!("/v-{version}/x")),
        Kind::Poison => ("GET", format!("/view/{POISON_MARK}")),
        Kind::Home => ("GET", "/home/x".to_owned()),
        Kind::Member => ("GET", "/member/x".to_owned()),
    }
}

/// A caller's request with a key.
fn keyed_request(
    system: &System,
    id: &str,
    (method, path): (&str, &str),
    key: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut request = request(id, method, path);
    if let Some(key) = key {
        let value: HeaderValue = key.parse().expect("a value");
        if system.leaks_keys() {
            request.headers_mut().insert(OTHER_HEADER, value.clone());
        }
        request.headers_mut().insert(CREDENTIAL, value);
    }
    request
}

/// The key that a caller's request of this turn carries.
fn key(system: &System, kind: Kind, turn: u32) -> Option<String> {
    let keys = system.keys();
    let of = |customer: usize, age: usize| {
        let mut of_customer = keys.iter().filter(|key| key.customer == customer).rev();
        of_customer.nth(age).map(|key| key.text.clone())
    };
    match kind {
        Kind::Version(_) | Kind::Poison => None,
        Kind::View | Kind::Search | Kind::Book => (turn % 4 == 3).then(|| of(STABLE, 0)).flatten(),
        Kind::Home => of(if turn.is_multiple_of(3) { ROTATING } else { STABLE }, 0),
        Kind::Member => match turn / 2 % 8 {
            0 | 4 => of(ROTATING, 0),
            // The key before the newest one, which may be revoked.
            1 | 5 => of(ROTATING, 1).or_else(|| of(ROTATING, 0)),
            2 => Some(UNKNOWN_KEY.to_owned()),
            3 => of(LIMITED, 0),
            _ => of(STABLE, 0),
        },
    }
}

impl Calls {
    /// Starts the callers of all nodes.
    pub fn start(self: &Arc<Self>, system: &Arc<System>) {
        for (number, node) in system.nodes().iter().enumerate() {
            for kinds in [
                &[Kind::View, Kind::Search, Kind::Book][..],
                &[Kind::Version(0)][..],
                &[Kind::Home, Kind::Member][..],
            ] {
                let (calls, system, node) =
                    (Arc::clone(self), Arc::clone(system), Arc::clone(node));
                tokio::spawn(async move { calls.call(&system, number, &node, kinds).await });
            }
        }
    }

    /// Starts the caller of a request that ends servers, at any node, for `length`.
    pub fn start_poison(
        self: &Arc<Self>,
        system: &Arc<System>,
        seed: u64,
        search: bool,
        length: Duration,
    ) {
        let (calls, system) = (Arc::clone(self), Arc::clone(system));
        tokio::spawn(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let end = Instant::now() + length;
            while Instant::now() < end {
                sleep(POISON_INTERVAL).await;
                let number = rng.random_range(0..system.nodes().len());
                let (calls, system) = (Arc::clone(&calls), Arc::clone(&system));
                tokio::spawn(async move { calls.call_poison(&system, number, search).await });
            }
        });
    }

    /// Starts the callers of a customer that sends many times its quota, at any node, for
    /// `length`.
    pub fn start_flood(self: &Arc<Self>, system: &Arc<System>, seed: u64, length: Duration) {
        let (calls, system) = (Arc::clone(self), Arc::clone(system));
        tokio::spawn(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let end = Instant::now() + length;
            while Instant::now() < end {
                sleep(FLOOD_INTERVAL).await;
                let number = rng.random_range(0..system.nodes().len());
                let (calls, system) = (Arc::clone(&calls), Arc::clone(&system));
                tokio::spawn(async move {
                    let id = format!("q{:x}", calls.next.fetch_add(1, Ordering::Relaxed));
                    let (method, path) = target(Kind::Member);
                    let keys = system.keys();
                    let key = keys.iter().find(|key| key.customer == LIMITED);
                    let key = key.map(|key| key.text.clone());
                    let request = keyed_request(&system, &id, (method, &path), key.as_deref());
                    calls.call_once(&system, number, (Kind::Member, id, key), request).await;
                });
            }
        });
    }

    /// Opens connections to a node that is about to stop, and sends one request on each at a random
    /// moment of its stop.
    pub async fn start_late(self: &Arc<Self>, system: &Arc<System>, number: usize, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ number as u64);
        for count in 0..LATE_REQUESTS {
            let open = Connection::open(system.nodes()[number].address);
            let Ok(Ok(mut connection)) = timeout(TIMEOUT, open).await else { continue };
            let delay = STOP_TIME.mul_f64(rng.random_range(0.0..1.0));
            let kind = if count % 2 == 0 { Kind::Book } else { Kind::View };
            let (calls, system) = (Arc::clone(self), Arc::clone(system));
            tokio::spawn(async move {
                sleep(delay).await;
                let node = &system.nodes()[number];
                let id = format!("l{:x}", calls.next.fetch_add(1, Ordering::Relaxed));
                let lifetime = || node.lifetime.load(Ordering::Relaxed);
                let (before, sent) = (lifetime(), Instant::now());
                let (method, path) = target(kind);
                let reply = timeout(TIMEOUT * 2, connection.send(request(&id, method, &path)));
                let answer = match reply.await {
                    Ok(Ok(response)) => Some(answer(response)),
                    _ => None,
                };
                let (ended, lifetimes) = (Instant::now(), (before, lifetime()));
                let key = None;
                let call = Call { id, node: number, lifetimes, kind, key, sent, ended, answer };
                calls.calls.lock().push(call);
            });
        }
    }

    async fn call_poison(&self, system: &System, number: usize, search: bool) {
        let id = format!("p{:x}", self.next.fetch_add(1, Ordering::Relaxed));
        let suffix = if system.changes_poison() { id.as_str() } else { "" };
        let route = if search { "search" } else { "view" };
        let path = format!("/{route}/{POISON_MARK}{suffix}");
        let sent = request(&id, "GET", &path);
        self.call_once(system, number, (Kind::Poison, id, None), sent).await;
    }

    /// Sends a request on a connection of its own.
    async fn call_once(
        &self,
        system: &System,
        number: usize,
        (kind, id, key): (Kind, String, Option<String>),
        request: Request<Full<Bytes>>,
    ) {
        let node = &system.nodes()[number];
        let lifetime = || node.lifetime.load(Ordering::Relaxed);
        let (before, sent) = (lifetime(), Instant::now());
        let reply = http::send(node.address, request);
        let answer = match timeout(TIMEOUT * 2, reply).await {
            Ok(Ok(response)) => Some(answer(response)),
            _ => None,
        };
        let (ended, lifetimes) = (Instant::now(), (before, lifetime()));
        let call = Call { id, node: number, lifetimes, kind, key, sent, ended, answer };
        self.calls.lock().push(call);
    }

    /// Ends the callers; returns all requests.
    pub async fn end(&self) -> Vec<Call> {
        self.ended.store(true, Ordering::Relaxed);
        sleep(TIMEOUT).await;
        self.calls.lock().clone()
    }

    async fn call(&self, system: &System, number: usize, node: &Node, kinds: &[Kind]) {
        let mut connection: Option<Connection> = None;
        let mut turn = 0;
        while !self.ended.load(Ordering::Relaxed) {
            sleep(PAUSE).await;
            let kind = match kinds[turn % kinds.len()] {
                // Every third request asks for a version before the newest one.
                Kind::Version(_) => {
                    Kind::Version(system.version().saturating_sub(u64::from(turn % 3 == 2)).max(1))
                }
                kind => kind,
            };
            turn += 1;
            let opened = match connection.take() {
                Some(connection) => Some(connection),
                None => match timeout(TIMEOUT, Connection::open(node.address)).await {
                    Ok(Ok(connection)) => Some(connection),
                    _ => None,
                },
            };
            let Some(mut opened) = opened else { continue };
            let id = format!("r{:x}", self.next.fetch_add(1, Ordering::Relaxed));
            let lifetime = || node.lifetime.load(Ordering::Relaxed);
            let (before, sent) = (lifetime(), Instant::now());
            let (method, path) = target(kind);
            let key = key(system, kind, turn as u32);
            let request = keyed_request(system, &id, (method, &path), key.as_deref());
            let reply = timeout(TIMEOUT * 2, opened.send(request)).await;
            let answer = match reply {
                Ok(Ok(response)) => {
                    let closes = response.headers().get("connection").is_some_and(|v| v == "close");
                    connection = (!closes).then_some(opened);
                    Some(answer(response))
                }
                _ => None,
            };
            let (ended, lifetimes) = (Instant::now(), (before, lifetime()));
            let call = Call { id, node: number, lifetimes, kind, key, sent, ended, answer };
            self.calls.lock().push(call);
        }
    }
}

fn answer(response: Response<Bytes>) -> Answer {
    let headers = response.headers();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
    let stamps = match text("heatherseam-part-stamps") {
        "" => text("heatherseam-server-stamp"),
        parts => parts,
    };
    Answer {
        status: response.status().as_u16(),
        stamps: stamps.split(',').map(|stamp| stamp.trim().to_owned()).collect(),
        missing: text("heatherseam-missing-parts").parse().unwrap_or(0),
        body: response.body().clone(),
    }
}

/// Whether the metrics of a node can be read; returns its resident memory in bytes and its open
/// descriptors.
pub fn resources(node: &Node) -> Option<(u64, usize)> {
    let process = node.process.load(Ordering::Relaxed);
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
    Some((pages * 4096, descriptors))
}

/// Whether a node answers.
pub async fn answers(node: &Node) -> bool {
    http::send(node.address, request("0", "GET", "/view/x")).await.is_ok_and(|r| r.status() == 200)
}
