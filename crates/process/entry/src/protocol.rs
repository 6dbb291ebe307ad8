//! What requests and replies carry beside their bodies, whatever its names.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Uri;
use hyper::http::HeaderValue;

use replica::record::Load;

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// The id of this one attempt of the caller.
    pub request_id: Option<HeaderValue>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
}

/// What a server says with a reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyHeaders {
    /// The id of the request that it belongs to.
    pub request_id: Option<HeaderValue>,
    /// The proof that the server made it.
    pub stamp: Option<HeaderValue>,
    /// Whether the server certifies that it did not run the request.
    pub not_run: bool,
    /// Whether another server than the one that was meant has the address.
    pub misdirected: bool,
    /// The load that it told.
    pub load: Option<Load>,
}

/// What a caller asks of a lookup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    /// The caller's data centre, if it told one.
    pub data_centre: Option<String>,
    /// The caller's region, if it told one.
    pub region: Option<String>,
}

/// The names and formats of one deployment.
pub trait Protocol {
    /// Reads what a caller says.
    fn read_request(&self, headers: &HeaderMap) -> RequestHeaders;

    /// Sets what a server is told: the time that is left, and which server is
    /// meant.
    fn write_request(&self, headers: &mut HeaderMap, left: Duration, server: &HeaderValue);

    /// Reads what a server says with a reply of this status.
    fn read_reply(&self, status: u16, headers: &HeaderMap) -> ReplyHeaders;

    /// Sets what an answer over several services says of itself.
    fn write_coverage(&self, headers: &mut HeaderMap, stamps: &[HeaderValue], missing: usize);

    /// Whether a path asks if the node is ready.
    fn is_readiness(&self, uri: &Uri) -> bool;

    /// Reads a lookup; `None` if the path asks for something else.
    fn lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// The body of a lookup's answer.
    fn lookup_body(&self, addresses: &[SocketAddr], ttl: Duration) -> String;
}
