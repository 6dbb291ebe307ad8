//! How long a request is expected to take once it runs.
//!
//! Invariant: the floor is the lowest mean of the last spans, so that it follows
//! when the upstreams become slower for good.

use std::time::Duration;

use base::time::Time;

/// Weight of a new sample in the mean and in the deviation.
const WEIGHT: f64 = 0.05;
/// Spans that the floor looks back on.
const SPANS: usize = 6;
/// How long one span is.
const SPAN: Duration = Duration::from_secs(5);

/// The service time of one controller's requests.
#[derive(Clone, Debug)]
pub struct Expect {
    mean_us: f64,
    deviation_us: f64,
    samples: u64,
    lows: [f64; SPANS],
    turn: usize,
    since: Time,
}

impl Expect {
    /// Nothing was seen; `guess` is expected.
    pub fn new(guess: Duration) -> Self {
        Self {
            mean_us: guess.as_micros() as f64,
            deviation_us: 0.0,
            samples: 0,
            lows: [f64::INFINITY; SPANS],
            turn: 0,
            since: Time::ZERO,
        }
    }

    /// Takes in how long a request ran.
    pub fn sample(&mut self, now: Time, took: Duration) {
        let sample = took.as_micros() as f64;
        self.samples += 1;
        // The first samples weigh more, so that the guess is soon forgotten.
        let weight = WEIGHT.max(1.0 / self.samples as f64);
        let off = (sample - self.mean_us).abs();
        self.deviation_us += weight * (off - self.deviation_us);
        self.mean_us += weight * (sample - self.mean_us);
        if now.since(self.since) >= SPAN {
            self.since = now;
            self.turn = (self.turn + 1) % SPANS;
            self.lows[self.turn] = f64::INFINITY;
        }
        let warm = self.samples as f64 * WEIGHT >= 1.0;
        if warm {
            self.lows[self.turn] = self.lows[self.turn].min(self.mean_us);
        }
    }

    /// The mean.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    /// A time that most requests stay below.
    pub fn most(&self) -> Duration {
        Duration::from_micros((self.mean_us + 2.0 * self.deviation_us) as u64)
    }

    /// How much slower requests are than at their best of late.
    pub fn stretch(&self) -> f64 {
        let low = self.lows.iter().copied().fold(f64::INFINITY, f64::min);
        if low.is_finite() && low > 0.0 { self.mean_us / low } else { 1.0 }
    }
}
