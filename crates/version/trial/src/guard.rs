//! Which arm has to be stopped because it does harm.
//!
//! Invariant: the baseline is never stopped, and no arm is judged before it and
//! the baseline have the least number of requests.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::tally::Breakdown;
use crate::tally::Bucket;
use conf::object::Experiment;
use conf::object::Guard;

/// What an arm does worse than the guard allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Harm {
    /// The p99 relative to the baseline's.
    Tail {
        /// The ratio of the two.
        ratio: f64,
    },
    /// The coverage against the baseline's; refused requests cover nothing.
    Coverage {
        /// The loss in percentage points.
        points: f64,
    },
}

/// An arm that has to be stopped.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The arm's name.
    pub arm: Arc<str>,
    /// Why.
    pub harm: Harm,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.harm {
            Harm::Tail { ratio } => {
                write!(f, "arm {}: p99 is {ratio:.2} times the baseline's", self.arm)
            }
            Harm::Coverage { points } => {
                write!(f, "arm {}: coverage is {points:.2} points lower", self.arm)
            }
        }
    }
}

/// The arms that have to be stopped, in the order of the experiment; arms of
/// weight zero are left out.
pub fn breaches(experiment: &Experiment, table: &Breakdown) -> Vec<Breach> {
    let Some((baseline, others)) = experiment.arms.split_first() else { return Vec::new() };
    let guard = &experiment.guard;
    let judged = |arm: &str| {
        let total = table.arms.get(arm)?.total();
        (total.counts.requests >= guard.least_requests).then_some(total)
    };
    let Some(base) = judged(&baseline.name) else { return Vec::new() };
    let running = others.iter().filter(|arm| arm.weight > 0);
    let harmful = running.filter_map(|arm| {
        let harm = harm(guard, &base, &judged(&arm.name)?)?;
        Some(Breach { arm: arm.name.clone(), harm })
    });
    harmful.collect()
}

fn harm(guard: &Guard, base: &Bucket, arm: &Bucket) -> Option<Harm> {
    let points = 100.0 * (base.counts.coverage() - arm.counts.coverage());
    if points > guard.coverage_loss_points {
        return Some(Harm::Coverage { points });
    }
    // Without answered requests there is no latency to compare.
    if base.latency.is_empty() || arm.latency.is_empty() {
        return None;
    }
    let ratio = arm.quantile(0.99) as f64 / base.quantile(0.99).max(1) as f64;
    (ratio > guard.p99_ratio).then_some(Harm::Tail { ratio })
}
