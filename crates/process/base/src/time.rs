//! Points in time that are passed as arguments, so that no decision logic reads a
//! clock.
//!
//! Invariant: a [`Time`] is only compared with others of the same process.
//! Messages between processes carry a remaining [`Duration`], never a point in
//! time.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in microseconds since the start of the process or the trace.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The start of the process or trace.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point in time `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// The duration since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Time {
    /// The time `span` earlier; time zero if there is none.
    pub fn before(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1000, self.0 % 1000)
    }
}
