//! What load is made.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Entry nodes that are asked where to go; several targets are interleaved and
/// told apart like arms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name in the summary; empty to go by the answers' arms.
    pub name: Arc<str>,
    /// The nodes to ask first.
    pub seeds: Vec<SocketAddr>,
}

/// Which of the named entry nodes a caller uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pick {
    /// The first; the next only when it fails.
    #[default]
    First,
    /// Any, drawn anew for each request.
    Any,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where to.
    pub targets: Vec<Target>,
    /// The query service.
    pub service: Arc<str>,
    /// Requests a second, over all callers.
    pub rate: f64,
    /// How long requests are sent.
    pub span: Duration,
    /// Of times, callers, priorities and bodies.
    pub seed: u64,
    /// How many callers there are.
    pub callers: u32,
    /// The share of urgent requests, 0 to 1.
    pub urgent_share: f64,
    /// The share of non-idempotent requests with tickets, 0 to 1.
    pub claim_share: f64,
    /// The deadline that requests name; the service's own if `None`.
    pub deadline: Option<Duration>,
    /// How long the answer to one try is waited for.
    pub patience: Duration,
    /// Shards of the map, if known: answers are held against it.
    pub shards: Option<u32>,
    /// The most tries of one request, the first included.
    pub tries: u32,
    /// Whether requests name the highest version seen as their minimum.
    pub monotonic: bool,
    /// Which entry node is used.
    pub pick: Pick,
    /// The control port of the upstreams, to hold claims against their runs.
    pub control: Option<SocketAddr>,
}

impl Settings {
    /// A run of 10 seconds at 50 requests a second against one target.
    pub fn new(service: &str, seeds: Vec<SocketAddr>) -> Self {
        Self {
            targets: vec![Target { name: Arc::from(""), seeds }],
            service: Arc::from(service),
            rate: 50.0,
            span: Duration::from_secs(10),
            seed: 1,
            callers: 20,
            urgent_share: 0.1,
            claim_share: 0.0,
            deadline: None,
            patience: Duration::from_secs(5),
            shards: None,
            tries: 3,
            monotonic: false,
            pick: Pick::default(),
            control: None,
        }
    }
}
