//! The counters of each arm.
//!
//! A tally is split into buckets by the hash of the unit, so that all requests of
//! one caller are in one bucket. Confidence intervals are computed by resampling
//! whole buckets.
//!
//! Invariant: merging is associative and commutative, and a deserialized tally is
//! equal to the one that was serialized.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use base::hash;

/// The number of buckets of a tally.
pub const BUCKETS: usize = 32;
/// The precision of a recorded latency, in significant decimal digits.
pub const SIGNIFICANT_DIGITS: u8 = 2;
/// The highest latency that is recorded; higher ones count as this one.
pub const MAX_LATENCY_US: u64 = 600_000_000;
/// The hash seed of the bucket. It differs from the seed of the arm, since otherwise
/// some buckets would get no requests.
const BUCKET_SEED: u64 = 0x63_65_6c_6c;

/// One finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The time from the arrival of the request to its answer, in microseconds.
    pub latency_us: u64,
    /// The number of requested shards.
    pub asked: u32,
    /// The number of shards that the answer covers; zero for a refusal.
    pub covered: u32,
    /// The number of attempts that were sent to upstream servers.
    pub sends: u32,
    /// Whether the request was refused; its latency is then ignored.
    pub refused: bool,
}

/// The counters besides the latencies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests, refused ones included.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requested shards.
    pub asked: u64,
    /// Shards that answers covered.
    pub covered: u64,
    /// Attempts that were sent to upstream servers.
    pub sends: u64,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, sample: &Sample) {
        self.requests += 1;
        self.refused += u64::from(sample.refused);
        self.asked += u64::from(sample.asked);
        self.covered += u64::from(sample.covered);
        self.sends += u64::from(sample.sends);
    }

    /// Adds `times` times the other counts.
    pub fn merge(&mut self, other: &Self, times: u64) {
        self.requests += times * other.requests;
        self.refused += times * other.refused;
        self.asked += times * other.asked;
        self.covered += times * other.covered;
        self.sends += times * other.sends;
    }

    /// The share of the requested shards that were covered, from 0 to 1.
    pub fn coverage(&self) -> f64 {
        ratio(self.covered, self.asked)
    }

    /// Sends beyond one for each requested shard, as a share of the requested shards;
    /// negative if many requests were refused before a send.
    pub fn extra_load(&self) -> f64 {
        ratio(self.sends, self.asked) - 1.0
    }

    /// The share of requests that were refused, from 0 to 1.
    pub fn refused_share(&self) -> f64 {
        ratio(self.refused, self.requests)
    }
}

/// The counters of the units that share a bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bucket {
    /// The counters besides the latencies.
    pub counts: Counts,
    /// Latencies of the answered requests, in microseconds.
    #[serde(serialize_with = "write_histogram", deserialize_with = "read_histogram")]
    pub latency: Histogram<u64>,
}

impl Default for Bucket {
    fn default() -> Self {
        Self { counts: Counts::default(), latency: histogram() }
    }
}

impl Bucket {
    /// Counts one request.
    pub fn add(&mut self, sample: &Sample) {
        self.counts.add(sample);
        if !sample.refused {
            record(&mut self.latency, sample.latency_us, 1);
        }
    }

    /// Adds the counters of another bucket.
    pub fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts, 1);
        merge_histogram(&mut self.latency, &other.latency);
    }

    /// A quantile of the latency, in microseconds; the quantile is from 0 to 1.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }
}

/// The counters of one arm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    #[serde(rename = "cells")]
    buckets: Box<[Bucket; BUCKETS]>,
}

impl Default for Tally {
    fn default() -> Self {
        Self { buckets: Box::new(std::array::from_fn(|_| Bucket::default())) }
    }
}

impl Tally {
    /// An empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request of a unit, which is the caller or the request's ID.
    pub fn add(&mut self, unit: &str, sample: &Sample) {
        let bucket = hash::stable(BUCKET_SEED, &[unit]) % BUCKETS as u64;
        self.buckets[bucket as usize].add(sample);
    }

    /// Adds another node's tally of the same arm.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, theirs) in self.buckets.iter_mut().zip(other.buckets.iter()) {
            bucket.merge(theirs);
        }
    }

    /// The buckets.
    pub fn buckets(&self) -> &[Bucket] {
        &*self.buckets
    }

    /// The sum of all buckets.
    pub fn total(&self) -> Bucket {
        let mut total = Bucket::default();
        self.buckets.iter().for_each(|bucket| total.merge(bucket));
        total
    }

    /// The number of requests, refused ones included.
    pub fn requests(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.counts.requests).sum()
    }
}

/// The tallies of an experiment's arms.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Breakdown {
    /// The tallies by the arm's name.
    pub arms: BTreeMap<Arc<str>, Tally>,
}

impl Breakdown {
    /// A breakdown without arms.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request.
    pub fn add(&mut self, arm: &Arc<str>, unit: &str, sample: &Sample) {
        self.arms.entry(arm.clone()).or_default().add(unit, sample);
    }

    /// Adds another node's breakdown of the same experiment.
    pub fn merge(&mut self, other: &Self) {
        for (arm, tally) in &other.arms {
            self.arms.entry(arm.clone()).or_default().merge(tally);
        }
    }
}

impl fmt::Display for Breakdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (arm, tally) in &self.arms {
            let total = tally.total();
            let Counts { requests, refused, asked, covered, sends } = total.counts;
            write!(f, "{arm}: {requests} requests, {refused} refused, ")?;
            write!(f, "{covered} of {asked} shards, {sends} sends, ")?;
            writeln!(f, "p99 {} us", total.quantile(0.99))?;
        }
        Ok(())
    }
}

/// An empty histogram with the precision that all tallies share.
fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid")
}

fn record(histogram: &mut Histogram<u64>, value: u64, count: u64) {
    histogram
        .record_n(value.min(MAX_LATENCY_US), count)
        .expect("the histogram resizes automatically");
}

fn merge_histogram(histogram: &mut Histogram<u64>, other: &Histogram<u64>) {
    histogram.add(other).expect("the histogram resizes automatically");
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

fn write_histogram<S: Serializer>(
    histogram: &Histogram<u64>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let recorded = histogram.iter_recorded();
    serializer.collect_seq(recorded.map(|step| (step.value_iterated_to(), step.count_at_value())))
}

fn read_histogram<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Histogram<u64>, D::Error> {
    let mut read = histogram();
    for (value, count) in Vec::<(u64, u64)>::deserialize(deserializer)? {
        if value > read.highest_equivalent(MAX_LATENCY_US) {
            return Err(D::Error::custom("a latency above the maximum"));
        }
        let bound = read.highest_equivalent(value);
        read.record_n(bound, count).map_err(D::Error::custom)?;
    }
    Ok(read)
}
