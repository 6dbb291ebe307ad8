//! A server's latency as this node measures it.
//!
//! The estimate is a moving average that decays towards a prior while there are
//! no samples, so that a server that was slow once is tried again. A request that
//! was cancelled after a wait is a sample of at least that wait.
//!
//! Invariant: memory is bounded; nothing is allocated after the first samples.

use std::collections::VecDeque;
use std::time::Duration;

use base::time::Time;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time in which the difference from the prior halves while there are no samples.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(5);
/// Number of recent samples that quantiles are taken from.
const WINDOW: usize = 32;

/// The latency of one server.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    mean_us: f64,
    last_sample: Time,
    recent: VecDeque<u32>,
}

impl Latency {
    /// A server without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sample.
    pub fn record_sample(&mut self, now: Time, latency: Duration) {
        let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
        let sample = f64::from(micros);
        self.mean_us = match self.recent.is_empty() {
            true => sample,
            false => self.mean_us + SAMPLE_WEIGHT * (sample - self.mean_us),
        };
        self.last_sample = now;
        if self.recent.len() == WINDOW {
            self.recent.pop_front();
        }
        self.recent.push_back(micros);
    }

    /// Records that a request was cancelled after `waited`.
    pub fn record_cancelled(&mut self, now: Time, waited: Duration) {
        if waited.as_micros() as f64 > self.mean_us {
            self.record_sample(now, waited);
        }
    }

    /// Whether there are any samples.
    pub fn has_samples(&self) -> bool {
        !self.recent.is_empty()
    }

    /// The expected latency at `now` in microseconds, decayed towards `prior_us`.
    pub fn expected_us(&self, now: Time, prior_us: f64) -> f64 {
        if self.recent.is_empty() {
            return prior_us;
        }
        let half_lives = now.since(self.last_sample).as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64();
        prior_us + (self.mean_us - prior_us) * 0.5_f64.powf(half_lives)
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
    pub fn min_us(&self) -> Option<f64> {
        self.recent.iter().min().map(|micros| f64::from(*micros))
    }
}
