//! What is counted for each arm.
//!
//! A tally is split into cells by the hash of the unit, so that all requests of
//! one caller fall into one cell; the spread between cells is what intervals
//! are made from. Invariant: merging is associative and commutative, and a
//! tally that went over the wire is equal to the one that was sent.

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

/// Cells of a tally.
pub const BUCKETS: usize = 32;
/// Significant decimal digits of a latency.
pub const DIGITS: u8 = 2;
/// The longest latency that is told apart, in microseconds.
pub const LONGEST_US: u64 = 600_000_000;
/// Seeds the choice of the cell; not that of the arm, or cells would be empty.
const SEED: u64 = 0x63_65_6c_6c;

/// One finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// From arrival to the answer, in microseconds.
    pub latency_us: u64,
    /// Shards that were asked for.
    pub asked: u32,
    /// Shards that the answer covers; zero if it was refused.
    pub covered: u32,
    /// Attempts that were sent to upstreams.
    pub sends: u32,
    /// Whether it was refused; its latency is then left out.
    pub refused: bool,
}

/// What is counted besides latencies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests, refused ones included.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Shards that were asked for.
    pub asked: u64,
    /// Shards that were covered.
    pub covered: u64,
    /// Attempts that were sent.
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

    /// Adds other counts, `times` times over.
    pub fn merge(&mut self, other: &Self, times: u64) {
        self.requests += times * other.requests;
        self.refused += times * other.refused;
        self.asked += times * other.asked;
        self.covered += times * other.covered;
        self.sends += times * other.sends;
    }

    /// The share of the asked shards that were covered, 0 to 1.
    pub fn coverage(&self) -> f64 {
        ratio(self.covered, self.asked)
    }

    /// Sends beyond one a shard that was asked for, as a share of the shards;
    /// negative if many requests were refused before a send.
    pub fn extra_load(&self) -> f64 {
        ratio(self.sends, self.asked) - 1.0
    }

    /// The share of requests that were refused, 0 to 1.
    pub fn refusals(&self) -> f64 {
        ratio(self.refused, self.requests)
    }
}

/// The requests of some units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bucket {
    /// All but the latencies.
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

    /// Adds what another cell counted.
    pub fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts, 1);
        merge_histogram(&mut self.latency, &other.latency);
    }

    /// A quantile (0 to 1) of the latency, in microseconds.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }
}

/// The requests of one arm.
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
    /// A tally of no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request of a unit (the caller or the request's id).
    pub fn add(&mut self, unit: &str, sample: &Sample) {
        let bucket = hash::stable(SEED, &[unit]) % BUCKETS as u64;
        self.buckets[bucket as usize].add(sample);
    }

    /// Adds what another node counted for the same arm.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, theirs) in self.buckets.iter_mut().zip(other.buckets.iter()) {
            bucket.merge(theirs);
        }
    }

    /// The cells.
    pub fn buckets(&self) -> &[Bucket] {
        &*self.buckets
    }

    /// All cells as one.
    pub fn total(&self) -> Bucket {
        let mut total = Bucket::default();
        self.buckets.iter().for_each(|bucket| total.merge(bucket));
        total
    }

    /// Requests, refused ones included.
    pub fn requests(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.counts.requests).sum()
    }
}

/// The tallies of an experiment's arms.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Breakdown {
    /// By the arm's name.
    pub arms: BTreeMap<Arc<str>, Tally>,
}

impl Breakdown {
    /// A table without arms.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request.
    pub fn add(&mut self, arm: &Arc<str>, unit: &str, sample: &Sample) {
        self.arms.entry(arm.clone()).or_default().add(unit, sample);
    }

    /// Adds what another node counted.
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

/// An empty histogram of the form that all tallies share.
fn histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("the digits are in the library's range")
}

fn record(histogram: &mut Histogram<u64>, value: u64, count: u64) {
    histogram.record_n(value.min(LONGEST_US), count).expect("the histogram grows by itself");
}

fn merge_histogram(histogram: &mut Histogram<u64>, other: &Histogram<u64>) {
    histogram.add(other).expect("the histogram grows by itself");
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
        if value > read.highest_equivalent(LONGEST_US) {
            return Err(D::Error::custom("a latency above the longest"));
        }
        let bound = read.highest_equivalent(value);
        read.record_n(bound, count).map_err(D::Error::custom)?;
    }
    Ok(read)
}
