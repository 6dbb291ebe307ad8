//! What a rate may amount to in a window, over all nodes.

use std::time::Duration;

/// The greatest number of requests in any window: (rate x window + burst) x factor + slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The length of the window.
    pub window: Duration,
    /// The factor on what the rate and the burst allow; at least one.
    pub factor: f64,
    /// The requests beyond that.
    pub slack: f64,
}

impl Bound {
    /// The greatest number of requests in one window at `rate` a second and `burst`.
    pub fn requests(&self, rate: f64, burst: f64) -> f64 {
        self.allowed(rate, burst) * self.factor + self.slack
    }

    /// What the window leaves beyond the rate and the burst.
    pub fn tolerance(&self, rate: f64, burst: f64) -> f64 {
        self.requests(rate, burst) - self.allowed(rate, burst)
    }

    fn allowed(&self, rate: f64, burst: f64) -> f64 {
        rate * self.window.as_secs_f64() + burst
    }
}
