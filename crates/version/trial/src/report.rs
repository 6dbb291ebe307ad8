//! Which arm wins on what the service values, or that it can't be told.
//!
//! Invariant: an arm wins only if its interval is apart from that of every
//! other arm, each arm has enough units to know its spread, and it does not
//! refuse clearly more than another.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::interval::Interval;
use crate::interval::Resamples;
use crate::tally::Breakdown;
use crate::tally::Tally;
use base::hash;
use conf::object::Value;

/// The fewest cells with requests from which a spread is told.
pub const MIN_BUCKETS: usize = 8;

/// What is known about one arm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The arm's name.
    pub arm: Arc<str>,
    /// Requests, refused ones included.
    pub requests: u64,
    /// The median latency of answered requests, in milliseconds.
    pub p50_ms: Interval,
    /// The latency that 99% of them stay within.
    pub p99_ms: Interval,
    /// The latency that 99.9% of them stay within.
    pub p999_ms: Interval,
    /// Covered shards of all that were asked for, in percent.
    pub coverage_percent: Interval,
    /// Sends beyond one a shard, in percent.
    pub extra_load_percent: Interval,
    /// Refused requests, in percent.
    pub refused_percent: Interval,
    /// Cells that have requests.
    #[serde(rename = "cells")]
    pub buckets: usize,
}

/// Which arm wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// This arm is better than every other.
    Winner(Arc<str>),
    /// The samples don't tell.
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
    /// What the service values.
    pub value: Value,
    /// The arms in the order of their names.
    pub rows: Vec<Row>,
    /// Which arm wins.
    pub verdict: Verdict,
    /// Why, in a sentence.
    pub reason: String,
}

impl Report {
    /// Compares the arms; the seed of the resampling is the experiment's name.
    pub fn new(experiment: &str, value: Value, table: &Breakdown) -> Self {
        let seed = hash::stable(0, &[experiment]);
        let arms = table.arms.iter();
        let rows: Vec<Row> = arms.map(|(arm, tally)| Row::new(arm, tally, seed)).collect();
        let (verdict, reason) = judge(value, &rows);
        Self { experiment: Arc::from(experiment), value, rows, verdict, reason }
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
            refused_percent: resamples.interval(|counts| 100.0 * counts.refusals()),
            buckets: tally.buckets().iter().filter(|bucket| bucket.counts.requests > 0).count(),
        }
    }

    /// Whether it is clearly better than `other` on what is valued.
    fn beats(&self, other: &Self, value: Value) -> bool {
        match value {
            Value::Tail => self.p99_ms.below(&other.p99_ms),
            Value::Coverage => other.coverage_percent.below(&self.coverage_percent),
        }
    }
}

fn judge(value: Value, rows: &[Row]) -> (Verdict, String) {
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
    let best = rows.iter().find(|row| others(row).all(|other| row.beats(other, value)));
    let measure = match value {
        Value::Tail => "p99",
        Value::Coverage => "coverage",
    };
    let Some(best) = best else {
        return undecided(format!("the intervals of {measure} overlap"));
    };
    if let Some(other) = others(best).find(|row| row.refused_percent.below(&best.refused_percent)) {
        return undecided(format!(
            "{} is better on {measure} but refuses more than {}",
            best.arm, other.arm
        ));
    }
    (Verdict::Winner(best.arm.clone()), format!("its interval of {measure} is apart"))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = match self.value {
            Value::Tail => "tail",
            Value::Coverage => "coverage",
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
