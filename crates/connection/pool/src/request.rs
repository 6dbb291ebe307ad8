//! One attempt as it goes to one server.
//!
//! Invariant: the deadline header is written at the moment of sending and holds
//! the time that is left then, not the time that was left at queueing.

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

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server's reference in the process's table.
    pub server: Server,
    /// Its name, for logs and the dump.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The connections that it accepts, over all nodes.
    pub connections: u32,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, echoed by the reply.
    pub attempt: Attempt,
    /// The service's name.
    pub service: Arc<str>,
    /// The wanted snapshot.
    pub snapshot: Snapshot,
    /// The shard's number in the snapshot's map.
    pub shard: u32,
    /// The time that is left when [`crate::client::Pool::send`] is called.
    pub deadline: Duration,
    /// How urgent it is.
    pub priority: Priority,
    /// Whether it must not run twice. Its connection is never given up for
    /// silence before the deadline, since its outcome matters more than a place.
    pub non_idempotent: bool,
    /// The caller's body.
    pub body: Bytes,
}

pub(crate) type Message = hyper::Request<Full<Bytes>>;

impl Request {
    /// The HTTP message with `left` as the deadline; `None` if a name holds
    /// what a header can't.
    pub(crate) fn message(&self, target: &Target, left: Duration) -> Option<Message> {
        let mut builder = hyper::Request::builder()
            .method(Method::POST)
            .uri(upstream::SHARD_PATH)
            .header(header::HOST, target.address.to_string())
            .header(upstream::ATTEMPT_HEADER, self.attempt.to_string())
            .header(upstream::SERVICE_HEADER, &*self.service)
            .header(upstream::MAP_HEADER, &*self.snapshot.map)
            .header(upstream::SHARD_HEADER, self.shard)
            .header(upstream::VERSION_HEADER, self.snapshot.version)
            .header(upstream::DEADLINE_US_HEADER, left.as_micros().to_string())
            .header(upstream::PRIORITY_HEADER, self.priority.to_string());
        if self.non_idempotent {
            builder = builder.header(upstream::NON_IDEMPOTENT_HEADER, "1");
        }
        builder.body(Full::new(self.body.clone())).ok()
    }
}

/// The message that asks a server for its health.
pub(crate) fn health(target: &Target) -> Option<Message> {
    hyper::Request::builder()
        .method(Method::GET)
        .uri(upstream::HEALTH_PATH)
        .header(header::HOST, target.address.to_string())
        .body(Full::default())
        .ok()
}
