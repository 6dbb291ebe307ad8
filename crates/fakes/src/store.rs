//! The store of the users' platform at its published protocol: objects by kind
//! and name, lists, long-poll watches, and failures that tests switch on, among them a
//! return from a copy.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::HeaderValue;
use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::http;
use crate::http::Reply;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Answers normally.
    #[default]
    Healthy,
    /// Answers 503 and does nothing.
    Unavailable,
    /// Accepts calls and never answers.
    Hangs,
    /// Closes connections instead of answering.
    ResetsConnections,
}

/// What the store's answers state as its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EraHeader {
    /// The era.
    #[default]
    Present,
    /// Nothing.
    Absent,
    /// Text that is not a number.
    Unreadable,
    /// The era before the present one.
    Earlier,
}

/// The content of the store at one moment, from which it can return.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    current: BTreeMap<(String, String), Arc<[u8]>>,
}

/// The maximum number of objects of a page, and the size from which it is full, in bytes.
const PAGE_OBJECTS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Objects {
    era: u64,
    era_header: EraHeader,
    revision: u64,
    /// The oldest revision from which a watch can start.
    oldest: u64,
    /// The objects by kind and name, as JSON: other writers' content may be any bytes.
    current: BTreeMap<(String, String), Arc<[u8]>>,
    /// Every change: its revision, kind and event.
    history: Vec<(u64, String, Arc<[u8]>)>,
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
    /// Starts a store on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start() -> io::Result<Self> {
        let listener = http::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let objects = Objects { era: 1, revision: 1, ..Objects::default() };
        let shared = Shared { objects: Mutex::new(objects), changed: watch::Sender::new(1) };
        let shared = Arc::new(shared);
        let stop = CancellationToken::new();
        let handler_state = Arc::clone(&shared);
        let answer = move |request| {
            let state = Arc::clone(&handler_state);
            async move {
                let mut reply = answer(Arc::clone(&state), request).await?;
                state.objects.lock().state_era(&mut reply);
                Ok(reply)
            }
        };
        tokio::spawn(http::serve(listener, stop.clone(), answer));
        Ok(Self { shared, address, stop })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it handles calls, including watches that are pending.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.objects.lock().behavior = behavior;
        self.shared.changed.send_modify(|_| {});
    }

    /// The number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.objects.lock().calls
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.shared.put(kind, name, spec.to_string().as_bytes());
    }

    /// Creates or replaces an object of another writer, whose content may be any bytes.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &[u8]) {
        self.shared.put(kind, name, spec);
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut objects = self.shared.objects.lock();
        let Some(object) = objects.current.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.shared.record(&mut objects, kind, event(&object, true));
    }

    /// A copy of the present content.
    pub fn backup(&self) -> Backup {
        let objects = self.shared.objects.lock();
        Backup { revision: objects.revision, current: objects.current.clone() }
    }

    /// Returns from a copy: what was written since then is lost, the revisions after the copy's
    /// are given out again, and the era rises by one. Pending watches are cut.
    pub fn restore(&self, backup: &Backup) {
        let mut objects = self.shared.objects.lock();
        objects.era += 1;
        objects.revision = backup.revision;
        objects.current = backup.current.clone();
        objects.history.retain(|(revision, _, _)| *revision <= backup.revision);
        objects.oldest = objects.oldest.min(backup.revision);
        drop(objects);
        self.shared.changed.send_modify(|_| {});
    }

    /// Changes what the answers state as the era.
    pub fn set_era_header(&self, header: EraHeader) {
        self.shared.objects.lock().era_header = header;
    }

    /// The names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.shared.objects.lock();
        let of_kind = objects.current.keys().filter(|(object_kind, _)| object_kind == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Drops the history: watches from earlier revisions are answered with 410.
    pub fn compact(&self) {
        let mut objects = self.shared.objects.lock();
        objects.history.clear();
        objects.oldest = objects.revision;
    }
}

impl Objects {
    /// Adds the header with the era to an answer.
    fn state_era(&self, reply: &mut Reply) {
        let value = match self.era_header {
            EraHeader::Present => HeaderValue::from(self.era),
            EraHeader::Earlier => HeaderValue::from(self.era.saturating_sub(1)),
            EraHeader::Unreadable => HeaderValue::from_static("the newest"),
            EraHeader::Absent => return,
        };
        reply.headers_mut().insert("store-era", value);
    }
}

impl Shared {
    fn put(&self, kind: &str, name: &str, spec: &[u8]) -> Arc<[u8]> {
        let mut objects = self.objects.lock();
        let revision = objects.revision + 1;
        let name_text = Value::from(name).to_string();
        let meta = format!(
            "{{\"meta\":{{\"name\":{name_text},\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deleting\":false}},\"spec\":"
        );
        let object = [meta.as_bytes(), spec, b",\"status\":null}"].concat();
        let object: Arc<[u8]> = Arc::from(object);
        objects.current.insert((kind.to_owned(), name.to_owned()), Arc::clone(&object));
        self.record(&mut objects, kind, event(&object, false));
        object
    }

    fn record(&self, objects: &mut Objects, kind: &str, event: Arc<[u8]>) {
        objects.revision += 1;
        let revision = objects.revision;
        objects.history.push((revision, kind.to_owned(), event));
        self.changed.send_replace(revision);
    }
}

/// The event of a change of an object.
fn event(object: &[u8], deleted: bool) -> Arc<[u8]> {
    let end = format!(",\"deleted\":{deleted}}}");
    Arc::from([b"{\"object\":", object, end.as_bytes()].concat())
}

/// A reply of JSON that begins with a list of `items` under `key`.
fn list_reply(key: &str, items: &[&[u8]], rest: &str) -> Reply {
    let start = format!("{{\"{key}\":[");
    let body = [start.as_bytes(), &items.join(&b","[..]), b"],", rest.as_bytes(), b"}"].concat();
    raw_json(body)
}

fn raw_json(body: Vec<u8>) -> Reply {
    let mut reply = http::text(StatusCode::OK, "");
    *reply.body_mut() = http::full(body);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
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
    let name = name.map(|name| percent_decode_str(name).decode_utf8_lossy().into_owned());
    if request.method() == Method::GET && name.is_none() {
        let since = http::number(request.uri(), "watch");
        let wait = Duration::from_millis(http::number(request.uri(), "wait_ms"));
        return if since > 0 {
            changes(&shared, kind, since, wait).await
        } else {
            let after = http::parameter(request.uri(), "after").unwrap_or_default();
            let after = percent_decode_str(after).decode_utf8_lossy();
            Ok(list(&shared, kind, &after))
        };
    }
    let method = request.method().clone();
    let body: Value = match http::read_json(request.into_body()).await {
        Ok(body) => body,
        Err(reply) => return Ok(*reply),
    };
    let named = name.or_else(|| body.get("meta")?.get("name")?.as_str().map(str::to_owned));
    let Some(name) = named else { return Ok(http::text(StatusCode::BAD_REQUEST, "no name")) };
    let existing = shared.objects.lock().current.get(&(kind.to_owned(), name.clone())).cloned();
    let spec = body.get("spec").cloned().unwrap_or(Value::Null);
    Ok(match (method, existing) {
        (Method::POST, Some(existing)) => {
            let mut reply = raw_json(existing.to_vec());
            *reply.status_mut() = StatusCode::CONFLICT;
            reply
        }
        (Method::PUT, None) => http::text(StatusCode::NOT_FOUND, "no such object"),
        (Method::POST | Method::PUT, _) => {
            raw_json(shared.put(kind, &name, spec.to_string().as_bytes()).to_vec())
        }
        _ => {
            http::text(StatusCode::METHOD_NOT_ALLOWED, "the stand-in does not support this method")
        }
    })
}

fn list(shared: &Shared, kind: &str, after: &str) -> Reply {
    let objects = shared.objects.lock();
    let of_kind = objects.current.iter().filter(|((object_kind, _), _)| object_kind == kind);
    let mut later = of_kind.filter(|((_, name), _)| name.as_str() > after).peekable();
    let mut items: Vec<&[u8]> = Vec::new();
    let mut bytes = 0;
    while items.len() < PAGE_OBJECTS
        && bytes < PAGE_BYTES
        && let Some((_, object)) = later.next()
    {
        bytes += object.len();
        items.push(object);
    }
    let (more, as_of) = (later.peek().is_some(), objects.revision);
    list_reply("items", &items, &format!("\"more\":{more},\"as_of\":{as_of}"))
}

async fn changes(shared: &Shared, kind: &str, since: u64, wait: Duration) -> io::Result<Reply> {
    let mut changed = shared.changed.subscribe();
    let era = shared.objects.lock().era;
    let end = tokio::time::Instant::now() + wait;
    loop {
        {
            let objects = shared.objects.lock();
            match objects.behavior {
                Behavior::Healthy => {}
                // A watch that is pending when the store hangs is never answered.
                Behavior::Hangs => break,
                Behavior::Unavailable | Behavior::ResetsConnections => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
            if objects.era != era {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if since < objects.oldest || since > objects.revision {
                return Ok(http::text(StatusCode::GONE, ""));
            }
            let later = objects.history.iter();
            let later =
                later.filter(|(revision, event_kind, _)| *revision > since && event_kind == kind);
            let events: Vec<&[u8]> = later.map(|(_, _, event)| &**event).collect();
            if !events.is_empty() || tokio::time::Instant::now() >= end {
                let as_of = format!("\"as_of\":{}", objects.revision);
                return Ok(list_reply("events", &events, &as_of));
            }
        }
        // After the timeout, the next round returns an empty list of events.
        if tokio::time::timeout_at(end, changed.changed()).await.is_err() {
            continue;
        }
    }
    std::future::pending().await
}
