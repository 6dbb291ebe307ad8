//! Whether a server is fit for work. This is advice.
//!
//! Failures in a row make a server unfit, as does a refusal until the time to
//! come back. Advice has a floor: however many replicas of a group look unfit,
//! no more than a set part of them is ruled out, so that a fault of the judge
//! (or of all replicas at once) never empties a group.
//!
//! Invariant: [`fit`] keeps at least one of a non-empty group, and rules out at
//! most the floor of the group's size times the part.

use std::time::Duration;

use base::time::Time;

/// Failures in a row that make a server unfit.
const FAILURES: u32 = 3;
/// How long an unfit server is spared; the next attempt then tries it.
const SPARED: Duration = Duration::from_secs(2);
/// How long a refusal counts if it does not say when to come back.
const REFUSED: Duration = Duration::from_millis(50);
/// How long a server must have failed, without a sign of life, to count as lost.
const LOST: Duration = Duration::from_secs(2);
/// The longest time that a refusal counts, whatever it says.
const MOST_REFUSED: Duration = Duration::from_secs(2);

/// What is known of a server's fitness.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    refusals: u64,
    spared_until: Time,
    /// The first failure since the last sign of life.
    failing_since: Option<Time>,
}

impl Health {
    /// A fit server.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a reply.
    pub fn replied(&mut self) {
        self.failures = 0;
        self.failing_since = None;
    }

    /// Notes an answer about health: a sign of life, though no proof of fitness.
    pub fn answered(&mut self) {
        self.failing_since = None;
    }

    /// Notes an attempt or a health check without an answer.
    pub fn failed(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        self.failing_since.get_or_insert(now);
        if self.failures >= FAILURES {
            self.spared_until = self.spared_until.max(now + SPARED);
        }
    }

    /// Notes a refusal.
    pub fn refused(&mut self, now: Time, retry_after: Option<Duration>) {
        self.refusals += 1;
        let span = retry_after.unwrap_or(REFUSED).min(MOST_REFUSED);
        self.spared_until = self.spared_until.max(now + span);
    }

    /// Forgets all, for a new incarnation.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.spared_until = Time::ZERO;
        self.failing_since = None;
    }

    /// Whether the server has only failed for so long that a request need not
    /// wait for it.
    pub fn is_unreachable(&self, now: Time) -> bool {
        let long = self.failing_since.is_some_and(|since| now.since(since) >= LOST);
        long && self.failures >= FAILURES
    }

    /// Whether the server is unfit at `now`.
    pub fn is_unfit(&self, now: Time) -> bool {
        now < self.spared_until
    }

    /// Failures in a row; the more, the sooner a server is ruled out.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Refusals so far.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }
}

/// Splits a group of `size` replicas with the given failures (`None` for a fit
/// one) into those that stay and those that are ruled out: the worst ones, up to
/// `percent` of the group.
pub fn fit<T: Copy>(replicas: &[(T, Option<u32>)], size: usize, percent: u32) -> (Vec<T>, Vec<T>) {
    let most = size * percent.min(100) as usize / 100;
    let most = most.min(replicas.len().saturating_sub(1));
    let mut unfit: Vec<(usize, u32)> = Vec::new();
    for (index, (_, failures)) in replicas.iter().enumerate() {
        if let Some(failures) = failures {
            unfit.push((index, *failures));
        }
    }
    unfit.sort_by_key(|(index, failures)| (std::cmp::Reverse(*failures), *index));
    unfit.truncate(most);
    let out = |index: usize| unfit.iter().any(|(found, _)| *found == index);
    let (mut kept, mut ruled_out) = (Vec::new(), Vec::new());
    for (index, (replica, _)) in replicas.iter().enumerate() {
        if out(index) { ruled_out.push(*replica) } else { kept.push(*replica) }
    }
    (kept, ruled_out)
}
