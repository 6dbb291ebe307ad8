//! The interface to a deployment's HTTP protocol: headers and paths of requests,
//! replies and lookups.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Uri;
use hyper::http::HeaderValue;

use customer::key::Secret;
use replica::limit::Stated;
use replica::record::Load;

/// The data in the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// The id of the caller's request; a retry has a new one.
    pub request_id: Option<HeaderValue>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The key by which the caller identifies its customer.
    pub credential: Option<Secret>,
}

/// The data in the headers of a server's reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyHeaders {
    /// The id of the request that the reply belongs to.
    pub request_id: Option<HeaderValue>,
    /// The stamp that proves which server made the reply.
    pub stamp: Option<HeaderValue>,
    /// Whether the head has parts of more than one reply.
    pub is_joined: bool,
    /// Whether the server certifies that it did not run the request.
    pub not_run: bool,
    /// Whether the address belongs to another server than the intended one.
    pub misdirected: bool,
    /// The load that the server reported.
    pub load: Option<Load>,
    /// For how long the server wants no more requests from this node.
    pub retry_after: Option<Duration>,
    /// What it says about a limit on the requests per second from all nodes.
    pub limit: Stated,
    /// How much longer the server is cold, if it states that.
    pub warmup: Option<Duration>,
    /// Whether the server leaves and must get no more requests.
    pub leaving: bool,
    /// The id of the server that replied, if it states one.
    pub server_id: Option<Arc<str>>,
}

/// A caller's lookup of entry nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    /// The caller's data centre, if given.
    pub data_centre: Option<String>,
    /// The caller's region, if given.
    pub region: Option<String>,
    /// The host to which the caller's requests go, if given.
    pub host: Option<String>,
}

/// The HTTP protocol of a deployment.
pub trait Protocol {
    /// Parses the headers of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHeaders;

    /// Sets the headers of a request to a server: the time that is left until the
    /// deadline, and the id of the server that it is addressed to.
    fn write_request(&self, headers: &mut HeaderMap, left: Duration, server: &HeaderValue);

    /// Removes the caller's key.
    fn remove_credential(&self, headers: &mut HeaderMap);

    /// Replaces what the caller sent as its customer by `name`.
    fn write_customer(&self, headers: &mut HeaderMap, name: Option<&str>);

    /// Adds the caller's key, for another node.
    fn write_credential(&self, headers: &mut HeaderMap, credential: &Secret);

    /// Sets how long the sender waits for the answer.
    fn write_timeout(&self, headers: &mut HeaderMap, left: Duration);

    /// Parses the headers of a server's reply with this status.
    fn read_reply(&self, status: u16, headers: &HeaderMap) -> ReplyHeaders;

    /// Sets the headers of a merged answer: the stamps of its replies, and the number
    /// of missing shards.
    fn write_coverage(&self, headers: &mut HeaderMap, stamps: &[HeaderValue], missing: usize);

    /// Whether the path is that of readiness checks.
    fn is_readiness(&self, uri: &Uri) -> bool;

    /// Parses a lookup; `None` if the path is not that of lookups.
    fn lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// The body of the answer to a lookup; callers may cache it for `ttl`.
    fn lookup_body(&self, addresses: &[SocketAddr], ttl: Duration) -> String;
}
