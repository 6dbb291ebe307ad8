//! Outlier ejection: whether a server should be passed over for a while.
//!
//! A server is ejected after consecutive failures, and after a refusal until its
//! retry delay has passed. However many replicas of a group qualify, only a set
//! percentage of the group is ejected, so that a wrong health judgement (or a
//! fault of all replicas at once) never empties a group.
//!
//! Invariant: [`partition_ejected`] keeps at least one replica of a non-empty
//! group, and ejects at most the percentage of the group's size, rounded down.

use std::time::Duration;

use base::time::Time;

/// Consecutive failures after which a server is ejected.
const EJECTION_THRESHOLD: u32 = 3;
/// How long a server stays ejected after the last failure; it is then tried again.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// How long a server is passed over after a refusal without a retry delay.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
/// How long every attempt and health check must have failed for a server to
/// count as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(2);
/// The upper bound on a refusal's retry delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The failures and refusals of one server.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    refusals: u64,
    ejected_until: Time,
    /// The first failure since the last reply or health response.
    failing_since: Option<Time>,
}

impl Health {
    /// The state of a healthy server.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a reply to a request.
    pub fn record_reply(&mut self) {
        self.consecutive_failures = 0;
        self.failing_since = None;
    }

    /// Records a health response. It shows that the server is reachable, but does
    /// not reset the count of consecutive failures.
    pub fn record_health_response(&mut self) {
        self.failing_since = None;
    }

    /// Records an attempt or a health check that got no answer.
    pub fn record_failure(&mut self, now: Time) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failing_since.get_or_insert(now);
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            self.ejected_until = self.ejected_until.max(now + EJECTION_TIME);
        }
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self, now: Time, retry_after: Option<Duration>) {
        self.refusals += 1;
        let delay = retry_after.unwrap_or(DEFAULT_RETRY_AFTER).min(MAX_RETRY_AFTER);
        self.ejected_until = self.ejected_until.max(now + delay);
    }

    /// Clears the state for a new incarnation, except for the count of refusals.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = Time::ZERO;
        self.failing_since = None;
    }

    /// Whether nothing but failures was seen for so long that requests should not
    /// wait for the server.
    pub fn is_unreachable(&self, now: Time) -> bool {
        let long = self.failing_since.is_some_and(|since| now.since(since) >= UNREACHABLE_AFTER);
        long && self.consecutive_failures >= EJECTION_THRESHOLD
    }

    /// Whether the server is ejected at `now`.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Consecutive failures; the servers with the most are ejected first.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Refusals so far.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }
}

/// Splits a group of `size` replicas into the kept and the ejected ones. A replica
/// that qualifies for ejection comes with its consecutive failures, any other with
/// `None`; those with the most failures are ejected, up to `percent` of the group.
pub fn partition_ejected<T: Copy>(
    replicas: &[(T, Option<u32>)],
    size: usize,
    percent: u32,
) -> (Vec<T>, Vec<T>) {
    let limit = size * percent.min(100) as usize / 100;
    let limit = limit.min(replicas.len().saturating_sub(1));
    let mut candidates: Vec<(usize, u32)> = Vec::new();
    for (index, (_, failures)) in replicas.iter().enumerate() {
        if let Some(failures) = failures {
            candidates.push((index, *failures));
        }
    }
    candidates.sort_by_key(|(index, failures)| (std::cmp::Reverse(*failures), *index));
    candidates.truncate(limit);
    let is_ejected = |index: usize| candidates.iter().any(|(found, _)| *found == index);
    let (mut kept, mut ejected) = (Vec::new(), Vec::new());
    for (index, (replica, _)) in replicas.iter().enumerate() {
        if is_ejected(index) { ejected.push(*replica) } else { kept.push(*replica) }
    }
    (kept, ejected)
}
