//! Which arms have to be stopped because they exceed the experiment's guard limits.
//!
//! Invariant: the baseline is never stopped, and no arm is compared before it and
//! the baseline have the minimum number of requests.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::tally::Breakdown;
use crate::tally::Bucket;
use conf::object::Experiment;
use conf::object::Guard;

/// The limit that an arm exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Harm {
    /// Its p99 latency is too high relative to the baseline's.
    Tail {
        /// The arm's p99 divided by the baseline's.
        ratio: f64,
    },
    /// Its coverage is too low relative to the baseline's. Refused requests cover no
    /// shards.
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
    /// The limit that it exceeds.
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
/// weight zero are already stopped and are left out.
pub fn breaches(experiment: &Experiment, breakdown: &Breakdown) -> Vec<Breach> {
    let Some((baseline, others)) = experiment.arms.split_first() else { return Vec::new() };
    let guard = &experiment.guard;
    let measured = |arm: &str| {
        let total = breakdown.arms.get(arm)?.total();
        (total.counts.requests >= guard.least_requests).then_some(total)
    };
    let Some(base) = measured(&baseline.name) else { return Vec::new() };
    let running = others.iter().filter(|arm| arm.weight > 0);
    let breaches = running.filter_map(|arm| {
        let harm = harm(guard, &base, &measured(&arm.name)?)?;
        Some(Breach { arm: arm.name.clone(), harm })
    });
    breaches.collect()
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
