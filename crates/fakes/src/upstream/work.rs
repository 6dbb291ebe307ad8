//! How long a request takes.
//!
//! Invariant: the times follow from the seed and the order of the draws alone.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::upstream::Service;

/// Draws the service times of one server.
#[derive(Debug)]
pub struct Work {
    rng: ChaCha8Rng,
}

impl Work {
    /// The draws of one server.
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The next service time; `factor` multiplies it.
    pub fn next(&mut self, service: &Service, factor: f64) -> Duration {
        let normal = self.normal();
        let straggles = self.rng.random::<f64>() < service.straggler_share;
        let straggler = if straggles { service.straggler_factor } else { 1.0 };
        let spread = (service.sigma * normal).exp();
        let micros = service.median_us as f64 * spread * straggler * factor;
        Duration::from_micros(micros as u64)
    }

    /// A standard normal draw, by the method of Box and Muller.
    fn normal(&mut self) -> f64 {
        let radius: f64 = 1.0 - self.rng.random::<f64>();
        let angle: f64 = self.rng.random::<f64>() * std::f64::consts::TAU;
        (-2.0 * radius.ln()).sqrt() * angle.cos()
    }
}
