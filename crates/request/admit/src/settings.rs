//! What a controller is told.
//!
//! Invariant: the seed is the only source of chance.

use std::time::Duration;

use conf::object::Admit;

/// Settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The policy's part.
    pub admit: Admit,
    /// The cost of a request to all shards, in shards.
    pub full_cost: u32,
    /// The requests to all shards that this node's part of the upstreams' slots
    /// can run at once; `None` if it is not known.
    pub share: Option<f64>,
    /// The longest wait, in percent of the time that was left on arrival.
    pub most_wait_percent: u32,
    /// The service time that is expected before any was seen.
    pub first_guess: Duration,
    /// The seed of the spread of the times to come back.
    pub seed: u64,
}

impl Settings {
    /// Settings from a policy for a map of `shards` shards.
    pub fn new(admit: Admit, shards: u32) -> Self {
        Self {
            admit,
            full_cost: shards.max(1),
            share: None,
            most_wait_percent: 30,
            first_guess: Duration::from_millis(10),
            seed: 0,
        }
    }

    /// The same with the part of the slots that this node may fill.
    pub fn with_share(self, share: f64) -> Self {
        Self { share: Some(share), ..self }
    }

    /// The same with another seed.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }
}
