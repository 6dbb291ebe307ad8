//! How many requests may run at once, learned from what the upstreams bear.
//!
//! The limit rises by one for each full round of requests that ends well while
//! the limit is in use, and falls by a part when an upstream refuses or when
//! requests have become much slower than at their best, at most once a round.
//!
//! If the node's part of the upstreams' slots is known, the limit stays between
//! that part, which keeps the slots busy, and a multiple of it, beyond which more
//! requests only wait at the servers instead of here. So neither a wrong notion
//! of the best nor a long overload makes the limit drift.
//!
//! Invariant: the limit stays between the least and the most.

use std::fmt;
use std::time::Duration;

use base::time::Time;

/// The fewest requests that may run at once.
const LEAST: f64 = 1.0;
/// The limit before anything was learned.
const FIRST: f64 = 16.0;
/// What remains of the limit after a refusal.
const AFTER_REFUSAL: f64 = 0.9;
/// What remains of the limit after a round of slow requests.
const AFTER_SLOW: f64 = 0.95;
/// The multiple of the node's part of the slots that the limit may reach.
const DEPTH: f64 = 6.0;
/// How much slower than at their best requests may be.
const MOST_STRETCH: f64 = 2.0;

/// The limit of one controller.
#[derive(Clone, Debug)]
pub struct Limit {
    now: f64,
    least: f64,
    most: f64,
    learns: bool,
    cut_until: Time,
}

impl Limit {
    /// A limit from the policy's `most`, and from the node's `part` of the slots
    /// if that is known.
    pub fn new(most: u32, learns: bool, part: Option<f64>) -> Self {
        let mut limit =
            Self { now: FIRST, least: LEAST, most: LEAST, learns, cut_until: Time::ZERO };
        limit.set(most, learns, part);
        limit
    }

    /// Requests that may run at once.
    pub fn get(&self) -> f64 {
        self.now
    }

    /// Changes the bounds and whether it learns.
    pub fn set(&mut self, most: u32, learns: bool, part: Option<f64>) {
        self.most = f64::from(most.max(1));
        self.learns = learns;
        if !learns {
            self.now = self.most;
            return;
        }
        if let Some(part) = part {
            self.most = self.most.min((part * DEPTH).max(LEAST));
            self.least = part.clamp(LEAST, self.most);
        }
        self.now = self.now.clamp(self.least, self.most);
    }

    /// Notes a request that ended well; `used` tells whether the limit was.
    pub fn good(&mut self, now: Time, used: bool, stretch: f64, round: Duration) {
        if !self.learns {
            return;
        }
        if stretch > MOST_STRETCH {
            self.cut(now, AFTER_SLOW, round);
        } else if used {
            self.now = (self.now + 1.0 / self.now).min(self.most);
        }
    }

    /// Notes a request that an upstream refused or that was late.
    pub fn bad(&mut self, now: Time, round: Duration) {
        if self.learns {
            self.cut(now, AFTER_REFUSAL, round);
        }
    }

    fn cut(&mut self, now: Time, part: f64, round: Duration) {
        if now < self.cut_until {
            return;
        }
        self.now = (self.now * part).max(self.least);
        self.cut_until = now + round;
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} of {}", self.now, self.most)
    }
}
