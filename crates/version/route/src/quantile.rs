//! A quantile of a service's recent latencies, for the delay before a hedge.
//!
//! Two histograms rotate, the current and the previous one, so that under steady
//! traffic the quantile covers at least one full rotation interval.
//!
//! Invariant: there is no quantile until enough samples lie beyond it.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use base::time::Time;

/// How long one histogram is filled.
const ROTATION_INTERVAL: Duration = Duration::from_secs(10);
/// The highest latency that is recorded; higher ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The number of samples that must lie beyond a quantile.
const MIN_SAMPLES_BEYOND: f64 = 2.0;
/// How long a computed quantile is reused.
const CACHE_TTL: Duration = Duration::from_millis(100);

/// Recent latencies of one service.
#[derive(Clone)]
pub struct Window {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// When the current histogram was started.
    rotated_at: Time,
    cached: Option<CachedQuantile>,
}

/// A quantile that was computed recently.
#[derive(Clone, Copy)]
struct CachedQuantile {
    computed_at: Time,
    percent: f64,
    value: Option<Duration>,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid constants")
}

impl Window {
    /// A window without samples.
    pub fn new() -> Self {
        Self { current: histogram(), previous: histogram(), rotated_at: Time::ZERO, cached: None }
    }

    /// Records a latency, or how long a cancelled attempt had been waited for.
    pub fn record_sample(&mut self, now: Time, latency: Duration) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.current.saturating_record(micros.max(1));
    }

    /// Like [`Self::quantile`], but reuses a value that was computed shortly before
    /// `now`.
    pub fn cached_quantile(&mut self, now: Time, percent: f64) -> Option<Duration> {
        if let Some(cached) = self.cached
            && cached.percent == percent
            && now.since(cached.computed_at) < CACHE_TTL
        {
            return cached.value;
        }
        let value = self.quantile(percent);
        self.cached = Some(CachedQuantile { computed_at: now, percent, value });
        value
    }

    /// The latency that `percent` of the recent samples stay at or below; `None` if
    /// there are too few samples or if `percent` is 100.
    pub fn quantile(&self, percent: f64) -> Option<Duration> {
        let samples = (self.current.len() + self.previous.len()) as f64;
        if percent >= 100.0 || samples * (1.0 - percent / 100.0) < MIN_SAMPLES_BEYOND {
            return None;
        }
        let mut both = self.previous.clone();
        both.add(&self.current).ok()?;
        Some(Duration::from_micros(both.value_at_percentile(percent)))
    }

    fn rotate(&mut self, now: Time) {
        let age = now.since(self.rotated_at);
        if age < ROTATION_INTERVAL {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= ROTATION_INTERVAL * 2 {
            self.previous.reset();
        }
        self.rotated_at = now;
    }
}

impl Default for Window {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let samples = self.current.len() + self.previous.len();
        match self.quantile(95.0) {
            Some(p95) => write!(f, "{samples} samples, p95 {} us", p95.as_micros()),
            None => write!(f, "{samples} samples"),
        }
    }
}
