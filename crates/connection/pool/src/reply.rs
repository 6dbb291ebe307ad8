//! What came back from a server, as it said it; nothing is trusted here.
//!
//! Invariant: the echoes are those of the reply and never filled in from the
//! request, so that a swapped or late reply shows.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;

use wire::id::Attempt;
use wire::id::Snapshot;
use wire::upstream;
use wire::upstream::Report;

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The attempt that it says to answer.
    pub echo: Option<Attempt>,
    /// The snapshot that it says to come from.
    pub snapshot: Option<Snapshot>,
    /// The shard that it says to cover.
    pub shard: Option<u32>,
    /// What the server said about itself.
    pub report: Report,
    /// The body, as far as it came.
    pub body: Bytes,
    /// Whether the body is as long as the reply said.
    pub complete: bool,
    /// From handing the request over until the end of the body.
    pub latency: Duration,
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub(crate) fn echo(headers: &HeaderMap) -> Option<Attempt> {
    text(headers, upstream::ATTEMPT_HEADER)?.parse().ok()
}

pub(crate) fn snapshot(headers: &HeaderMap) -> Option<Snapshot> {
    let version = text(headers, upstream::VERSION_HEADER)?.parse().ok()?;
    Some(Snapshot { version, map: text(headers, upstream::MAP_HEADER)?.into() })
}

pub(crate) fn shard(headers: &HeaderMap) -> Option<u32> {
    text(headers, upstream::SHARD_HEADER)?.parse().ok()
}

pub(crate) fn not_run(headers: &HeaderMap) -> bool {
    text(headers, upstream::NOT_RUN_HEADER) == Some("1")
}

pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let millis = text(headers, upstream::RETRY_AFTER_MS_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
