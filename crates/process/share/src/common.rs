//! The common token bucket of all nodes, as one node estimates it. No I/O.
//!
//! Every request that a node admits takes a token, and so does every one that another node
//! reports. What the others have not reported yet is missing from the estimate, so each node may
//! have only a part of what the level and the tolerance leave that it has not reported itself.
//!
//! Invariant: the true level does not fall below zero by more than the tolerance, as long as the
//! nodes' weights add up to at most one and each has an allowance of more than one request.

use std::time::Duration;

use crate::usage::Rate;
use base::time::Time;

/// The fraction of the tolerance for requests that nodes have not reported; the rest is for the
/// tokens that their shares keep.
const UNREPORTED_FRACTION: f64 = 0.7;
/// The fraction of the tolerance by which a request may exceed the rate: reports and tokens that
/// are given back are known late, and load within the rate must not be refused for that.
const OVERDRAFT_FRACTION: f64 = 0.25;
/// A report takes about this long until it counts: the interval between two datagrams and the time
/// on the network.
pub(crate) const REPORT_DELAY: Duration = Duration::from_millis(100);
/// When a request that only the allowance refuses may return: after the next report.
const ALLOWANCE_DELAY: Duration = Duration::from_millis(50);
/// The fraction of its allowance that a node may use before it reports at once.
const REPORT_FRACTION: f64 = 0.5;

/// What a node may use of the bucket at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Access {
    /// Whether it hears enough of the other nodes.
    pub is_open: bool,
    /// Its part of the requests that may be unreported over all nodes.
    pub weight: f64,
    /// The requests that it may have unreported even if its part is smaller.
    pub least: f64,
    /// Its part of the requests that all nodes admit, at which those that it refused return.
    pub demand_fraction: f64,
    /// The requests per second of the other nodes.
    pub others_demand: f64,
    /// Whether its level may miss requests of others, because it has just started or did not hear
    /// them.
    pub is_learning: bool,
    /// The fraction of the rate that is not kept for silent nodes.
    pub refill: f64,
}

/// The bucket.
#[derive(Clone, Debug)]
pub struct Common {
    rate: Rate,
    tolerance: f64,
    level: f64,
    filled_at: Time,
    access: Access,
    unreported: u32,
}

impl Common {
    /// The bucket as a node that has just started assumes it: with half of `tolerance`, the
    /// requests that the bound leaves beyond the rate and the burst.
    pub fn new(now: Time, rate: Rate, tolerance: f64) -> Self {
        let access = Access {
            is_open: true,
            weight: 1.0,
            least: 1.0,
            demand_fraction: 1.0,
            others_demand: 0.0,
            is_learning: false,
            refill: 1.0,
        };
        let mut common =
            Self { rate, tolerance, level: f64::INFINITY, filled_at: now, access, unreported: 0 };
        common.start_again(now);
        common
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: Time, rate: Rate, tolerance: f64) {
        self.fill(now);
        self.rate = rate;
        self.tolerance = tolerance;
        self.fill(now);
    }

    /// Sets what this node may use.
    pub fn set_access(&mut self, now: Time, access: Access) {
        self.fill(now);
        self.access = access;
    }

    /// Assumes no more than half of the tolerance: requests of other nodes may not be known.
    pub fn start_again(&mut self, now: Time) {
        self.lower(now, (self.tolerance / 2.0).max(1.0));
    }

    /// Lowers the level to that of another node.
    pub fn lower(&mut self, now: Time, level: f64) {
        self.fill(now);
        self.level = self.level.min(level).max(-self.tolerance);
    }

    /// The tokens in the bucket; negative if more was admitted than the rate permits.
    pub fn level(&self, now: Time) -> f64 {
        let seconds = now.since(self.filled_at).as_secs_f64();
        let level = self.level + self.rate.per_second * self.access.refill * seconds;
        level.min(self.rate.burst.max(1.0))
    }

    fn fill(&mut self, now: Time) {
        self.level = self.level(now);
        self.filled_at = now;
    }

    /// The requests that this node may have unreported.
    fn allowance(&self, now: Time) -> f64 {
        let left = self.level(now) + self.tolerance * UNREPORTED_FRACTION;
        (left * self.access.weight).max(self.access.least.min(left)).max(1.0)
    }

    /// The level that a request must leave: below zero by the overdraft, above it where the others'
    /// requests of the last moment may exceed what else the tolerance leaves.
    fn margin(&self) -> f64 {
        let recent = self.access.others_demand * REPORT_DELAY.as_secs_f64();
        let fraction = if self.access.is_learning { 0.0 } else { OVERDRAFT_FRACTION };
        let overdraft = self.tolerance * fraction;
        let covered = self.tolerance * UNREPORTED_FRACTION - overdraft;
        -overdraft + (recent - covered).clamp(0.0, overdraft + self.rate.burst / 2.0)
    }

    /// Whether a request may be admitted now.
    pub fn admits(&self, now: Time) -> bool {
        self.access.is_open
            && self.level(now) >= 1.0 + self.margin()
            && f64::from(self.unreported) + 1.0 <= self.allowance(now)
    }

    /// When a request may be admitted if the others use no more; `None` if this node may use only
    /// its share.
    pub fn admits_at(&self, now: Time) -> Option<Time> {
        if !self.access.is_open {
            return None;
        }
        let missing = (1.0 + self.margin() - self.level(now)).max(0.0);
        if missing == 0.0 && !self.admits(now) {
            return Some(now + ALLOWANCE_DELAY);
        }
        Some(now + span(missing, self.rate.per_second * self.access.refill))
    }

    /// The interval at which refused requests may return to this node.
    pub fn interval(&self) -> Duration {
        span(1.0, self.rate.per_second * self.access.refill * self.access.demand_fraction)
    }

    /// Takes the token of a request.
    pub fn take(&mut self, now: Time) {
        self.fill(now);
        self.level -= 1.0;
        self.unreported += 1;
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(&mut self, now: Time) {
        self.fill(now);
        self.level += 1.0;
        self.unreported = self.unreported.saturating_sub(1);
    }

    /// Takes the tokens that another node reports; negative if it has given some back.
    pub fn take_reported(&mut self, now: Time, tokens: f64) {
        self.fill(now);
        self.level = (self.level - tokens).max(-self.tolerance);
    }

    /// Whether the unreported requests must be reported at once.
    pub fn is_urgent(&self, now: Time, heartbeat: Duration) -> bool {
        let left = (self.level(now) + self.tolerance * UNREPORTED_FRACTION).max(0.0);
        let fleet = self.access.others_demand * heartbeat.as_secs_f64();
        self.unreported > 0
            && (fleet > left * REPORT_FRACTION
                || f64::from(self.unreported) >= self.allowance(now) * REPORT_FRACTION)
    }

    /// Records that all requests so far were reported.
    pub fn reported(&mut self) {
        self.unreported = 0;
    }
}

/// The longest time that is reckoned with.
const MAX_SPAN: f64 = 3600.0;

fn span(tokens: f64, per_second: f64) -> Duration {
    Duration::from_secs_f64((tokens / per_second.max(f64::MIN_POSITIVE)).min(MAX_SPAN))
}
