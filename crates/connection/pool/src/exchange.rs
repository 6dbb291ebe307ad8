//! One request and its reply on one leased connection.
//!
//! Invariant: up to the call of the HTTP library every failure is `NotSent`;
//! after it a failure is `Unknown` unless the library hands the request back or
//! the server certifies that it did not run it.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response::Parts;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::client::Permit;
use crate::error::Error;
use crate::error::Lost;
use crate::error::Unsent;
use crate::lease::Lease;
use crate::reply;
use crate::reply::Reply;
use crate::request;
use crate::request::Message;
use crate::request::Request;
use crate::request::Target;
use crate::server::ConnectionId;
use crate::silence::Detector;
use crate::state::Entry;
use base::time::Time;
use wire::upstream::Health;
use wire::upstream::Report;

/// The part of the time left that a request is waited for though a probe says
/// that its connection is silent: half, so that one more try fits in.
const PATIENCE_PART: u32 = 2;
/// The longest such wait. A server whose replies take longer and that has not
/// answered yet is taken for silent; after its first reply its pace is known.
const MOST_PATIENCE: Duration = Duration::from_secs(2);

/// What came back, read as far as it came.
struct Raw {
    parts: Parts,
    body: Bytes,
    complete: bool,
}

/// Sends one attempt.
pub(crate) async fn run(
    lease: &mut Lease,
    target: &Target,
    request: &Request,
    permit: &dyn Permit,
    end: Instant,
) -> Result<Reply, Error> {
    ready(lease, end).await?;
    let left = end.saturating_duration_since(Instant::now());
    let message = request.message(target, left).ok_or(Error::NotSent(Unsent::Malformed))?;
    if !lease.shared().gate.may_send(target.server) || !permit.try_acquire() {
        return Err(Error::NotSent(Unsent::Denied));
    }
    let begin = Instant::now();
    let raw = swap(lease, message, request.non_idempotent, end).await?;
    let ours = reply::echo(&raw.parts.headers) == Some(request.attempt);
    if ours && raw.complete {
        finish(lease);
    }
    read(raw, ours, begin.elapsed())
}

/// Asks for the server's health.
pub(crate) async fn health(
    lease: &mut Lease,
    target: &Target,
    limit: Duration,
) -> Result<Health, Error> {
    let end = Instant::now() + limit;
    ready(lease, end).await?;
    let message = request::health(target).ok_or(Error::NotSent(Unsent::Malformed))?;
    let raw = swap(lease, message, false, end).await?;
    if !raw.complete {
        return Err(Error::Unknown(Lost::Broken));
    }
    finish_with(lease, Detector::answered);
    serde_json::from_slice(&raw.body).map_err(|_| Error::Unknown(status(&raw)))
}

async fn ready(lease: &mut Lease, end: Instant) -> Result<(), Error> {
    let Some(link) = lease.link() else { return Err(Error::NotSent(Unsent::ConnectionClosed)) };
    match timeout_at(end, link.sender.ready()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Error::NotSent(Unsent::ConnectionClosed)),
        Err(_) => Err(Error::NotSent(Unsent::Deadline)),
    }
}

/// Hands the message to the HTTP library and reads the reply.
async fn swap(lease: &mut Lease, message: Message, keep: bool, end: Instant) -> Result<Raw, Error> {
    let (server, id) = (lease.server, lease.id);
    let now = lease.shared().now();
    let left = end.saturating_duration_since(Instant::now());
    let patience = (left / PATIENCE_PART).min(MOST_PATIENCE);
    let note = |entry: &mut Entry| entry.detector.sent_with(now, id, keep, patience);
    lease.shared().with(server, note);
    lease.due();
    let limit = lease.shared().settings.body_limit;
    let Some(link) = lease.link() else { return Err(Error::NotSent(Unsent::ConnectionClosed)) };
    let stop = link.stop.clone();
    tokio::select! {
        biased;
        _ = stop.cancelled() => Err(Error::Unknown(Lost::Silent)),
        raw = timeout_at(end, call(&mut link.sender, message, limit)) => {
            raw.unwrap_or(Err(Error::Unknown(Lost::Deadline)))
        }
    }
}

async fn call(
    sender: &mut SendRequest<http_body_util::Full<Bytes>>,
    message: Message,
    limit: usize,
) -> Result<Raw, Error> {
    match sender.try_send_request(message).await {
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let (body, complete) = collect(body, limit).await;
            Ok(Raw { parts, body, complete })
        }
        Err(mut error) => Err(match error.take_message() {
            Some(_) => Error::NotSent(Unsent::ConnectionClosed),
            None => Error::Unknown(Lost::Broken),
        }),
    }
}

/// Reads the body; the flag tells whether all of it came.
async fn collect(mut body: Incoming, limit: usize) -> (Bytes, bool) {
    let promised = body.size_hint().exact();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (bytes.freeze(), false) };
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > limit {
            return (bytes.freeze(), false);
        }
    }
    let complete = promised.is_none_or(|promised| promised == bytes.len() as u64);
    (bytes.freeze(), complete)
}

fn read(raw: Raw, ours: bool, latency: Duration) -> Result<Reply, Error> {
    let headers: &HeaderMap = &raw.parts.headers;
    let report = Report::parse(headers);
    if reply::not_run(headers) && ours {
        return Err(Error::Refused { retry_after: reply::retry_after(headers), report });
    }
    if raw.parts.status != StatusCode::OK {
        return Err(Error::Unknown(status(&raw)));
    }
    Ok(Reply {
        echo: reply::echo(headers),
        snapshot: reply::snapshot(headers),
        shard: reply::shard(headers),
        report,
        body: raw.body.clone(),
        complete: raw.complete,
        latency,
    })
}

fn status(raw: &Raw) -> Lost {
    let report = Report::parse(&raw.parts.headers);
    Lost::Status { status: raw.parts.status.as_u16(), report }
}

fn finish(lease: &mut Lease) {
    finish_with(lease, Detector::replied);
}

fn finish_with(lease: &mut Lease, note: impl FnOnce(&mut Detector, Time, ConnectionId)) {
    lease.read();
    let now = lease.shared().now();
    let id = lease.id;
    lease.shared().with(lease.server, |entry| note(&mut entry.detector, now, id));
}
