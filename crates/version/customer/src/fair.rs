//! Which customers' requests are refused first when the servers are too busy. No I/O.
//!
//! A customer's ratio is its demand over the whole fleet, as far as its quota admits it, divided by
//! its weight. Refusals for lack of capacity show how much of the present demand can be served; a
//! cut through the ratios trims the customers above it until the rest fits.
//!
//! Invariants: without refusals nobody is trimmed. The cut never falls below the ratio that half of
//! all weights don't exceed: if demand grows evenly, nobody is trimmed, and small customers are not
//! starved by a large one.

use std::time::Duration;

use base::time::Time;

/// The interval between two steps of the cut, in which the servers' queues show the effect of the
/// last one; it ends earlier after [`MIN_SAMPLES`] requests, but not before the shorter one.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(500);
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(100);
const MIN_SAMPLES: u32 = 20;
/// The longest time after which a trimmed request may come again: the load may have changed by then.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The fraction of the estimated capacity that a step aims at.
const TARGET_FRACTION: f64 = 0.9;
/// The factor by which a step raises the cut while nobody is refused for lack of capacity.
const INCREASE: f64 = 1.005;

/// A customer's demand, in requests per second, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// What it would send and its quota would admit, over the whole fleet.
    pub demand: f64,
    /// Its weight; zero for a customer that is not compared with others.
    pub weight: f64,
}

impl Claim {
    /// Its demand in relation to its weight.
    pub fn ratio(&self) -> f64 {
        if self.weight > 0.0 { self.demand / self.weight } else { 0.0 }
    }
}

/// The cut through the customers' ratios.
#[derive(Clone, Debug)]
pub struct Fair {
    /// The greatest ratio that is admitted whole; infinite while nobody is trimmed.
    cut: f64,
    /// The requests since the last step that were sent to servers, and those that were refused for
    /// lack of capacity.
    sent: u32,
    refused: u32,
    stepped_at: Time,
}

impl Default for Fair {
    fn default() -> Self {
        Self { cut: f64::INFINITY, sent: 0, refused: 0, stepped_at: Time::ZERO }
    }
}

impl Fair {
    /// Records a request for which the servers had capacity.
    pub fn sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Records that a request was refused because the servers are too busy.
    pub fn refused(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// Whether it is time for [`Self::step`], which needs the claims only then.
    pub fn is_step_due(&self, now: Time) -> bool {
        let elapsed = now.since(self.stepped_at);
        let has_samples = self.sent.saturating_add(self.refused) >= MIN_SAMPLES;
        (self.refused > 0 || self.cut.is_finite())
            && (elapsed >= MAX_STEP_INTERVAL || (has_samples && elapsed >= MIN_STEP_INTERVAL))
    }

    /// Moves the cut by the claims of all customers; to be called when a step is due.
    pub fn step(&mut self, now: Time, claims: impl IntoIterator<Item = Claim>) {
        self.stepped_at = now;
        let (sent, refused) = (std::mem::take(&mut self.sent), std::mem::take(&mut self.refused));
        let mut claims: Vec<Claim> =
            claims.into_iter().filter(|claim| claim.weight > 0.0 && claim.demand > 0.0).collect();
        claims.sort_by(|a, b| a.ratio().total_cmp(&b.ratio()));
        let highest = claims.last().map_or(0.0, Claim::ratio);
        if refused == 0 {
            self.cut *= INCREASE;
        } else {
            let admitted: f64 =
                claims.iter().map(|claim| claim.demand.min(self.cut * claim.weight)).sum();
            let served = f64::from(sent) / f64::from(sent.saturating_add(refused));
            let level = level(&claims, admitted * served * TARGET_FRACTION);
            self.cut = level.max(median(&claims));
        }
        if self.cut >= highest {
            self.cut = f64::INFINITY;
        }
    }

    /// The fraction of a customer's requests that is admitted, by its ratio.
    pub fn admitted_fraction(&self, ratio: f64) -> f64 {
        if ratio <= self.cut { 1.0 } else { self.cut / ratio }
    }

    /// After what time a request of a customer of which only `fraction` is admitted may come again:
    /// at least the mean time until one is admitted of requests that come with each step, and up to
    /// twice that, by `random` between 0 and 1.
    pub fn retry_after(fraction: f64, random: f64) -> Duration {
        let mean = MAX_STEP_INTERVAL.as_secs_f64() / fraction.max(f64::MIN_POSITIVE);
        let wait = mean.min(MAX_RETRY_AFTER.as_secs_f64() / 2.0) * (1.0 + random);
        Duration::from_secs_f64(wait)
    }

    /// The greatest ratio that is admitted whole, if anybody is trimmed.
    pub fn cut(&self) -> Option<f64> {
        self.cut.is_finite().then_some(self.cut)
    }
}

/// The ratio down to which `claims`, sorted by ratio, must be trimmed to fit into `capacity`.
fn level(claims: &[Claim], capacity: f64) -> f64 {
    let mut left = capacity;
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        if claim.ratio() * weight >= left {
            return left / weight;
        }
        left -= claim.demand;
        weight -= claim.weight;
    }
    f64::INFINITY
}

/// The ratio that half of the weights of `claims`, sorted by ratio, don't exceed.
fn median(claims: &[Claim]) -> f64 {
    let half = claims.iter().map(|claim| claim.weight).sum::<f64>() / 2.0;
    let mut below = 0.0;
    let reaches_half = |claim: &&Claim| {
        below += claim.weight;
        below >= half
    };
    claims.iter().find(reaches_half).map_or(0.0, Claim::ratio)
}
