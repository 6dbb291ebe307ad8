//! How often a node may call the platform, and when it tries again.
//!
//! Invariant: over any span, a node starts at most `rate × span + burst` calls,
//! a waiting watch counted as one when it starts.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;

const MICROS: f64 = 1_000_000.0;

/// A bucket of calls that fills at a steady rate.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: f64,
    burst: f64,
    level: f64,
    filled: Time,
}

impl Bucket {
    /// A full bucket of `burst` calls that gains `per_second` calls a second.
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, level: burst, filled: Time::ZERO }
    }

    /// Takes one call, or tells when one will be there.
    pub fn take(&mut self, now: Time) -> Result<(), Time> {
        let gained = now.since(self.filled).as_secs_f64() * self.per_second;
        self.level = (self.level + gained).min(self.burst);
        self.filled = self.filled.max(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / self.per_second * MICROS;
        Err(now + Duration::from_micros(wait.ceil() as u64))
    }
}

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} of {:.0} calls, {:.1} a second", self.level, self.burst, self.per_second)
    }
}

/// The waits between tries: doubled each time up to a limit, with jitter so
/// that nodes that failed together don't come back together.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    limit: Duration,
    tries: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Waits of about `first` and then longer ones up to `limit`.
    pub fn new(first: Duration, limit: Duration, seed: u64) -> Self {
        Self { first, limit, tries: 0, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The next wait: between half and all of the doubled span.
    pub fn wait(&mut self) -> Duration {
        let factor = 1_u32 << self.tries.min(16);
        self.tries += 1;
        let span = self.first.saturating_mul(factor).min(self.limit);
        span.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts again with short waits.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
