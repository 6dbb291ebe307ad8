//! The rate limit of a node's calls to the platform, and the delays of its retries.
//!
//! Invariant: in any interval a node starts at most `rate × interval + burst`
//! calls; a watch counts as one call, at its start.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A token bucket: each call takes one token, and tokens return at a constant rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that gains `per_second` tokens a second.
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, tokens: burst, refilled_at: Time::ZERO }
    }

    /// Takes one token, or returns the time at which one will be available.
    pub fn try_take(&mut self, now: Time) -> Result<(), Time> {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_us = (1.0 - self.tokens) / self.per_second * MICROS_PER_SECOND;
        Err(now + Duration::from_micros(wait_us.ceil() as u64))
    }
}

impl fmt::Display for TokenBucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} of {:.0} calls, {:.1} a second", self.tokens, self.burst, self.per_second)
    }
}

/// Exponential backoff with jitter, so that nodes whose calls failed at the same
/// time do not retry at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    attempts: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Delays that start near `first` and double up to `max`.
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self { first, max, attempts: 0, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The next delay: random, between half and all of the doubled delay.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1_u32 << self.attempts.min(16);
        self.attempts += 1;
        let delay = self.first.saturating_mul(factor).min(self.max);
        delay.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Starts again with the first delay.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
