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

fn with_body(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    reply
}

/// Builds a plain-text reply.
pub fn text(status: StatusCode, body: String) -> Reply {
    with_body(status, "text/plain; charset=utf-8", body.into_bytes())
}

/// Builds a JSON reply.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => with_body(status, "application/json", body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Returns the HTTP status for the cause of a refusal.
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

/// Builds the reply for a refusal, with the time to wait before a retry.
pub fn refusal(refusal: &Refusal) -> Reply {
    let mut reply = json(status(refusal.cause), refusal);
    if let Some(ms) = refusal.retry_after_ms {
        // The header has whole seconds; the body has the exact time.
        let seconds = ms.div_ceil(1000);
        reply.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    reply
}
