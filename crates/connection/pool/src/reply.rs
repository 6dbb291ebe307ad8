//! What came back from a server, as it said it; nothing is trusted here.
//!
//! Invariant: the echoes are those of the reply and never filled in from the
//! request, so that a swapped or late reply shows.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;

use wire::id::Attempt;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream;
use wire::upstream::State;

/// What a server says about itself on any reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Its life.
    pub incarnation: Option<Incarnation>,
    /// Whether it is cold, ready or draining.
    pub state: Option<State>,
    /// Requests that run or wait there.
    pub load: Option<u32>,
}

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

impl Report {
    /// Reads the headers of any reply.
    pub fn parse(headers: &HeaderMap) -> Self {
        let incarnation = text(headers, upstream::INCARNATION)
            .and_then(|text| u64::from_str_radix(text, 16).ok())
            .map(Incarnation);
        let state = text(headers, upstream::STATE).and_then(State::parse);
        let load = text(headers, upstream::LOAD).and_then(|text| text.parse().ok());
        Self { incarnation, state, load }
    }
}

pub(crate) fn echo(headers: &HeaderMap) -> Option<Attempt> {
    text(headers, upstream::ATTEMPT)?.parse().ok()
}

pub(crate) fn snapshot(headers: &HeaderMap) -> Option<Snapshot> {
    let version = text(headers, upstream::VERSION)?.parse().ok()?;
    Some(Snapshot { version, map: text(headers, upstream::MAP)?.into() })
}

pub(crate) fn shard(headers: &HeaderMap) -> Option<u32> {
    text(headers, upstream::SHARD)?.parse().ok()
}

pub(crate) fn not_run(headers: &HeaderMap) -> bool {
    text(headers, upstream::NOT_RUN) == Some("1")
}

pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let millis = text(headers, upstream::RETRY_AFTER_MS)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
