//! Messages between an entry node and an upstream server: HTTP/1.1.
//!
//! A request is `POST` [`SHARD_PATH`] with the headers below and the caller's
//! body. Invariant: a reply is valid only if it echoes the attempt, the map, the
//! shard and the version of its request and its body has the declared length.

use std::fmt;
use std::sync::Arc;

use hyper::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::Snapshot;

/// `POST`: run one shard request.
pub const SHARD_PATH: &str = "/v1/shard";
/// `GET`: the server's [`Health`] as JSON.
pub const HEALTH_PATH: &str = "/v1/health";

/// Request and reply: the [`crate::id::Attempt`], echoed.
pub const ATTEMPT_HEADER: &str = "hs-attempt";
/// Request: the service's name.
pub const SERVICE_HEADER: &str = "hs-service";
/// Request and reply: the shard map's name, echoed.
pub const MAP_HEADER: &str = "hs-map";
/// Request and reply: the shard's number in the map, echoed.
pub const SHARD_HEADER: &str = "hs-shard";
/// Request: the requested index version; reply: the version that was searched.
pub const VERSION_HEADER: &str = "hs-version";
/// Request: the time until the deadline, in microseconds.
pub const DEADLINE_US_HEADER: &str = "hs-deadline-us";
/// Request: `urgent` or `routine`.
pub const PRIORITY_HEADER: &str = "hs-priority";
/// Request: `1` if it must not be run twice.
pub const NON_IDEMPOTENT_HEADER: &str = "hs-non-idempotent";
/// Reply: the server's [`Incarnation`] in hex.
pub const INCARNATION_HEADER: &str = "hs-incarnation";
/// Reply: the server's [`State`].
pub const STATE_HEADER: &str = "hs-state";
/// Reply: the number of requests that run or are queued at the server.
pub const LOAD_HEADER: &str = "hs-load";
/// Reply: `1` on a refusal, which guarantees that the request was not run.
pub const NOT_RUN_HEADER: &str = "hs-not-run";
/// Reply, on a refusal: the time to wait before a retry, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "hs-retry-after-ms";

/// The state that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Recently started and still slow.
    Cold,
    /// Ready for its full share of requests.
    #[default]
    Ready,
    /// Shutting down: refuses new requests and finishes the accepted ones.
    Draining,
}

impl State {
    /// Parses the header's value; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "cold" => Some(Self::Cold),
            "ready" => Some(Self::Ready),
            "draining" => Some(Self::Draining),
            _ => None,
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cold => "cold",
            Self::Ready => "ready",
            Self::Draining => "draining",
        })
    }
}

/// The reply of the health endpoint; it may be out of date or wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The server's name.
    pub server: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: State,
    /// The number of requests that run or are queued.
    pub load: u32,
    /// The shards that it can search, with their snapshots.
    #[serde(rename = "holds")]
    pub shard_copies: Vec<ShardCopy>,
}

/// A shard of a snapshot that a server can search.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardCopy {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The shard's number in the snapshot's map.
    pub shard: u32,
}

/// Printed as `Holding`, the name under which logs of injected faults show it.
impl fmt::Debug for ShardCopy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holding")
            .field("snapshot", &self.snapshot)
            .field("shard", &self.shard)
            .finish()
    }
}

/// The server's state as reported in the headers of any reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its incarnation.
    pub incarnation: Option<Incarnation>,
    /// Its state.
    pub state: Option<State>,
    /// The number of requests that run or are queued.
    pub load: Option<u32>,
}

impl Report {
    /// Parses the headers of any reply; absent and malformed values are `None`.
    pub fn parse(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let incarnation = text(INCARNATION_HEADER)
            .and_then(|text| u64::from_str_radix(text, 16).ok())
            .map(Incarnation);
        let state = text(STATE_HEADER).and_then(State::parse);
        let load = text(LOAD_HEADER).and_then(|text| text.parse().ok());
        Self { incarnation, state, load }
    }
}
