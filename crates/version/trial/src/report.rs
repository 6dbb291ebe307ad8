//! The comparison of an experiment's arms, and the verdict on which arm wins.
//!
//! Invariant: an arm wins only if its confidence interval lies apart from that of
//! every other arm, each arm has enough buckets to estimate the variance, and its
//! share of refused requests is not significantly higher than another arm's.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::interval::Interval;
use crate::interval::Resamples;
use crate::tally::Breakdown;
use crate::tally::Tally;
use base::hash;
use conf::object::Preference;

/// The minimum number of buckets with requests for a verdict.
pub const MIN_BUCKETS: usize = 8;

/// The figures of one arm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The arm's name.
    pub arm: Arc<str>,
    /// Requests, refused ones included.
    pub requests: u64,
    /// The median latency of answered requests, in milliseconds.
    pub p50_ms: Interval,
    /// The latency that 99% of the answered requests stay within, in milliseconds.
    pub p99_ms: Interval,
    /// The latency that 99.9% of the answered requests stay within, in milliseconds.
    pub p999_ms: Interval,
    /// Covered shards as a share of the requested ones, in percent.
    pub coverage_percent: Interval,
    /// Sends beyond one for each requested shard, in percent.
    pub extra_load_percent: Interval,
    /// Refused requests, in percent.
    pub refused_percent: Interval,
    /// The number of buckets that have requests.
    #[serde(rename = "cells")]
    pub buckets: usize,
}

/// Which arm wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// This arm is significantly better than every other one.
    Winner(Arc<str>),
    /// The data does not show a winner.
    Undecided,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Winner(arm) => write!(f, "winner: {arm}"),
            Self::Undecided => f.write_str("undecided"),
        }
    }
}

/// The whole comparison.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: Arc<str>,
    /// What the service prefers: a short tail or full coverage.
    #[serde(rename = "value")]
    pub preference: Preference,
    /// The arms in the order of their names.
    pub rows: Vec<Row>,
    /// Which arm wins.
    pub verdict: Verdict,
    /// The reason for the verdict.
    pub reason: String,
}

impl Report {
    /// Compares the arms. The resampling is seeded with the experiment's name.
    pub fn new(experiment: &str, preference: Preference, breakdown: &Breakdown) -> Self {
        let seed = hash::stable(0, &[experiment]);
        let arms = breakdown.arms.iter();
        let rows: Vec<Row> = arms.map(|(arm, tally)| Row::new(arm, tally, seed)).collect();
        let (verdict, reason) = decide(preference, &rows);
        Self { experiment: Arc::from(experiment), preference, rows, verdict, reason }
    }
}

impl Row {
    fn new(arm: &Arc<str>, tally: &Tally, seed: u64) -> Self {
        let resamples = Resamples::new(tally, seed);
        Self {
            arm: arm.clone(),
            requests: resamples.total().counts.requests,
            p50_ms: resamples.quantile(0.5),
            p99_ms: resamples.quantile(0.99),
            p999_ms: resamples.quantile(0.999),
            coverage_percent: resamples.interval(|counts| 100.0 * counts.coverage()),
            extra_load_percent: resamples.interval(|counts| 100.0 * counts.extra_load()),
            refused_percent: resamples.interval(|counts| 100.0 * counts.refused_share()),
            buckets: tally.buckets().iter().filter(|bucket| bucket.counts.requests > 0).count(),
        }
    }

    /// Whether this arm is significantly better than `other` by the service's
    /// preference.
    fn beats(&self, other: &Self, preference: Preference) -> bool {
        match preference {
            Preference::Tail => self.p99_ms.below(&other.p99_ms),
            Preference::Coverage => other.coverage_percent.below(&self.coverage_percent),
        }
    }
}

fn decide(preference: Preference, rows: &[Row]) -> (Verdict, String) {
    let undecided = |reason: String| (Verdict::Undecided, reason);
    if rows.len() < 2 {
        return undecided("fewer than two arms have requests".to_owned());
    }
    if let Some(row) = rows.iter().find(|row| row.buckets < MIN_BUCKETS) {
        return undecided(format!("too few units of arm {} to know its spread", row.arm));
    }
    let others = |best: &Row| {
        let best = best.arm.clone();
        rows.iter().filter(move |row| row.arm != best)
    };
    let best = rows.iter().find(|row| others(row).all(|other| row.beats(other, preference)));
    let metric = match preference {
        Preference::Tail => "p99",
        Preference::Coverage => "coverage",
    };
    let Some(best) = best else {
        return undecided(format!("the intervals of {metric} overlap"));
    };
    if let Some(other) = others(best).find(|row| row.refused_percent.below(&best.refused_percent)) {
        return undecided(format!(
            "{} is better on {metric} but refuses more than {}",
            best.arm, other.arm
        ));
    }
    (Verdict::Winner(best.arm.clone()), format!("its interval of {metric} is apart"))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = match self.preference {
            Preference::Tail => "tail",
            Preference::Coverage => "coverage",
        };
        writeln!(f, "experiment {}, the service values {value}", self.experiment)?;
        writeln!(f, "(estimates with 95% confidence intervals)")?;
        for row in &self.rows {
            writeln!(f, "arm {}, {} requests", row.arm, row.requests)?;
            writeln!(f, "  p50 ms        {}", row.p50_ms)?;
            writeln!(f, "  p99 ms        {}", row.p99_ms)?;
            writeln!(f, "  p99.9 ms      {}", row.p999_ms)?;
            writeln!(f, "  coverage %    {}", row.coverage_percent)?;
            writeln!(f, "  extra load %  {}", row.extra_load_percent)?;
            writeln!(f, "  refused %     {}", row.refused_percent)?;
        }
        write!(f, "{}: {}", self.verdict, self.reason)
    }
}
