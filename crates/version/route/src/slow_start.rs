//! Slow start after a cold start.
//!
//! Invariant: the weight rises linearly from the minimum to one over the span and
//! then stays one until the next restart.

use std::time::Duration;

use base::time::Time;

/// The weight right after the start.
const MIN_WEIGHT: f64 = 0.1;

/// The slow start of one server.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    since: Option<Time>,
    /// Whether this incarnation has had its slow start.
    has_started: bool,
}

impl SlowStart {
    /// A server that is warm.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a slow start.
    pub fn restart(&mut self, now: Time) {
        self.since = Some(now);
        self.has_started = true;
    }

    /// Begins a slow start when a server reports that it is cold. This happens once
    /// for each incarnation, so that a server which always reports it still gets
    /// its full share.
    pub fn reported_cold(&mut self, now: Time) {
        if !self.has_started {
            self.restart(now);
        }
    }

    /// The fraction of its full share of requests that the server gets at `now`.
    pub fn weight(&mut self, now: Time, span: Duration) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let passed = now.since(since);
        if passed >= span {
            self.since = None;
            return 1.0;
        }
        MIN_WEIGHT + (1.0 - MIN_WEIGHT) * passed.as_secs_f64() / span.as_secs_f64()
    }

    /// Whether a slow start is under way.
    pub fn is_running(&self) -> bool {
        self.since.is_some()
    }
}
