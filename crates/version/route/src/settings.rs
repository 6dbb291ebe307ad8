//! The settings of a table, fixed at the start of the process.
//!
//! Invariant: the seed is the only source of randomness.

use std::sync::Arc;
use std::time::Duration;

use crate::locality::Locality;

/// Settings of a table.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's name, from which its home servers follow.
    pub node: Arc<str>,
    /// Where this node is.
    pub locality: Locality,
    /// The seed of all random draws.
    pub seed: u64,
    /// The largest part of a group that may be ejected, in percent.
    pub max_ejection_percent: u32,
    /// The duration of a slow start.
    pub slow_start: Duration,
    /// Whether a near replica is preferred to a far one while it has capacity.
    pub prefer_near: bool,
    /// The multiple of the fastest replica's expected latency above which a near
    /// replica counts as slow.
    pub slow_factor: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            node: Arc::from("node"),
            locality: Locality::default(),
            seed: 0,
            max_ejection_percent: 50,
            slow_start: Duration::from_secs(10),
            prefer_near: true,
            slow_factor: 2.0,
        }
    }
}
