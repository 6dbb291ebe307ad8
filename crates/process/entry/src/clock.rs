//! The node's clock; no other code reads the time.

use std::time::Instant;

use base::time::Time;

/// Turns the operating system's monotonic clock into [`Time`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose [`Time::ZERO`] is now.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// The present time.
    pub fn now(self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Converts `time` to an instant, to sleep until then.
    pub fn instant(self, time: Time) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + time.since(Time::ZERO))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
