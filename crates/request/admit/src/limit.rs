//! An adaptive limit on the number of requests that run at once.
//!
//! The limit uses additive increase and multiplicative decrease. It rises by one
//! for each round of successful requests (as many as the limit allows) while the
//! limit is in use. It is multiplied by a factor below one when an upstream refuses
//! a request, or when requests have become much slower than their recent baseline,
//! at most once per mean service time.
//!
//! If the node's share of the upstreams' slots is known, the limit stays between
//! this share, which keeps the slots busy, and a multiple of it, above which
//! further requests would only wait at the servers instead of here. So neither a
//! wrong baseline nor a long overload makes the limit drift.
//!
//! Invariant: the limit stays between its minimum and its maximum.

use std::fmt;
use std::time::Duration;

use base::time::Time;

/// The lowest limit.
const MIN_LIMIT: f64 = 1.0;
/// The limit before any feedback.
const INITIAL_LIMIT: f64 = 16.0;
/// The limit is multiplied by this after a refusal or a missed deadline.
const OVERLOAD_FACTOR: f64 = 0.9;
/// The limit is multiplied by this when requests are slow.
const SLOWDOWN_FACTOR: f64 = 0.95;
/// The maximum of the limit as a multiple of the node's share of the slots.
const MAX_SHARE_MULTIPLE: f64 = 6.0;
/// The mean service time, as a multiple of its baseline, above which requests count
/// as slow.
const MAX_SLOWDOWN: f64 = 2.0;

/// The concurrency limit of one controller.
#[derive(Clone, Debug)]
pub struct Limit {
    current: f64,
    min: f64,
    max: f64,
    adaptive: bool,
    no_decrease_before: Time,
}

impl Limit {
    /// Creates a limit from the policy's maximum, and from the node's `share` of the
    /// slots if it is known.
    pub fn new(max: u32, adaptive: bool, share: Option<f64>) -> Self {
        let mut limit = Self {
            current: INITIAL_LIMIT,
            min: MIN_LIMIT,
            max: MIN_LIMIT,
            adaptive,
            no_decrease_before: Time::ZERO,
        };
        limit.set(max, adaptive, share);
        limit
    }

    /// The number of requests that may run at once.
    pub fn get(&self) -> f64 {
        self.current
    }

    /// Changes the bounds, and whether the limit adapts.
    pub fn set(&mut self, max: u32, adaptive: bool, share: Option<f64>) {
        self.max = f64::from(max.max(1));
        self.adaptive = adaptive;
        if !adaptive {
            self.current = self.max;
            return;
        }
        if let Some(share) = share {
            self.max = self.max.min((share * MAX_SHARE_MULTIPLE).max(MIN_LIMIT));
            self.min = share.clamp(MIN_LIMIT, self.max);
        }
        self.current = self.current.clamp(self.min, self.max);
    }

    /// Records a successful request. `limit_in_use` is true if running requests had
    /// reached the limit.
    pub fn on_success(
        &mut self,
        now: Time,
        limit_in_use: bool,
        slowdown: f64,
        service_time: Duration,
    ) {
        if !self.adaptive {
            return;
        }
        if slowdown > MAX_SLOWDOWN {
            self.decrease(now, SLOWDOWN_FACTOR, service_time);
        } else if limit_in_use {
            self.current = (self.current + 1.0 / self.current).min(self.max);
        }
    }

    /// Records a request that an upstream refused or that missed its deadline.
    pub fn on_overload(&mut self, now: Time, service_time: Duration) {
        if self.adaptive {
            self.decrease(now, OVERLOAD_FACTOR, service_time);
        }
    }

    fn decrease(&mut self, now: Time, factor: f64, service_time: Duration) {
        if now < self.no_decrease_before {
            return;
        }
        self.current = (self.current * factor).max(self.min);
        self.no_decrease_before = now + service_time;
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} of {}", self.current, self.max)
    }
}
