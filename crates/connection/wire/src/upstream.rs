//! Messages between an entry node and an upstream server: HTTP/1.1.
//!
//! A request is `POST` [`SHARD_PATH`] with the headers below and the caller's
//! body. Invariant: a reply counts only if it echoes the attempt, the map, the
//! shard and the version of its request and is as long as it says.

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
pub const ATTEMPT: &str = "hs-attempt";
/// Request: the service's name.
pub const SERVICE: &str = "hs-service";
/// Request and reply: the shard map's name, echoed.
pub const MAP: &str = "hs-map";
/// Request and reply: the shard's number in the map, echoed.
pub const SHARD: &str = "hs-shard";
/// Request: the wanted index version; reply: the version that answered.
pub const VERSION: &str = "hs-version";
/// Request: the time that is left, in microseconds.
pub const DEADLINE_US: &str = "hs-deadline-us";
/// Request: `urgent` or `routine`.
pub const PRIORITY: &str = "hs-priority";
/// Request: `1` if it must not run twice.
pub const NON_IDEMPOTENT: &str = "hs-non-idempotent";
/// Reply: the server's [`Incarnation`] in hex.
pub const INCARNATION: &str = "hs-incarnation";
/// Reply: the server's [`State`].
pub const STATE: &str = "hs-state";
/// Reply: requests that run or wait at the server.
pub const LOAD: &str = "hs-load";
/// Reply: `1` on a refusal that certifies that the request did not run.
pub const NOT_RUN: &str = "hs-not-run";
/// Reply to a refusal: when to come back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "hs-retry-after-ms";

/// What a server says about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Started a short while ago; slow at first.
    Cold,
    /// Ready for its full share.
    #[default]
    Ready,
    /// Leaving: takes no new work, finishes what it has.
    Draining,
}

impl State {
    /// Reads the header's text; `None` for an unknown word.
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

/// What the health endpoint reports; it may lag or mislead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The server's name.
    pub server: Arc<str>,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it says about itself.
    pub state: State,
    /// Requests that run or wait.
    pub load: u32,
    /// The snapshots and shards that it can answer.
    pub holds: Vec<Holding>,
}

/// A shard of a snapshot that a server can answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The shard's number in the snapshot's map.
    pub shard: u32,
}

/// What a server says about itself on any reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its life.
    pub incarnation: Option<Incarnation>,
    /// Whether it is cold, ready or draining.
    pub state: Option<State>,
    /// Requests that run or wait there.
    pub load: Option<u32>,
}

impl Report {
    /// Reads the headers of any reply; what is absent or malformed is `None`.
    pub fn parse(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let incarnation =
            text(INCARNATION).and_then(|text| u64::from_str_radix(text, 16).ok()).map(Incarnation);
        let state = text(STATE).and_then(State::parse);
        let load = text(LOAD).and_then(|text| text.parse().ok());
        Self { incarnation, state, load }
    }
}
