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

/// A point in time, in microseconds since the start of the process or the trace; negative before it,
/// for what others tell.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(i64);

impl Time {
    /// The start of the process or trace.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const NEVER: Self = Self(i64::MAX);

    /// The point in time `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Self {
        Self::from_micros(ms * 1000)
    }

    /// The point in time `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(if micros > i64::MAX as u64 { i64::MAX } else { micros as i64 })
    }

    /// The microseconds since the start; zero before it.
    pub const fn micros(self) -> u64 {
        if self.0 < 0 { 0 } else { self.0 as u64 }
    }

    /// The duration since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0).max(0) as u64)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = i64::try_from(span.as_micros()).unwrap_or(i64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Time {
    /// The time `span` earlier, which may lie before the start: events that are as far apart as others
    /// say stay so.
    pub fn before(self, span: Duration) -> Self {
        let micros = i64::try_from(span.as_micros()).unwrap_or(i64::MAX);
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
        let sign = if self.0 < 0 { "-" } else { "" };
        let micros = self.0.unsigned_abs();
        write!(f, "{sign}{}.{:03}ms", micros / 1000, micros % 1000)
    }
}
