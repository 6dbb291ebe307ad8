//! The store of the users' platform at its published protocol: objects by kind
//! and name, lists, watches, conditions, and the ways in which it fails.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::Reply;

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// It answers.
    #[default]
    Healthy,
    /// It answers 503 and does nothing.
    Unavailable,
    /// It accepts calls and never answers.
    Hangs,
    /// It closes connections instead of answering.
    ResetsConnections,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    /// The oldest revision that can be watched from.
    oldest: u64,
    now: BTreeMap<(String, String), Value>,
    /// Every change: its revision, kind, and event.
    history: Vec<(u64, String, Value)>,
    behavior: Behavior,
    calls: u64,
}

struct Shared {
    objects: Mutex<Objects>,
    changed: watch::Sender<u64>,
}

/// A running store.
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: CancellationToken,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Store {
    /// Starts a store on a free port of the loopback.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start() -> io::Result<Self> {
        let listener = http::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let objects = Objects { revision: 1, ..Objects::default() };
        let shared = Shared { objects: Mutex::new(objects), changed: watch::Sender::new(1) };
        let shared = Arc::new(shared);
        let stop = CancellationToken::new();
        let answering = Arc::clone(&shared);
        let answer = move |request| answer(Arc::clone(&answering), request);
        tokio::spawn(http::serve(listener, stop.clone(), answer));
        Ok(Self { shared, address, stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it treats calls; watches that wait are cut.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.objects.lock().behavior = behavior;
        self.shared.changed.send_modify(|_| {});
    }

    /// Calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.objects.lock().calls
    }

    /// Writes an object as an operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.shared.put(kind, name, spec);
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut objects = self.shared.objects.lock();
        let Some(object) = objects.now.remove(&(kind.to_owned(), name.to_owned())) else { return };
        self.shared.record(&mut objects, kind, json!({ "object": object, "deleted": true }));
    }

    /// Drops the history: watches from earlier revisions are refused.
    pub fn compact(&self) {
        let mut objects = self.shared.objects.lock();
        objects.history.clear();
        objects.oldest = objects.revision;
    }
}

impl Shared {
    fn put(&self, kind: &str, name: &str, spec: &Value) -> Value {
        let mut objects = self.objects.lock();
        let revision = objects.revision + 1;
        let object = json!({
            "meta": { "name": name, "revision": revision, "created": 1, "finalizers": [], "deleting": false },
            "spec": spec,
            "status": null
        });
        objects.now.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.record(&mut objects, kind, json!({ "object": object, "deleted": false }));
        object
    }

    fn record(&self, objects: &mut Objects, kind: &str, event: Value) {
        objects.revision += 1;
        objects.history.push((objects.revision, kind.to_owned(), event));
        self.changed.send_replace(objects.revision);
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> io::Result<Reply> {
    let behavior = {
        let mut objects = shared.objects.lock();
        objects.calls += 1;
        objects.behavior
    };
    match behavior {
        Behavior::Healthy => {}
        Behavior::Unavailable => return Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "")),
        Behavior::Hangs => std::future::pending().await,
        Behavior::ResetsConnections => return Err(io::ErrorKind::ConnectionReset.into()),
    }
    let path = request.uri().path().to_owned();
    let Some(rest) = path.strip_prefix("/api/objects/") else {
        return Ok(http::text(StatusCode::NOT_FOUND, "no such path"));
    };
    let (kind, name) = rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
    if request.method() == Method::GET && name.is_none() {
        let since = http::number(request.uri(), "watch");
        let wait = Duration::from_millis(http::number(request.uri(), "wait_ms"));
        return if since > 0 {
            changes(&shared, kind, since, wait).await
        } else {
            Ok(list(&shared, kind))
        };
    }
    let method = request.method().clone();
    let body: Value = match http::read_json(request.into_body()).await {
        Ok(body) => body,
        Err(reply) => return Ok(*reply),
    };
    let named = name.or_else(|| body.get("meta")?.get("name")?.as_str());
    let Some(name) = named else { return Ok(http::text(StatusCode::BAD_REQUEST, "no name")) };
    let known = shared.objects.lock().now.get(&(kind.to_owned(), name.to_owned())).cloned();
    let spec = body.get("spec").cloned().unwrap_or(Value::Null);
    Ok(match (method, known) {
        (Method::POST, Some(known)) => http::json(StatusCode::CONFLICT, &known),
        (Method::PUT, None) => http::text(StatusCode::NOT_FOUND, "no such object"),
        (Method::POST | Method::PUT, _) => {
            http::json(StatusCode::OK, &shared.put(kind, name, &spec))
        }
        _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "not a call of this stand-in"),
    })
}

fn list(shared: &Shared, kind: &str) -> Reply {
    let objects = shared.objects.lock();
    let of_kind = objects.now.iter().filter(|((known, _), _)| known == kind);
    let items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
    http::json(StatusCode::OK, &json!({ "items": items, "more": false, "as_of": objects.revision }))
}

async fn changes(shared: &Shared, kind: &str, since: u64, wait: Duration) -> io::Result<Reply> {
    let mut changed = shared.changed.subscribe();
    let end = tokio::time::Instant::now() + wait;
    loop {
        {
            let objects = shared.objects.lock();
            match objects.behavior {
                Behavior::Healthy => {}
                // What was asked before the silence is not answered after it either.
                Behavior::Hangs => break,
                Behavior::Unavailable | Behavior::ResetsConnections => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
            if since < objects.oldest {
                return Ok(http::text(StatusCode::GONE, ""));
            }
            let later = objects.history.iter();
            let later = later.filter(|(revision, known, _)| *revision > since && known == kind);
            let events: Vec<&Value> = later.map(|(_, _, event)| event).collect();
            if !events.is_empty() || tokio::time::Instant::now() >= end {
                let body = json!({ "events": events, "as_of": objects.revision });
                return Ok(http::json(StatusCode::OK, &body));
            }
        }
        // A time-out is the end of the wait.
        if tokio::time::timeout_at(end, changed.changed()).await.is_err() {
            continue;
        }
    }
    std::future::pending().await
}
