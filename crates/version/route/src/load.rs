//! How busy a server is, by own requests and by its reports.
//!
//! Reports lag and mislead. A report fades with its age and counts at most what
//! the latency that this node sees speaks for: a server that answers as fast as
//! it ever did is not busy, whatever it says, and one that says it is idle while
//! it is slow is judged by its latency.
//!
//! Invariant: the reported part never exceeds what own latency implies, nor
//! does it lower the own part.

use std::time::Duration;

use base::time::Time;

/// Age at which a report no longer counts.
const LASTS: Duration = Duration::from_secs(2);

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

    /// Notes an own request.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Notes the end of an own request.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Own requests that run.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Notes a report.
    pub fn report(&mut self, now: Time, load: u32) {
        self.reported = Some((now, load));
    }

    /// The last report with its time.
    pub fn reported(&self) -> Option<(Time, u32)> {
        self.reported
    }

    /// Requests that are believed to be there at `now`. `stretch` is the recent
    /// latency over the shortest one, and `slots` what the server runs at once.
    pub fn estimated_load(&self, now: Time, stretch: f64, slots: u32) -> f64 {
        let own = f64::from(self.in_flight);
        let Some((at, reported)) = self.reported else { return own };
        let age = now.since(at).as_secs_f64() / LASTS.as_secs_f64();
        let others = (f64::from(reported) - own).max(0.0) * (1.0 - age).max(0.0);
        let implied = (stretch - 1.0).max(0.0) * f64::from(slots);
        own + others.min(implied)
    }
}
