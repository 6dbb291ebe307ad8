//! An attempt as it is sent to a server.
//!
//! Invariant: the deadline header is written when the request is sent and contains
//! the time that remains then, not the time that remained when it was queued.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::header;

use base::entity::Server;
use wire::caller::Priority;
use wire::id::Attempt;
use wire::id::Snapshot;
use wire::upstream;

/// The server that an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server's reference in the process's table.
    pub server: Server,
    /// Its name, for logs and the state dump.
    pub name: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The number of connections that it accepts from all nodes together.
    pub max_connections: u32,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The attempt's id, echoed by the reply.
    pub attempt: Attempt,
    /// The service's name.
    pub service: Arc<str>,
    /// The snapshot to search.
    pub snapshot: Snapshot,
    /// The shard's number in the snapshot's map.
    pub shard: u32,
    /// The time that remains until the deadline when [`crate::client::Pool::send`] is
    /// called.
    pub timeout: Duration,
    /// The priority.
    pub priority: Priority,
    /// Whether it must not be run twice. Its connection is not closed for silence
    /// before the timeout, since its outcome matters more than a free connection.
    pub non_idempotent: bool,
    /// The body of the caller's request.
    pub body: Bytes,
}

pub(crate) type Message = hyper::Request<Full<Bytes>>;

impl Request {
    /// The HTTP message with `remaining` as the deadline; `None` if a name is not a
    /// valid header value.
    pub(crate) fn message(&self, target: &Target, remaining: Duration) -> Option<Message> {
        let mut builder = hyper::Request::builder()
            .method(Method::POST)
            .uri(upstream::SHARD_PATH)
            .header(header::HOST, target.address.to_string())
            .header(upstream::ATTEMPT_HEADER, self.attempt.to_string())
            .header(upstream::SERVICE_HEADER, &*self.service)
            .header(upstream::MAP_HEADER, &*self.snapshot.map)
            .header(upstream::SHARD_HEADER, self.shard)
            .header(upstream::VERSION_HEADER, self.snapshot.version)
            .header(upstream::DEADLINE_US_HEADER, remaining.as_micros().to_string())
            .header(upstream::PRIORITY_HEADER, self.priority.to_string());
        if self.non_idempotent {
            builder = builder.header(upstream::NON_IDEMPOTENT_HEADER, "1");
        }
        builder.body(Full::new(self.body.clone())).ok()
    }
}

/// The HTTP message that requests a server's health.
pub(crate) fn health(target: &Target) -> Option<Message> {
    hyper::Request::builder()
        .method(Method::GET)
        .uri(upstream::HEALTH_PATH)
        .header(header::HOST, target.address.to_string())
        .body(Full::default())
        .ok()
}
