//! The reply of a server, not validated.
//!
//! Invariant: the echoed values are taken from the reply's headers and never from
//! the request, so that a swapped or late reply can be detected.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;

use wire::id::Attempt;
use wire::id::Snapshot;
use wire::upstream;
use wire::upstream::Report;

/// A reply of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The attempt that the reply names.
    pub attempt_id: Option<Attempt>,
    /// The snapshot that the reply names.
    pub snapshot: Option<Snapshot>,
    /// The shard that the reply names.
    pub shard: Option<u32>,
    /// The state that the server reported.
    pub report: Report,
    /// The body, as far as it was received.
    pub body: Bytes,
    /// Whether the body has the declared length.
    pub complete: bool,
    /// The time from passing the request to the HTTP library to the end of the body.
    pub latency: Duration,
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub(crate) fn attempt_id(headers: &HeaderMap) -> Option<Attempt> {
    header(headers, upstream::ATTEMPT_HEADER)?.parse().ok()
}

pub(crate) fn snapshot(headers: &HeaderMap) -> Option<Snapshot> {
    let version = header(headers, upstream::VERSION_HEADER)?.parse().ok()?;
    Some(Snapshot { version, map: header(headers, upstream::MAP_HEADER)?.into() })
}

pub(crate) fn shard(headers: &HeaderMap) -> Option<u32> {
    header(headers, upstream::SHARD_HEADER)?.parse().ok()
}

pub(crate) fn not_run(headers: &HeaderMap) -> bool {
    header(headers, upstream::NOT_RUN_HEADER) == Some("1")
}

pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let millis = header(headers, upstream::RETRY_AFTER_MS_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
