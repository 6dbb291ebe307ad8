//! Estimates how long the requests of a route take at a server of normal speed.
//! The slowness of each server is measured relative to this estimate.
//!
//! Invariant: an estimate is always positive, also before the first sample.

use std::time::Duration;

/// The maximum number of samples that the mean is assumed to be of: a new sample
/// weighs at least 1/64.
const MAX_SAMPLES: f64 = 64.0;
/// Samples above this multiple of the current mean are clipped to it, so that one
/// slow server does not raise the estimate of the whole route.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// The estimate before the first sample, as a fraction of the route's objective.
const INITIAL_FRACTION: f64 = 0.12;
/// The smallest estimate, in microseconds; shorter samples are not accurate.
const MIN_MEAN_US: f64 = 200.0;

/// The mean service time of one route's requests, without the network time.
#[derive(Clone, Debug)]
pub struct Estimator {
    mean_us: f64,
    samples: f64,
}

impl Estimator {
    /// An estimator for a route with the latency objective `objective`.
    pub fn new(objective: Duration) -> Self {
        let mean_us = (objective.as_micros() as f64 * INITIAL_FRACTION).max(MIN_MEAN_US);
        Self { mean_us, samples: 0.0 }
    }

    /// Adds the service time of one request.
    pub fn sample(&mut self, took: Duration) {
        let clipped =
            (took.as_micros() as f64).clamp(MIN_MEAN_US, self.mean_us * MAX_SAMPLE_FACTOR);
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean_us += (clipped - self.mean_us) / self.samples.max(4.0);
    }

    /// The current estimate.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }
}
