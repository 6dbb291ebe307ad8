//! Tracks the platform's changes although reads may be stale and a watch may stop
//! to deliver events.
//!
//! Invariants: the revision from which the next watch continues never decreases
//! and never exceeds what was received; if a newer revision is known from another
//! source and the watch doesn't deliver it within [`Settings::max_lag`], the watch
//! is abandoned and all objects are listed again.
//!
//! A silent watch is detected in three ways: it doesn't answer when its wait is
//! over, a peer reports a newer revision, or a check read, made every
//! [`Settings::check_interval`], shows a newer revision.

use std::fmt;
use std::time::Duration;

use crate::budget::Backoff;
use base::time::Time;

/// The timing of watches, check reads and retries.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The time that one watch call waits for an event.
    pub max_wait: Duration,
    /// How much longer than the wait a call may take before its answer is discarded
    /// as possibly out of date.
    pub answer_grace: Duration,
    /// The time within which the watch must deliver a revision that is known to exist.
    pub max_lag: Duration,
    /// The interval of the check reads.
    pub check_interval: Duration,
    /// The delay after the first failure.
    pub initial_backoff: Duration,
    /// The maximum delay after repeated failures.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_wait: Duration::from_secs(2),
            answer_grace: Duration::from_secs(3),
            max_lag: Duration::from_millis(1000),
            check_interval: Duration::from_secs(3),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// What the driver of the state machine must do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// List the objects of all kinds.
    List,
    /// Watch for changes after this revision.
    Watch(u64),
    /// List one kind with few objects, to learn the platform's current revision.
    Check,
    /// Call [`Watch::next`] again at this time.
    Wait(Time),
}

/// The state of one node's watch on the platform.
#[derive(Clone, Debug)]
pub struct Watch {
    settings: Settings,
    since: u64,
    listed: bool,
    /// The highest revision known to exist.
    highest_known: u64,
    /// Since when a known revision has not been received.
    behind_since: Option<Time>,
    last_check: Time,
    paused_until: Time,
    backoff: Backoff,
    failing_since: Option<Time>,
    replaced: u64,
    stale: u64,
}

impl Watch {
    /// A watch that has received nothing yet; `seed` sets the jitter.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let backoff = Backoff::new(settings.initial_backoff, settings.max_backoff, seed);
        Self {
            settings,
            since: 0,
            listed: false,
            highest_known: 0,
            behind_since: None,
            last_check: Time::ZERO,
            paused_until: Time::ZERO,
            backoff,
            failing_since: None,
            replaced: 0,
            stale: 0,
        }
    }

    /// Returns the next action; only one action may run at a time.
    pub fn next(&mut self, now: Time) -> Action {
        if now < self.paused_until {
            return Action::Wait(self.paused_until);
        }
        if self.is_lagging(now) {
            log::warn!(
                target: "store",
                "watch did not deliver revision {}; listing all objects",
                self.highest_known
            );
            self.replaced += 1;
            self.behind_since = Some(now);
            self.listed = false;
        }
        if !self.listed {
            return Action::List;
        }
        if now.since(self.last_check) >= self.settings.check_interval {
            self.last_check = now;
            return Action::Check;
        }
        Action::Watch(self.since)
    }

    /// How long a watch call may wait.
    pub fn max_wait(&self) -> Duration {
        self.settings.max_wait
    }

    /// Records a revision that a peer has or that a read returned.
    pub fn observe_revision(&mut self, revision: u64, now: Time) {
        if revision > self.highest_known {
            self.highest_known = revision;
        }
        if self.highest_known > self.since && self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Handles the answer of a watch call that was sent at `requested_at` and returned
    /// the changes up to `revision`. Returns false if they are stale, or if the
    /// process may have been paused before it read the answer.
    pub fn on_changes(&mut self, revision: u64, requested_at: Time, now: Time) -> bool {
        self.on_success();
        if now.since(requested_at) >= self.settings.max_wait + self.settings.answer_grace {
            self.stale += 1;
            self.listed = false;
            return false;
        }
        self.advance(revision, now)
    }

    /// Handles the lists of all kinds, requested from `requested_at` on; `revision` is
    /// the lowest revision of the lists. Returns false if they are stale, or if the
    /// process may have been paused before it read them.
    pub fn on_list(&mut self, revision: u64, requested_at: Time, now: Time) -> bool {
        self.on_success();
        let is_late =
            now.since(requested_at) >= self.settings.max_wait + self.settings.answer_grace;
        if is_late || revision < self.since.max(self.highest_known) {
            // Keep what is known and list again after a delay.
            self.stale += 1;
            self.paused_until = now + self.backoff.next_delay();
            return false;
        }
        self.listed = true;
        self.last_check = now;
        self.advance(revision, now)
    }

    /// Handles a check read that returned `revision`.
    pub fn on_check(&mut self, revision: u64, now: Time) {
        self.on_success();
        self.observe_revision(revision, now);
    }

    /// Handles a failed call.
    pub fn on_failure(&mut self, now: Time) {
        self.failing_since.get_or_insert(now);
        self.paused_until = now + self.backoff.next_delay();
    }

    /// The time since calls began to fail; `None` if the last one succeeded.
    pub fn outage(&self, now: Time) -> Option<Duration> {
        self.failing_since.map(|since| now.since(since))
    }

    /// The revision up to which all changes were received.
    pub fn since(&self) -> u64 {
        self.since
    }

    /// How many watches were abandoned because they lagged.
    pub fn replaced(&self) -> u64 {
        self.replaced
    }

    /// How many answers were discarded as stale.
    pub fn stale(&self) -> u64 {
        self.stale
    }

    fn is_lagging(&self, now: Time) -> bool {
        self.behind_since.is_some_and(|since| now.since(since) >= self.settings.max_lag)
    }

    fn on_success(&mut self) {
        self.failing_since = None;
        self.backoff.reset();
    }

    fn advance(&mut self, revision: u64, now: Time) -> bool {
        if revision < self.since {
            self.stale += 1;
            return false;
        }
        if revision > self.since {
            self.since = revision;
            // The watch made progress, so its lag is measured from now on.
            self.behind_since = None;
        }
        if self.since >= self.highest_known {
            self.behind_since = None;
        }
        self.observe_revision(revision, now);
        true
    }
}

impl fmt::Display for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {}, highest known {}, ", self.since, self.highest_known)?;
        write!(f, "replaced {}, stale {}", self.replaced, self.stale)
    }
}
