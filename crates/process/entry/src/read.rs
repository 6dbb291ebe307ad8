//! Takes a caller's request in, up to its route and its whole body.
//!
//! Invariant: a request that is not read has not run and never will.

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

/// How long a caller is told to stay away from a node that knows no
/// configuration yet.
const COME_BACK_TO_START: Duration = Duration::from_millis(500);

/// A request that was read.
pub(crate) struct Read {
    /// The version that it runs by.
    pub(crate) snapshot: Rc<Router>,
    pub(crate) route: Arc<Route>,
    pub(crate) id: HeaderValue,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// Why a request was not read; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Unread {
    #[error("no configuration is known yet")]
    NoConfig,
    #[error("no route matches its host and path")]
    NoRoute,
    #[error("it has no id")]
    NoId,
    #[error("its body is above the limit")]
    LongBody,
    #[error("its body broke off")]
    CutBody,
    #[error("its body did not come in time")]
    SlowBody,
}

impl Unread {
    /// What the caller is told; counts it, and tells the log.
    pub(crate) fn answer(self, process: &Process, id: Option<&HeaderValue>) -> Answer {
        let (status, come_back) = match self {
            Self::NoConfig => (StatusCode::SERVICE_UNAVAILABLE, Some(COME_BACK_TO_START)),
            Self::NoRoute => (StatusCode::NOT_FOUND, None),
            Self::NoId | Self::CutBody => (StatusCode::BAD_REQUEST, None),
            Self::LongBody => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Self::SlowBody => (StatusCode::REQUEST_TIMEOUT, None),
        };
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let known = process.snapshot.borrow().as_ref().map(|snapshot| snapshot.version);
        process.metrics.turned_away(status.as_u16());
        log::info!(target: "request", id, why:% = self, status = status.as_u16(), version = known; "not admitted");
        serve::refusal(status, come_back)
    }
}

/// Finds the route of a request, and takes in its body.
pub(crate) async fn read(
    snapshot: &Rc<Router>,
    ask: &RequestHeaders,
    patience: Duration,
    request: Request<Incoming>,
) -> Result<Read, Unread> {
    let route = route(snapshot, &request).ok_or(Unread::NoRoute)?;
    let id = ask.request_id.clone().ok_or(Unread::NoId)?;
    let (parts, body) = request.into_parts();
    // After this time there is nobody left to answer.
    let limit = route.timeout.min(patience);
    let collecting = Limited::new(body, snapshot.limits.body_bytes).collect();
    let body = match timeout(limit, collecting).await {
        Err(_) => return Err(Unread::SlowBody),
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Unread::LongBody);
        }
        Ok(Err(_)) => return Err(Unread::CutBody),
    };
    Ok(Read { snapshot: Rc::clone(snapshot), route, id, parts, body })
}

/// The route of a request.
fn route(snapshot: &Router, request: &Request<Incoming>) -> Option<Arc<Route>> {
    let host = request.headers().get(header::HOST)?.to_str().ok()?;
    let path = request.uri().path();
    let bare = host.rsplit_once(':').map_or(host, |(name, _)| name);
    snapshot.route(host, path).or_else(|| snapshot.route(bare, path)).cloned()
}
