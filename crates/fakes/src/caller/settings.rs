//! Settings of a run of the load generator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Entry nodes that callers send lookups to. With several targets, requests are
/// interleaved and each target has its own results, as an experiment's arms have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name in the summary; if it is empty, results are grouped by arm.
    pub name: Arc<str>,
    /// The nodes that lookups are sent to if no cached node answers.
    pub seeds: Vec<SocketAddr>,
}

/// Which of the entry nodes from a lookup a caller uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pick {
    /// The first one, and the next one only if it fails.
    #[default]
    First,
    /// A random one for each request.
    Any,
}

/// Settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where requests are sent.
    pub targets: Vec<Target>,
    /// The query service.
    pub service: Arc<str>,
    /// Requests per second, over all callers.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The seed of times, callers, priorities and bodies.
    pub seed: u64,
    /// The number of callers.
    pub callers: u32,
    /// The share of urgent requests, 0 to 1.
    pub urgent_share: f64,
    /// The share of non-idempotent requests with tickets, 0 to 1.
    pub non_idempotent_share: f64,
    /// The deadline in each request; the service's deadline if `None`.
    pub deadline: Option<Duration>,
    /// The timeout of one try.
    pub reply_timeout: Duration,
    /// The number of shards in the map, if answers are to be checked against it.
    pub shards: Option<u32>,
    /// The maximum number of tries of one request, including the first.
    pub max_tries: u32,
    /// Whether requests have the highest version seen so far as their minimum.
    pub monotonic: bool,
    /// The choice of the entry node for each request.
    pub pick: Pick,
    /// The control port of the upstream servers, to compare the outcomes of
    /// non-idempotent requests with the runs there.
    pub control_address: Option<SocketAddr>,
}

impl Settings {
    /// A run of 10 seconds at 50 requests per second to one target.
    pub fn new(service: &str, seeds: Vec<SocketAddr>) -> Self {
        Self {
            targets: vec![Target { name: Arc::from(""), seeds }],
            service: Arc::from(service),
            rate: 50.0,
            duration: Duration::from_secs(10),
            seed: 1,
            callers: 20,
            urgent_share: 0.1,
            non_idempotent_share: 0.0,
            deadline: None,
            reply_timeout: Duration::from_secs(5),
            shards: None,
            max_tries: 3,
            monotonic: false,
            pick: Pick::default(),
            control_address: None,
        }
    }
}
