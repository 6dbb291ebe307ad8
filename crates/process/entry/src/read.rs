//! Receives a caller's request: finds its route and reads its body.
//!
//! Invariant: no part of a request that is rejected here has run or will run.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::timeout;

use crate::process::Process;
use crate::protocol::RequestHeaders;
use crate::serve;
use crate::serve::Answer;
use site::router::Route;
use site::router::Router;

/// The `Retry-After` of a node that has no configuration yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that has a route and was read completely.
pub(crate) struct AdmittedRequest {
    /// The routes that were in use when the request arrived; it uses them to its end.
    pub(crate) router: Rc<Router>,
    pub(crate) route: Arc<Route>,
    pub(crate) id: HeaderValue,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// Why a request was rejected before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    #[error("no configuration is known yet")]
    NoConfig,
    #[error("no route matches its host and path")]
    NoRoute,
    #[error("its route and its customer allow no region in common")]
    NoCommonRegion,
    #[error("it has no id")]
    NoRequestId,
    #[error("its body is above the limit")]
    BodyTooLarge,
    #[error("its body broke off")]
    BodyAborted,
    #[error("its body did not come in time")]
    BodyTimeout,
}

impl Rejection {
    /// Records the rejection in metrics and log, and returns the answer to the caller.
    pub(crate) fn into_answer(self, process: &Process, id: Option<&HeaderValue>) -> Answer {
        let (status, retry_after) = match self {
            Self::NoConfig => (StatusCode::SERVICE_UNAVAILABLE, Some(STARTUP_RETRY_AFTER)),
            Self::NoRoute => (StatusCode::NOT_FOUND, None),
            Self::NoCommonRegion => (StatusCode::FORBIDDEN, None),
            Self::NoRequestId | Self::BodyAborted => (StatusCode::BAD_REQUEST, None),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Self::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, None),
        };
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let current_version = process.router.borrow().as_ref().map(|router| router.version);
        process.metrics.record_rejection(status.as_u16());
        log::info!(target: "request", id, why:% = self, status = status.as_u16(), version = current_version; "not admitted");
        serve::empty_answer(status, retry_after)
    }
}

/// Finds the route of a request and reads its body.
pub(crate) async fn read(
    router: &Rc<Router>,
    headers: &RequestHeaders,
    caller_timeout: Duration,
    request: Request<Incoming>,
) -> Result<AdmittedRequest, Rejection> {
    let route = route(router, &request).ok_or(Rejection::NoRoute)?;
    let id = headers.request_id.clone().ok_or(Rejection::NoRequestId)?;
    let (parts, body) = request.into_parts();
    // After this time the caller no longer waits.
    let body_timeout = route.timeout.min(caller_timeout);
    let collecting = Limited::new(body, router.limits.body_bytes).collect();
    let body = match timeout(body_timeout, collecting).await {
        Err(_) => return Err(Rejection::BodyTimeout),
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Rejection::BodyTooLarge);
        }
        Ok(Err(_)) => return Err(Rejection::BodyAborted),
    };
    Ok(AdmittedRequest { router: Rc::clone(router), route, id, parts, body })
}

/// The route for a request's host, with or without its port, and path.
fn route(router: &Router, request: &Request<Incoming>) -> Option<Arc<Route>> {
    let host = request.headers().get(header::HOST)?.to_str().ok()?;
    let path = request.uri().path();
    let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
    router.route(host, path).or_else(|| router.route(without_port, path)).cloned()
}
