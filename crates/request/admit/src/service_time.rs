//! Estimates the service time of requests.
//!
//! Invariant: the baseline is the lowest mean of the last windows, so that it
//! follows if the upstreams become permanently slower.

use std::time::Duration;

use base::time::Time;

/// Weight of a new sample in the mean and in the deviation.
const WEIGHT: f64 = 0.05;
/// Number of windows that the baseline is taken from.
const WINDOWS: usize = 6;
/// Length of a window.
const WINDOW: Duration = Duration::from_secs(5);

/// Estimates the service time of one controller's requests.
#[derive(Clone, Debug)]
pub struct Estimator {
    mean_us: f64,
    deviation_us: f64,
    samples: u64,
    /// The lowest mean of each window, in microseconds.
    lows: [f64; WINDOWS],
    current: usize,
    window_start: Time,
}

impl Estimator {
    /// Creates an estimator that returns `initial` before the first sample.
    pub fn new(initial: Duration) -> Self {
        Self {
            mean_us: initial.as_micros() as f64,
            deviation_us: 0.0,
            samples: 0,
            lows: [f64::INFINITY; WINDOWS],
            current: 0,
            window_start: Time::ZERO,
        }
    }

    /// Adds the service time of a request.
    pub fn sample(&mut self, now: Time, took: Duration) {
        let sample = took.as_micros() as f64;
        self.samples += 1;
        // The first samples get a higher weight, so that they soon replace the
        // initial value.
        let weight = WEIGHT.max(1.0 / self.samples as f64);
        let off = (sample - self.mean_us).abs();
        self.deviation_us += weight * (off - self.deviation_us);
        self.mean_us += weight * (sample - self.mean_us);
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.current = (self.current + 1) % WINDOWS;
            self.lows[self.current] = f64::INFINITY;
        }
        let warm = self.samples as f64 * WEIGHT >= 1.0;
        if warm {
            self.lows[self.current] = self.lows[self.current].min(self.mean_us);
        }
    }

    /// The mean service time.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// A time that most requests do not exceed.
    pub fn upper_bound(&self) -> Duration {
        Duration::from_micros((self.mean_us + 2.0 * self.deviation_us) as u64)
    }

    /// The mean service time divided by the recent baseline.
    pub fn slowdown(&self) -> f64 {
        let low = self.lows.iter().copied().fold(f64::INFINITY, f64::min);
        if low.is_finite() && low > 0.0 { self.mean_us / low } else { 1.0 }
    }
}
