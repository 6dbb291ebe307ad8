//! An estimate with its 95% confidence interval.
//!
//! The interval comes from a bootstrap that resamples whole buckets, which accounts
//! for the correlation between the requests of one caller. For quantiles it is
//! extended by an interval from the ranks of the samples, which has no upper bound
//! if too few samples lie beyond the quantile.
//!
//! Invariant: the value lies within the interval, and the same tally and seed give
//! the same interval.

use std::fmt;

use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use statrs::distribution::Binomial;
use statrs::distribution::DiscreteCDF;

use crate::tally::Bucket;
use crate::tally::Counts;
use crate::tally::Tally;

/// The number of bootstrap resamples.
pub const RESAMPLES: usize = 400;
/// The probability mass below the interval, and also above it.
const TAIL_SHARE: f64 = 0.025;

/// An estimate and its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// The estimate.
    pub value: f64,
    /// The lower bound.
    pub low: f64,
    /// The upper bound; `None` if there are too few samples for one.
    pub high: Option<f64>,
}

impl Interval {
    /// Whether the whole interval lies below `other`.
    pub fn below(&self, other: &Self) -> bool {
        self.high.is_some_and(|high| high < other.low)
    }

    /// Extends the interval to include another one; without an upper bound if either
    /// has none.
    fn extended(self, low: f64, high: Option<f64>) -> Self {
        let high = self.high.zip(high).map(|(ours, theirs)| ours.max(theirs));
        Self { value: self.value, low: self.low.min(low), high }
    }
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { value, low, high } = self;
        match high {
            Some(high) => write!(f, "{value:.2} [{low:.2}, {high:.2}]"),
            None => write!(f, "{value:.2} [{low:.2}, ?]"),
        }
    }
}

/// Bootstrap resamples of one tally's buckets.
#[derive(Debug)]
pub struct Resamples {
    total: Bucket,
    /// The distinct latencies, ascending, in microseconds.
    latencies: Vec<u64>,
    sums: Vec<Sum>,
}

/// One bucket of a tally, or the sum of the drawn buckets.
#[derive(Clone, Debug)]
struct Sum {
    counts: Counts,
    /// The number of requests with each of the distinct latencies.
    latency_counts: Vec<u64>,
}

impl Resamples {
    /// Draws [`RESAMPLES`] sets of buckets, with replacement.
    pub fn new(tally: &Tally, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let total = tally.total();
        let recorded = total.latency.iter_recorded();
        let latencies: Vec<u64> = recorded.map(|step| step.value_iterated_to()).collect();
        let filled = tally.buckets().iter().filter(|bucket| bucket.counts.requests > 0);
        let buckets: Vec<Sum> = filled.map(|bucket| Sum::new(bucket, &latencies)).collect();
        let sums = (0..RESAMPLES).map(|_| resample(&buckets, latencies.len(), &mut rng)).collect();
        Self { total, latencies, sums }
    }

    /// The sum of all buckets.
    pub fn total(&self) -> &Bucket {
        &self.total
    }

    /// The interval of a statistic of the counts.
    pub fn interval(&self, statistic: impl Fn(&Counts) -> f64) -> Interval {
        let values = self.sums.iter().map(|sum| statistic(&sum.counts)).collect();
        percentile_interval(statistic(&self.total.counts), values)
    }

    /// The interval of a quantile (0 to 1) of the latency, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> Interval {
        let values = self.sums.iter().map(|sum| sum.quantile(&self.latencies, quantile)).collect();
        let interval = percentile_interval(millis(self.total.quantile(quantile)), values);
        let (low, high) = by_rank(&self.total.latency, quantile);
        interval.extended(low, high)
    }
}

impl Sum {
    fn new(bucket: &Bucket, latencies: &[u64]) -> Self {
        let latency_counts =
            latencies.iter().map(|latency| bucket.latency.count_at(*latency)).collect();
        Self { counts: bucket.counts, latency_counts }
    }

    fn merge(&mut self, other: &Self, times: u64) {
        self.counts.merge(&other.counts, times);
        for (count, theirs) in self.latency_counts.iter_mut().zip(&other.latency_counts) {
            *count += times * theirs;
        }
    }

    /// The latency at the quantile, in milliseconds: the lowest one that at least this
    /// share of the requests stays within.
    fn quantile(&self, latencies: &[u64], quantile: f64) -> f64 {
        let count: u64 = self.latency_counts.iter().sum();
        let rank = (quantile * count as f64).ceil() as u64;
        let mut cumulative = 0;
        for (latency, count) in latencies.iter().zip(&self.latency_counts) {
            cumulative += count;
            if cumulative >= rank.max(1) {
                return millis(*latency);
            }
        }
        0.0
    }
}

/// Draws as many buckets as there are, with replacement, and sums them.
fn resample(buckets: &[Sum], latency_len: usize, rng: &mut ChaCha8Rng) -> Sum {
    let mut times = vec![0; buckets.len()];
    for _ in buckets {
        times[rng.random_range(0..buckets.len())] += 1;
    }
    let mut sum = Sum { counts: Counts::default(), latency_counts: vec![0; latency_len] };
    let drawn = buckets.iter().zip(times).filter(|(_, times)| *times > 0);
    drawn.for_each(|(bucket, times)| sum.merge(bucket, times));
    sum
}

/// The interval between the percentiles of the resampled values; it includes the
/// estimate.
fn percentile_interval(value: f64, mut values: Vec<f64>) -> Interval {
    values.sort_by(f64::total_cmp);
    let low = at_share(&values, TAIL_SHARE).unwrap_or(value);
    let high = at_share(&values, 1.0 - TAIL_SHARE).unwrap_or(value);
    Interval { value, low: low.min(value), high: Some(high.max(value)) }
}

fn at_share(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[(share * last as f64).round() as usize])
}

/// Bounds of the quantile from the ranks of the samples, in milliseconds.
///
/// The number of samples below the true quantile follows a binomial distribution.
fn by_rank(latency: &Histogram<u64>, quantile: f64) -> (f64, Option<f64>) {
    let count = latency.len();
    let Ok(below) = Binomial::new(quantile, count) else { return (0.0, None) };
    if count == 0 {
        return (0.0, None);
    }
    let low_rank = below.inverse_cdf(TAIL_SHARE);
    let high_rank = below.inverse_cdf(1.0 - TAIL_SHARE) + 1;
    let low = if low_rank == 0 { 0.0 } else { millis(at_rank(latency, low_rank)) };
    let high = (high_rank <= count).then(|| millis(at_rank(latency, high_rank)));
    (low, high)
}

fn at_rank(latency: &Histogram<u64>, rank: u64) -> u64 {
    latency.value_at_quantile(rank as f64 / latency.len() as f64)
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}
