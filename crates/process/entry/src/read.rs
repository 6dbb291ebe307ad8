//! Receives a caller's request: finds its route and reads its body.
//!
//! Invariant: no part of a request that is rejected here has run or will run.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::timeout;

use crate::buffer::Buffer;
use crate::customers;
use crate::inbound;
use crate::inbound::Connection;
use crate::process::Process;
use crate::protocol::RequestHeaders;
use crate::serve;
use crate::serve::Answer;
use crate::usage;
use customer::book::Customer;
use site::router::Route;
use site::router::Router;

/// The `Retry-After` of a node that has no configuration yet, or an old one.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that has a route and was read completely.
pub(crate) struct AdmittedRequest {
    /// The routes that were in use when the request arrived; it uses them to its end.
    pub(crate) router: Rc<Router>,
    pub(crate) route: Arc<Route>,
    pub(crate) id: HeaderValue,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// The memory of the body.
    pub(crate) held: inbound::Body,
}

/// A request that was rejected before it ran.
#[derive(Debug)]
pub(crate) struct Rejected {
    pub(crate) why: Rejection,
    /// The customer, if it was identified before.
    pub(crate) customer: Option<Arc<Customer>>,
}

impl From<Rejection> for Rejected {
    fn from(why: Rejection) -> Self {
        Self { why, customer: None }
    }
}

/// Why a request was rejected before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    #[error("no configuration is known yet")]
    NoConfig,
    #[error("this node stops, and has no time left for it")]
    Stopping,
    #[error("no route matches its host and path")]
    NoRoute,
    #[error("its route and its customer allow no region in common")]
    NoCommonRegion,
    #[error("it has no id")]
    NoRequestId,
    #[error("it has no key")]
    NoKey,
    #[error("its key is unknown")]
    UnknownKey,
    #[error("this node's configuration may be too old to check its key")]
    Unconfirmed,
    #[error("the customer's quota is used up")]
    AboveQuota { wait: Duration },
    #[error(
        "trimmed: the servers are too busy, and its customer has the most demand for its quota"
    )]
    Trimmed { wait: Duration },
    #[error("its body is above the limit")]
    BodyTooLarge,
    #[error("its body broke off")]
    BodyAborted,
    #[error("its body did not come in time")]
    BodyTimeout,
    #[error("there is no memory for its body")]
    NoMemory,
}

impl Rejection {
    /// Records the rejection in metrics and log, and returns the answer to the caller.
    pub(crate) fn into_answer(
        self,
        process: &Process,
        id: Option<&HeaderValue>,
        customer: Option<&Customer>,
    ) -> Answer {
        let (status, retry_after) = match self {
            Self::NoConfig | Self::Unconfirmed => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(STARTUP_RETRY_AFTER))
            }
            Self::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, Some(serve::DEFAULT_RETRY_AFTER)),
            Self::Stopping => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(serve::OTHER_NODE_RETRY_AFTER))
            }
            Self::NoKey | Self::UnknownKey => (StatusCode::UNAUTHORIZED, None),
            Self::AboveQuota { wait } => (StatusCode::TOO_MANY_REQUESTS, Some(wait)),
            Self::Trimmed { wait } => (StatusCode::SERVICE_UNAVAILABLE, Some(wait)),
            Self::NoRoute => (StatusCode::NOT_FOUND, None),
            Self::NoCommonRegion => (StatusCode::FORBIDDEN, None),
            Self::NoRequestId | Self::BodyAborted => (StatusCode::BAD_REQUEST, None),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Self::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, None),
        };
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let current_version = process.router.borrow().as_ref().map(|router| router.version);
        process.metrics.record_rejection(status.as_u16());
        if let Some(customer) = customer {
            let mut stats = process.customer_stats.borrow_mut();
            match self {
                Self::Trimmed { .. } => stats.refused_below(&customer.name),
                _ => stats.refused(&customer.name),
            }
        }
        let for_rate = matches!(self, Self::AboveQuota { .. } | Self::Trimmed { .. });
        let demand = customer.filter(|_| for_rate);
        let demand = demand.and_then(|customer| usage::demand(process, customer.key));
        let customer = customer.map(|customer| customer.name.as_ref());
        log::info!(
            target: "request",
            id,
            customer,
            why:% = self,
            status = status.as_u16(),
            version = current_version,
            quota_per_s = demand.map(|demand| demand.rate),
            demand_per_s = demand.map(|demand| demand.per_second),
            share_per_s = demand.map(|demand| demand.share);
            "not admitted"
        );
        serve::empty_answer(status, retry_after)
    }
}

/// How a request is read.
pub(crate) struct Reading<'a> {
    pub(crate) router: &'a Rc<Router>,
    pub(crate) headers: &'a RequestHeaders,
    pub(crate) caller_timeout: Duration,
    /// The connection on which it arrives.
    pub(crate) connection: &'a Connection,
}

/// Finds the route and the customer of a request and reads its body.
pub(crate) async fn read(
    process: &Process,
    reading: Reading<'_>,
    request: Request<Incoming>,
) -> Result<AdmittedRequest, Rejected> {
    let Reading { router, headers, caller_timeout, connection } = reading;
    let route = route(router, &request).ok_or(Rejection::NoRoute)?;
    let id = headers.request_id.clone().ok_or(Rejection::NoRequestId)?;
    let customer = customers::identify(process, router, &route, headers)?;
    let (mut parts, body) = request.into_parts();
    // Also without customers: the configuration of a node that passes requests on, or of the caller,
    // may have them.
    process.protocol.remove_credential(&mut parts.headers);
    let rejected = |why| Rejected { why, customer: customer.clone() };
    // After this time the caller no longer waits.
    let body_timeout = route.timeout.min(caller_timeout);
    let mut held = connection.body();
    let collecting = collect(process, body, router.limits.body_bytes, &mut held);
    let collected = tokio::select! {
        collected = timeout(body_timeout, collecting) => {
            collected.unwrap_or(Err(Rejection::BodyTimeout))
        }
        () = connection.body_ended() => Err(Rejection::NoMemory),
    };
    let body = collected.map_err(rejected)?;
    Ok(AdmittedRequest { router: Rc::clone(router), route, id, customer, parts, body, held })
}

/// Reads a body of at most `max` bytes.
async fn collect(
    process: &Process,
    mut body: Incoming,
    max: usize,
    held: &mut inbound::Body,
) -> Result<Bytes, Rejection> {
    if body.size_hint().lower() > max as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let mut buffer = Buffer::with_max(max);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::BodyAborted)?;
        // Copied, since a frame keeps the library's whole read buffer.
        let Ok(data) = frame.into_data() else { continue };
        let growth = buffer.growth(data.len()).ok_or(Rejection::BodyTooLarge)?;
        if growth > 0 && !held.grow(process.clock.now(), growth) {
            return Err(Rejection::NoMemory);
        }
        buffer.push(&data);
    }
    Ok(buffer.into_bytes())
}

/// The route for a request's host, with or without its port, and path.
fn route(router: &Router, request: &Request<Incoming>) -> Option<Arc<Route>> {
    let host = request.headers().get(header::HOST)?.to_str().ok()?;
    let path = request.uri().path();
    let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
    router.route(host, path).or_else(|| router.route(without_port, path)).cloned()
}
