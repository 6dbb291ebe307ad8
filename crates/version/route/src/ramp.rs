//! Slow start after a cold start.
//!
//! Invariant: the weight rises from the least to one over the span and then
//! stays one until the next restart.

use std::time::Duration;

use base::time::Time;

/// The weight right after the start.
const LEAST: f64 = 0.1;

/// The slow start of one server.
#[derive(Clone, Debug, Default)]
pub struct Ramp {
    since: Option<Time>,
    followed: bool,
}

impl Ramp {
    /// A server that is warm.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts anew.
    pub fn restart(&mut self, now: Time) {
        self.since = Some(now);
        self.followed = true;
    }

    /// Starts when a server says that it is cold, once for each incarnation, so
    /// that one which always says so still gets its share.
    pub fn cold(&mut self, now: Time) {
        if !self.followed {
            self.restart(now);
        }
    }

    /// The part of its full share of work that the server gets at `now`.
    pub fn weight(&mut self, now: Time, span: Duration) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let passed = now.since(since);
        if passed >= span {
            self.since = None;
            return 1.0;
        }
        LEAST + (1.0 - LEAST) * passed.as_secs_f64() / span.as_secs_f64()
    }

    /// Whether a slow start is under way.
    pub fn is_running(&self) -> bool {
        self.since.is_some()
    }
}
