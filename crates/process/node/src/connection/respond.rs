//! Builds replies to callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

use crate::connection::http_server::Reply;
use wire::caller::Cause;
use wire::caller::Refusal;

fn whole(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    reply
}

/// A reply of plain text.
pub fn text(status: StatusCode, body: String) -> Reply {
    whole(status, "text/plain; charset=utf-8", body.into_bytes())
}

/// A reply of JSON.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => whole(status, "application/json", body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// The HTTP status that stands for a refusal's cause.
fn status(cause: Cause) -> StatusCode {
    match cause {
        Cause::Invalid | Cause::NoTicket | Cause::BadTicket => StatusCode::BAD_REQUEST,
        Cause::NoService => StatusCode::NOT_FOUND,
        Cause::Overload => StatusCode::TOO_MANY_REQUESTS,
        Cause::Deadline | Cause::LostReply => StatusCode::GATEWAY_TIMEOUT,
        Cause::NoSnapshot
        | Cause::Unreachable
        | Cause::Refused
        | Cause::MinterGone
        | Cause::Cancelled
        | Cause::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// A refusal, sent at once and saying when to come back.
pub fn refusal(refusal: &Refusal) -> Reply {
    let mut reply = json(status(refusal.cause), refusal);
    if let Some(ms) = refusal.retry_after_ms {
        // The header counts whole seconds; the body has the exact time.
        let seconds = ms.div_ceil(1000);
        reply.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    reply
}
