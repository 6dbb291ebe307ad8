//! The planned stop of this node: until when it takes requests, and when those that it has taken
//! must be answered.
//!
//! Invariant: every request that was taken is answered before the process exits. One that arrives
//! too late for that is refused and does not run.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use crate::lookup;
use base::time::Time;

/// How long a node that shuts down accepts connections after the last lookup that
/// returned it has expired.
const ACCEPT_AFTER_TTL: Duration = Duration::from_millis(300);
/// The part of the grace that is reserved for the exit itself.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// The part of the grace before that in which the last answers are sent.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The times of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// How long requests are taken.
    pub accept_time: Duration,
    /// The time until all requests must have their answers.
    pub answer_time: Duration,
    /// The time until the process exits, answered or not.
    pub exit_time: Duration,
}

impl Schedule {
    /// The schedule of a stop that may take `grace`.
    pub fn new(grace: Duration) -> Self {
        let exit_time = grace.saturating_sub(EXIT_MARGIN);
        let answer_time = exit_time.saturating_sub(ANSWER_MARGIN);
        // Half of a short grace is left for the requests that were taken last.
        let accept_time = (lookup::MAX_LOOKUP_TTL + ACCEPT_AFTER_TTL).min(answer_time / 2);
        Self { accept_time, answer_time, exit_time }
    }
}

/// The stop of this process.
#[derive(Debug, Default)]
pub struct Stop {
    /// From when on no requests are taken; `None` before the stop.
    closes_at: Cell<Option<Time>>,
    /// Until when all requests must have their answers.
    answers_by: Cell<Option<Time>>,
    is_due: Cell<bool>,
    due: Notify,
}

impl Stop {
    /// Begins the stop.
    pub(crate) fn begin(&self, now: Time, schedule: Schedule) {
        self.closes_at.set(Some(now + schedule.accept_time));
        self.answers_by.set(Some(now + schedule.answer_time));
    }

    /// The deadline of a request that would be `deadline` without the stop.
    pub(crate) fn limit(&self, deadline: Time) -> Time {
        self.answers_by.get().map_or(deadline, |answers_by| deadline.min(answers_by))
    }

    /// Whether a request that arrives at `now` comes too late to be taken.
    pub(crate) fn is_too_late(&self, now: Time) -> bool {
        self.closes_at.get().is_some_and(|closes_at| now >= closes_at)
    }

    /// Makes all requests that are in progress end with an answer.
    pub fn end_requests(&self) {
        self.is_due.set(true);
        self.due.notify_waiters();
    }

    /// Waits until requests must end.
    async fn due(&self) {
        let due = self.due.notified();
        if !self.is_due.get() {
            due.await;
        }
    }

    /// The output of `request`, or `None` if it must end first. An output that is ready when the
    /// request must end is returned.
    pub async fn run_until_due<T>(&self, request: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = request => Some(output),
            () = self.due() => None,
        }
    }
}
