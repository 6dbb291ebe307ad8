//! How long the requests of a route take at a server that is not slowed: the
//! scale against which each server's own pace is measured.
//!
//! Invariant: a pace is always positive, also before the first sample.

use std::time::Duration;

/// The samples that a new one is weighed against.
const MEMORY: f64 = 64.0;
/// Samples above this multiple of the present pace count as this multiple, so
/// that a slowed server does not pass for a slow route.
const CLIP: f64 = 3.0;
/// The pace that is assumed until samples say otherwise, as a part of the
/// route's objective.
const PRIOR_PART: f64 = 0.12;
/// The shortest pace, in microseconds: a sample is never exact below it.
const LEAST_US: f64 = 200.0;

/// The usual time of one route's requests at a server, the way there left out.
#[derive(Clone, Debug)]
pub struct Pace {
    mean_us: f64,
    samples: f64,
}

impl Pace {
    /// The pace of a route that aims at `objective`.
    pub fn new(objective: Duration) -> Self {
        let mean_us = (objective.as_micros() as f64 * PRIOR_PART).max(LEAST_US);
        Self { mean_us, samples: 0.0 }
    }

    /// Takes in the time that a server took.
    pub fn sample(&mut self, took: Duration) {
        let clipped = (took.as_micros() as f64).clamp(LEAST_US, self.mean_us * CLIP);
        self.samples = (self.samples + 1.0).min(MEMORY);
        self.mean_us += (clipped - self.mean_us) / self.samples.max(4.0);
    }

    /// The usual time.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }
}
