//! Sends one request on a leased connection and reads its reply.
//!
//! Invariant: a failure before the call of the HTTP library is `NotSent`. A later
//! failure is `Unknown`, unless the library returns the request unsent or the
//! server states that it did not run the request.

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
use crate::pause;
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

/// The divisor of the remaining time that gives a request's probe grace, the wait
/// before an answered probe alone marks its connection as silent. Half of the time
/// remains for one more attempt.
const PROBE_GRACE_DIVISOR: u32 = 2;
/// The maximum probe grace. Until the first reply, a server with a longer service
/// time is considered silent; afterwards the measured latency is used.
const MAX_PROBE_GRACE: Duration = Duration::from_secs(2);

/// A reply, as far as it was received.
struct RawReply {
    parts: Parts,
    body: Bytes,
    complete: bool,
}

/// Sends one attempt and reads its reply.
pub(crate) async fn run(
    lease: &mut Lease,
    target: &Target,
    request: &Request,
    permit: &dyn Permit,
    deadline: Instant,
) -> Result<Reply, Error> {
    ready(lease, deadline).await?;
    let remaining = deadline.saturating_duration_since(Instant::now());
    let message = request.message(target, remaining).ok_or(Error::NotSent(Unsent::Malformed))?;
    if !lease.shared().eligibility.may_send(target.server) || !permit.try_acquire() {
        return Err(Error::NotSent(Unsent::Denied));
    }
    let start = Instant::now();
    let raw = send_and_receive(lease, message, request.non_idempotent, deadline).await?;
    let echoes_attempt = reply::attempt_id(&raw.parts.headers) == Some(request.attempt);
    if echoes_attempt && raw.complete {
        mark_read(lease);
    }
    interpret(raw, echoes_attempt, start.elapsed())
}

/// Requests the server's health.
pub(crate) async fn health(
    lease: &mut Lease,
    target: &Target,
    limit: Duration,
) -> Result<Health, Error> {
    let deadline = Instant::now() + limit;
    ready(lease, deadline).await?;
    let message = request::health(target).ok_or(Error::NotSent(Unsent::Malformed))?;
    let raw = send_and_receive(lease, message, false, deadline).await?;
    if !raw.complete {
        return Err(Error::Unknown(Lost::Broken));
    }
    mark_read_with(lease, Detector::health_received);
    serde_json::from_slice(&raw.body).map_err(|_| Error::Unknown(status_error(&raw)))
}

async fn ready(lease: &mut Lease, deadline: Instant) -> Result<(), Error> {
    let Some(connection) = lease.connection() else {
        return Err(Error::NotSent(Unsent::ConnectionClosed));
    };
    match timeout_at(deadline, connection.sender.ready()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Error::NotSent(Unsent::ConnectionClosed)),
        Err(_) => Err(Error::NotSent(Unsent::Deadline)),
    }
}

/// Passes the message to the HTTP library and reads the reply.
async fn send_and_receive(
    lease: &mut Lease,
    message: Message,
    protected: bool,
    deadline: Instant,
) -> Result<RawReply, Error> {
    let (server, id) = (lease.server, lease.id);
    let now = lease.shared().now();
    let remaining = deadline.saturating_duration_since(Instant::now());
    let probe_grace = (remaining / PROBE_GRACE_DIVISOR).min(MAX_PROBE_GRACE);
    let record =
        |entry: &mut Entry| entry.detector.request_sent_with_grace(now, id, protected, probe_grace);
    lease.shared().with(server, record);
    lease.mark_sent();
    let limit = lease.shared().settings.max_body_bytes;
    let Some(connection) = lease.connection() else {
        return Err(Error::NotSent(Unsent::ConnectionClosed));
    };
    let cancel = connection.cancel.clone();
    tokio::select! {
        biased;
        _ = cancel.cancelled() => Err(Error::Unknown(Lost::Silent)),
        raw = pause::timeout_at(deadline, round_trip(&mut connection.sender, message, limit)) => {
            raw.unwrap_or(Err(Error::Unknown(Lost::Deadline)))
        }
    }
}

async fn round_trip(
    sender: &mut SendRequest<http_body_util::Full<Bytes>>,
    message: Message,
    limit: usize,
) -> Result<RawReply, Error> {
    match sender.try_send_request(message).await {
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let (body, complete) = read_body(body, limit).await;
            Ok(RawReply { parts, body, complete })
        }
        Err(mut error) => Err(match error.take_message() {
            Some(_) => Error::NotSent(Unsent::ConnectionClosed),
            None => Error::Unknown(Lost::Broken),
        }),
    }
}

/// Reads the body; the flag is true if all of it was received.
async fn read_body(mut body: Incoming, limit: usize) -> (Bytes, bool) {
    let declared = body.size_hint().exact();
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
    let complete = declared.is_none_or(|declared| declared == bytes.len() as u64);
    (bytes.freeze(), complete)
}

fn interpret(raw: RawReply, echoes_attempt: bool, latency: Duration) -> Result<Reply, Error> {
    let headers: &HeaderMap = &raw.parts.headers;
    let report = Report::parse(headers);
    if reply::not_run(headers) && echoes_attempt {
        return Err(Error::Refused { retry_after: reply::retry_after(headers), report });
    }
    if raw.parts.status != StatusCode::OK {
        return Err(Error::Unknown(status_error(&raw)));
    }
    Ok(Reply {
        attempt_id: reply::attempt_id(headers),
        snapshot: reply::snapshot(headers),
        shard: reply::shard(headers),
        report,
        body: raw.body.clone(),
        complete: raw.complete,
        latency,
    })
}

fn status_error(raw: &RawReply) -> Lost {
    let report = Report::parse(&raw.parts.headers);
    Lost::Status { status: raw.parts.status.as_u16(), report }
}

fn mark_read(lease: &mut Lease) {
    mark_read_with(lease, Detector::reply_received);
}

fn mark_read_with(lease: &mut Lease, record: impl FnOnce(&mut Detector, Time, ConnectionId)) {
    lease.mark_read();
    let now = lease.shared().now();
    let id = lease.id;
    lease.shared().with(lease.server, |entry| record(&mut entry.detector, now, id));
}
