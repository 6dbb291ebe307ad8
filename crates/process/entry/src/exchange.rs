//! One request to one server and its reply.
//!
//! Invariant: up to the hand-over to the HTTP library every failure is
//! [`Outcome::NotSent`]; after it, the request may have run unless the library
//! hands it back or the server certifies that it did not.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderValue;
use hyper::http::response::Parts;

use crate::process::Process;
use crate::protocol::ReplyHeaders;
use crate::upstream;
use base::entity::Attempt;
use base::entity::Server;
use base::time::Time;
use replica::table::Observation;

/// The largest reply that is read, in bytes.
const REPLY_LIMIT: usize = 8 << 20;

/// What every attempt of one request sends.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: HeaderValue,
    /// When the caller no longer waits.
    pub(crate) deadline: Time,
}

/// A whole reply of a server.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) parts: Arc<Parts>,
    pub(crate) body: Bytes,
    pub(crate) facts: ReplyHeaders,
}

impl PartialEq for Reply {
    fn eq(&self, other: &Self) -> bool {
        self.facts == other.facts && self.body == other.body
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// A proved success.
    Answered(Reply),
    /// A proved failure.
    Failed(Reply),
    /// Certified not to have run.
    Refused,
    /// It never left this node.
    NotSent(&'static str),
    /// It may have run.
    Unknown(&'static str),
}

/// An attempt in progress: tells the table how it ended, also when dropped.
struct Watch {
    process: Rc<Process>,
    server: Server,
    opened: Time,
    sent: Option<Time>,
    work: Duration,
    told: bool,
}

impl Watch {
    fn tell(&mut self, observation: Observation) -> Option<Duration> {
        self.told = true;
        let now = self.process.clock.now();
        let sent = self.sent.unwrap_or(self.opened);
        let (server, work) = (self.server, self.work);
        self.process
            .learn(server, |table| table.observe(now, server, self.opened, sent, work, observation))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.told {
            self.tell(if self.sent.is_some() {
                Observation::Overdue
            } else {
                Observation::NotSent
            });
        }
    }
}

/// One attempt as the driver keeps it.
pub(crate) struct Done {
    pub(crate) attempt: Attempt,
    pub(crate) server: Server,
    pub(crate) outcome: Outcome,
    /// The time that the server took, if it answered.
    pub(crate) took: Option<Duration>,
}

/// Asks `server` and waits for its reply.
pub(crate) async fn run(
    process: Rc<Process>,
    message: Rc<Message>,
    attempt: Attempt,
    server: Server,
    work: Duration,
) -> Done {
    let opened = process.clock.now();
    process.table.borrow_mut().sent(opened, server);
    let mut watch =
        Watch { process: Rc::clone(&process), server, opened, sent: None, work, told: false };
    let outcome = send(&process, &message, server, &mut watch).await;
    let took = match &outcome {
        Outcome::Answered(reply) => watch.tell(Observation::Replied { load: reply.facts.load }),
        Outcome::Failed(_) | Outcome::Unknown(_) => watch.tell(Observation::Failed),
        Outcome::Refused | Outcome::NotSent(_) if watch.told => None,
        Outcome::Refused => watch.tell(Observation::Refused { load: None }),
        Outcome::NotSent(_) => watch.tell(Observation::NotSent),
    };
    Done { attempt, server, outcome, took }
}

async fn send(
    process: &Rc<Process>,
    message: &Message,
    server: Server,
    watch: &mut Watch,
) -> Outcome {
    let mut lease = match process.pool.lease(server).await {
        Ok(lease) => lease,
        Err(upstream::Failure::Full) => return Outcome::NotSent("too many requests wait for it"),
        Err(upstream::Failure::Unreachable) => {
            let now = process.clock.now();
            process.learn(server, |table| table.connect_failed(now, server));
            return Outcome::NotSent("no connection");
        }
    };
    let Some(link) = lease.link() else { return Outcome::NotSent("no connection") };
    if link.sender.ready().await.is_err() {
        return Outcome::NotSent("the connection closed");
    }
    let now = process.clock.now();
    // Checked here, at the last moment: it may have begun to leave meanwhile.
    if !process.table.borrow().may_send(server) {
        return Outcome::NotSent("it is leaving");
    }
    let left = message.deadline.since(now);
    if left.is_zero() {
        return Outcome::NotSent("the time is up");
    }
    let life = process.life_of(server);
    let Ok(life) = HeaderValue::from_str(&life) else {
        return Outcome::NotSent("its id is no header value");
    };
    let mut headers = message.headers.clone();
    process.protocol.write_request(&mut headers, left, &life);
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = headers;
    watch.sent = Some(now);
    let response = match link.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            if error.take_message().is_none() {
                return Outcome::Unknown("the connection broke before a reply");
            }
            watch.sent = None;
            return Outcome::NotSent("the connection closed");
        }
    };
    let (parts, body) = response.into_parts();
    let facts = process.protocol.read_reply(parts.status.as_u16(), &parts.headers);
    let Some(body) = collect(body).await else {
        return Outcome::Unknown("the reply broke off");
    };
    let ours = facts.request_id.as_ref().is_none_or(|request_id| *request_id == message.id);
    if !ours {
        return Outcome::Unknown("the reply belongs to another request");
    }
    if let Some(told) = idle_timeout(&parts.headers)
        && let Some(link) = lease.link()
    {
        link.good_until = upstream::keep(process.clock.now(), told);
    }
    lease.finish();
    judge(parts, body, facts, watch)
}

/// What a whole reply of our own request means.
fn judge(parts: Parts, body: Bytes, facts: ReplyHeaders, watch: &mut Watch) -> Outcome {
    if facts.misdirected {
        watch.tell(Observation::Misdirected);
        return Outcome::Refused;
    }
    if facts.not_run {
        watch.tell(Observation::Refused { load: facts.load });
        return Outcome::Refused;
    }
    if facts.stamp.is_none() {
        return Outcome::Unknown("the reply has no proof");
    }
    if facts.request_id.is_none() {
        return Outcome::Unknown("the reply names no request");
    }
    if parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Outcome::Unknown("the reply's body is encoded");
    }
    let success = parts.status.is_success();
    let reply = Reply { parts: Arc::new(parts), body, facts };
    if success { Outcome::Answered(reply) } else { Outcome::Failed(reply) }
}

/// The body, if all of it came.
async fn collect(mut body: Incoming) -> Option<Bytes> {
    let mut first: Option<Bytes> = None;
    let mut more = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if first.is_none() {
            first = Some(data);
            continue;
        }
        more.extend_from_slice(&data);
        if more.len() > REPLY_LIMIT {
            return None;
        }
    }
    let first = first.unwrap_or_default();
    if more.is_empty() {
        return Some(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + more.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&more);
    Some(whole.freeze())
}

/// How long the server keeps an idle connection, if it says so.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let told = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    told.trim().parse().ok().map(Duration::from_secs)
}
