//! The one place where the node reads a clock.

use std::time::Instant;

use base::time::Time;

/// Turns the operating system's monotonic clock into [`Time`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose zero is now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// The present time.
    pub fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// The operating system's instant of `time`, for sleeping until then.
    pub fn instant(self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + time.since(Time::ZERO))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
