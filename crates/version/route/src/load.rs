//! A server's load, estimated from this node's requests and the server's reports.
//!
//! Reports lag and can be wrong. The weight of a report decreases with its age,
//! and it adds at most the load that the measured latency implies: a server that
//! answers as fast as it ever did does not count as loaded, whatever it reports.
//! A slow server that reports no load is avoided because of its latency, not
//! because of this estimate.
//!
//! Invariant: the reported load never adds more than the measured latency
//! implies, and never lowers the count of this node's requests.

use std::time::Duration;

use base::time::Time;

/// Age at which a report no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// A server's load.
#[derive(Clone, Debug, Default)]
pub struct Load {
    in_flight: u32,
    reported: Option<(Time, u32)>,
}

impl Load {
    /// A server without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of this node.
    pub fn request_started(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a request of this node.
    pub fn request_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// This node's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records a load report.
    pub fn record_report(&mut self, now: Time, load: u32) {
        self.reported = Some((now, load));
    }

    /// The last report with its time.
    pub fn reported(&self) -> Option<(Time, u32)> {
        self.reported
    }

    /// The estimated number of requests at the server at `now`. `slowdown` is the
    /// expected latency divided by the shortest one, and `slots` the number of
    /// requests that the server runs at once.
    pub fn estimated_load(&self, now: Time, slowdown: f64, slots: u32) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((at, reported)) = self.reported else { return own };
        let age = now.since(at).as_secs_f64() / REPORT_TTL.as_secs_f64();
        let others = (f64::from(reported) - own).max(0.0) * (1.0 - age).max(0.0);
        let implied = (slowdown - 1.0).max(0.0) * f64::from(slots);
        own + others.min(implied)
    }
}
