//! Random service times.
//!
//! Invariant: the times depend only on the seed and the order of the draws.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::upstream::Service;

/// Draws the service times of one server.
#[derive(Debug)]
pub struct ServiceTimes {
    rng: ChaCha8Rng,
}

impl ServiceTimes {
    /// The service times of one server.
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Draws the next service time and multiplies it by `factor`.
    pub fn next(&mut self, service: &Service, factor: f64) -> Duration {
        let standard_normal = self.standard_normal();
        let is_straggler = self.rng.random::<f64>() < service.straggler_share;
        let straggler_factor = if is_straggler { service.straggler_factor } else { 1.0 };
        let spread = (service.sigma * standard_normal).exp();
        let micros = service.median_us as f64 * spread * straggler_factor * factor;
        Duration::from_micros(micros as u64)
    }

    /// A draw from the standard normal distribution, by the Box-Muller method.
    fn standard_normal(&mut self) -> f64 {
        let radius: f64 = 1.0 - self.rng.random::<f64>();
        let angle: f64 = self.rng.random::<f64>() * std::f64::consts::TAU;
        (-2.0 * radius.ln()).sqrt() * angle.cos()
    }
}
