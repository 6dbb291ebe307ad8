//! What this node itself sees of a server's latency.
//!
//! The mean follows recent samples and fades towards a prior while there are
//! none, so that a server that was slow once is tried again. A request that was
//! cancelled after a wait is a sample of at least that wait.
//!
//! Invariant: memory is fixed; there is no allocation after the first samples.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

/// Weight of a new sample in the mean.
const WEIGHT: f64 = 0.2;
/// Time in which the distance to the prior halves while there are no samples.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Samples that quantiles are taken from.
const WINDOW: usize = 32;

/// The latency of one server.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    mean_us: f64,
    last: Time,
    recent: VecDeque<u32>,
}

impl Latency {
    /// A server without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a sample.
    pub fn sample(&mut self, now: Time, latency: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        let sample = f64::from(micros);
        self.mean_us = match self.recent.is_empty() {
            true => sample,
            false => self.mean_us + WEIGHT * (sample - self.mean_us),
        };
        self.last = now;
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(micros);
    }

    /// Takes in that a request was given up after `waited`.
    pub fn at_least(&mut self, now: Time, waited: Duration) {
        if waited.as_micros() as f64 > self.mean_us {
            self.sample(now, waited);
        }
    }

    /// Whether there was any sample.
    pub fn is_known(&self) -> bool {
        !self.recent.is_empty()
    }

    /// The expected latency at `now` in microseconds, faded towards `prior_us`.
    pub fn expected_us(&self, now: Time, prior_us: f64) -> f64 {
        if self.recent.is_empty() {
            return prior_us;
        }
        let idle = now.since(self.last).as_secs_f64() / HALF_LIFE.as_secs_f64();
        prior_us + (self.mean_us - prior_us) * 0.5_f64.powf(idle)
    }

    /// The latency that `percent` of the recent samples stay at or below.
    pub fn quantile(&self, percent: f64) -> Option<Duration> {
        let mut sorted: Vec<u32> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let last = sorted.len().checked_sub(1)?;
        let index = (percent / 100.0 * last as f64).round() as usize;
        Some(Duration::from_micros(u64::from(sorted[index.min(last)])))
    }

    /// The shortest recent latency, in microseconds.
    pub fn least_us(&self) -> Option<f64> {
        self.recent.iter().min().map(|micros| f64::from(*micros))
    }
}
