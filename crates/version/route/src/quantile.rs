//! A quantile of recent latencies, for the delay before a hedge.
//!
//! Two histograms take turns: the one that fills and the one that was filled
//! before, so that the quantile always rests on at least one full span.
//!
//! Invariant: the delay is only given once there are enough samples to tell the
//! quantile; until then nothing is hedged.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use base::time::Time;

/// How long one histogram is filled.
const SPAN: Duration = Duration::from_secs(10);
/// The highest latency that is told apart, in microseconds.
const HIGHEST_US: u64 = 60_000_000;
/// Significant decimal digits.
const DIGITS: u8 = 2;
/// The fewest samples beyond the quantile that it takes to name it.
const BEYOND: f64 = 2.0;
/// How long a quantile that was worked out is told again.
const FRESH: Duration = Duration::from_millis(100);

/// Recent latencies of one service.
#[derive(Clone)]
pub struct Window {
    now: Histogram<u32>,
    before: Histogram<u32>,
    since: Time,
    told: Option<Told>,
}

/// A quantile that was worked out a short while ago.
#[derive(Clone, Copy)]
struct Told {
    at: Time,
    percent: f64,
    value: Option<Duration>,
}

fn histogram() -> Histogram<u32> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_max(HIGHEST_US, DIGITS).expect("valid bounds")
}

impl Window {
    /// A window without samples.
    pub fn new() -> Self {
        Self { now: histogram(), before: histogram(), since: Time::ZERO, told: None }
    }

    /// Takes in a latency, or the wait of an attempt that was given up.
    pub fn sample(&mut self, now: Time, latency: Duration) {
        self.turn(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_US);
        self.now.saturating_record(micros.max(1));
    }

    /// The latency that `percent` of the recent samples stay at or below, as it
    /// was at `now` or a short while before.
    pub fn recent(&mut self, now: Time, percent: f64) -> Option<Duration> {
        if let Some(told) = self.told
            && told.percent == percent
            && now.since(told.at) < FRESH
        {
            return told.value;
        }
        let value = self.quantile(percent);
        self.told = Some(Told { at: now, percent, value });
        value
    }

    /// The latency that `percent` of the recent samples stay at or below.
    pub fn quantile(&self, percent: f64) -> Option<Duration> {
        let samples = (self.now.len() + self.before.len()) as f64;
        if percent >= 100.0 || samples * (1.0 - percent / 100.0) < BEYOND {
            return None;
        }
        let mut both = self.before.clone();
        both.add(&self.now).ok()?;
        Some(Duration::from_micros(both.value_at_percentile(percent)))
    }

    fn turn(&mut self, now: Time) {
        let age = now.since(self.since);
        if age < SPAN {
            return;
        }
        std::mem::swap(&mut self.now, &mut self.before);
        self.now.reset();
        if age >= SPAN * 2 {
            self.before.reset();
        }
        self.since = now;
    }
}

impl Default for Window {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let samples = self.now.len() + self.before.len();
        match self.quantile(95.0) {
            Some(p95) => write!(f, "{samples} samples, p95 {} us", p95.as_micros()),
            None => write!(f, "{samples} samples"),
        }
    }
}
