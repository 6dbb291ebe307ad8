//! The usual timeout of the callers of a route, from which a repeated request is told from a first
//! one: callers shorten their timeout in a retry by the time since their first attempt.
//!
//! Invariant: a few callers with longer timeouts than the others don't change the usual one.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of requests whose timeouts are kept.
const WINDOW: usize = 256;
/// At least one in so many recent requests is a first attempt: callers repeat a request three times
/// at most.
const ATTEMPTS: usize = 4;
/// The minimum number of requests with a timeout at least as long as the usual one.
const MIN_REQUESTS: usize = 2;

/// The timeouts of the most recent requests.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    timeouts: VecDeque<Duration>,
}

impl Recent {
    /// Adds the timeout of a request.
    pub fn add(&mut self, timeout: Duration) {
        if self.timeouts.len() == WINDOW {
            self.timeouts.pop_front();
        }
        self.timeouts.push_back(timeout);
    }

    /// The usual timeout of a first attempt: the longest that a part of the recent requests have
    /// which is as large as that of first attempts. `None` if there were too few requests.
    pub fn usual(&self) -> Option<Duration> {
        let rank = self.timeouts.len().div_ceil(ATTEMPTS).max(MIN_REQUESTS);
        let index = self.timeouts.len().checked_sub(rank)?;
        let mut timeouts: Vec<Duration> = self.timeouts.iter().copied().collect();
        Some(*timeouts.select_nth_unstable(index).1)
    }
}
