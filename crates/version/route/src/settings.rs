//! What the table is told at the start of the process.
//!
//! Invariant: the seed is the only source of chance.

use std::sync::Arc;
use std::time::Duration;

use crate::locality::Locality;

/// Settings of a table.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's name, by which home servers are dealt out.
    pub node: Arc<str>,
    /// Where this node is.
    pub locality: Locality,
    /// The seed of all random draws.
    pub seed: u64,
    /// The largest part of a group that advice may rule out, in percent.
    pub rule_out_percent: u32,
    /// How long a slow start takes.
    pub ramp: Duration,
    /// Whether a near replica goes before a far one while load allows.
    pub prefer_near: bool,
    /// The multiple of the fastest replica's expected latency at which a near
    /// one counts as slow.
    pub slow_factor: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            node: Arc::from("node"),
            locality: Locality::default(),
            seed: 0,
            rule_out_percent: 50,
            ramp: Duration::from_secs(10),
            prefer_near: true,
            slow_factor: 2.0,
        }
    }
}
