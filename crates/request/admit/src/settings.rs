//! Settings of an admission controller.
//!
//! Invariant: the seed is the only source of randomness.

use std::time::Duration;

use conf::object::Admission;

/// Settings of an admission controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings from the service's policy.
    pub admit: Admission,
    /// The cost of a request to all shards, in shards.
    pub full_cost: u32,
    /// This node's share of the upstreams' slots, as the number of requests to all
    /// shards that it can run at once; `None` if it is not known.
    pub share: Option<f64>,
    /// The longest wait, in percent of the time between arrival and deadline.
    pub max_wait_percent: u32,
    /// The expected service time before any was measured.
    pub initial_service_time: Duration,
    /// The seed of the jitter of retry-after times.
    pub seed: u64,
}

impl Settings {
    /// Creates settings from a policy and the number of shards in the map.
    pub fn new(admit: Admission, shards: u32) -> Self {
        Self {
            admit,
            full_cost: shards.max(1),
            share: None,
            max_wait_percent: 30,
            initial_service_time: Duration::from_millis(10),
            seed: 0,
        }
    }

    /// Sets the share of the upstreams' slots that this node may use.
    pub fn with_share(self, share: f64) -> Self {
        Self { share: Some(share), ..self }
    }

    /// Sets the seed.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
