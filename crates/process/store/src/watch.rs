//! Following the platform's changes when reads are stale and watches go silent.
//!
//! Invariants: the revision that the next watch goes on from never falls and
//! never passes what was received; a newer revision heard of elsewhere that the
//! watch doesn't bring within [`Settings::lag`] makes it be replaced and all
//! objects be read again.
//!
//! A silent watch is found three ways: no answer when its wait is over, a newer
//! revision heard from peers, and a newer revision found by the check read that
//! is made every [`Settings::check_every`].

use std::fmt;
use std::time::Duration;

use crate::budget::Backoff;
use base::time::Time;

/// How changes are followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long one watch call waits for an event.
    pub wait: Duration,
    /// How much longer an answer may take before it isn't trusted.
    pub grace: Duration,
    /// How long a newer revision may be known before the watch brings it.
    pub lag: Duration,
    /// The time between check reads.
    pub check_every: Duration,
    /// The first wait after a failure.
    pub first_backoff: Duration,
    /// The longest wait after failures.
    pub longest_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(2),
            grace: Duration::from_secs(3),
            lag: Duration::from_millis(1000),
            check_every: Duration::from_secs(3),
            first_backoff: Duration::from_millis(100),
            longest_backoff: Duration::from_secs(2),
        }
    }
}

/// What the shell is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read all objects of all kinds.
    List,
    /// Watch from this revision on.
    Watch(u64),
    /// Read one small kind for its revision.
    Check,
    /// Call [`Watch::next`] again at this time.
    Wait(Time),
}

/// The state of following.
#[derive(Clone, Debug)]
pub struct Watch {
    settings: Settings,
    since: u64,
    listed: bool,
    /// The highest revision known to exist, and since when it isn't received.
    heard: u64,
    behind: Option<Time>,
    checked: Time,
    paused_until: Time,
    backoff: Backoff,
    failing: Option<Time>,
    replaced: u64,
    stale: u64,
}

impl Watch {
    /// Follows from nothing; `seed` sets the jitter.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let backoff = Backoff::new(settings.first_backoff, settings.longest_backoff, seed);
        Self {
            settings,
            since: 0,
            listed: false,
            heard: 0,
            behind: None,
            checked: Time::ZERO,
            paused_until: Time::ZERO,
            backoff,
            failing: None,
            replaced: 0,
            stale: 0,
        }
    }

    /// What to do now; one action runs at a time.
    pub fn next(&mut self, now: Time) -> Action {
        if now < self.paused_until {
            return Action::Wait(self.paused_until);
        }
        if self.is_lagging(now) {
            log::warn!(target: "store", "watch is behind revision {}, replaced", self.heard);
            self.replaced += 1;
            self.behind = Some(now);
            self.listed = false;
        }
        if !self.listed {
            return Action::List;
        }
        if now.since(self.checked) >= self.settings.check_every {
            self.checked = now;
            return Action::Check;
        }
        Action::Watch(self.since)
    }

    /// How long a watch call may wait.
    pub fn wait(&self) -> Duration {
        self.settings.wait
    }

    /// A revision that peers hold or that any read showed.
    pub fn observe_revision(&mut self, revision: u64, now: Time) {
        if revision > self.heard {
            self.heard = revision;
        }
        if self.heard > self.since && self.behind.is_none() {
            self.behind = Some(now);
        }
    }

    /// A watch call made at `asked` brought changes up to `revision`; false if they
    /// are stale, or if the answer may have waited while this process was paused.
    pub fn received(&mut self, revision: u64, asked: Time, now: Time) -> bool {
        self.succeeded();
        if now.since(asked) >= self.settings.wait + self.settings.grace {
            self.stale += 1;
            self.listed = false;
            return false;
        }
        self.advance(revision, now)
    }

    /// All kinds were listed from `asked` on; `revision` is the lowest of the
    /// lists'. False if they are stale or may have waited through a pause.
    pub fn listed(&mut self, revision: u64, asked: Time, now: Time) -> bool {
        self.succeeded();
        let late = now.since(asked) >= self.settings.wait + self.settings.grace;
        if late || revision < self.since.max(self.heard) {
            // A stale list: go on with what is known and read again soon.
            self.stale += 1;
            self.paused_until = now + self.backoff.wait();
            return false;
        }
        self.listed = true;
        self.checked = now;
        self.advance(revision, now)
    }

    /// A check read showed `revision`.
    pub fn checked(&mut self, revision: u64, now: Time) {
        self.succeeded();
        self.observe_revision(revision, now);
    }

    /// A call failed.
    pub fn failed(&mut self, now: Time) {
        self.failing.get_or_insert(now);
        self.paused_until = now + self.backoff.wait();
    }

    /// How long the platform has not answered; `None` while it does.
    pub fn failing_for(&self, now: Time) -> Option<Duration> {
        self.failing.map(|since| now.since(since))
    }

    /// The revision up to which everything was received.
    pub fn since(&self) -> u64 {
        self.since
    }

    /// How often a watch was replaced for lagging.
    pub fn replaced(&self) -> u64 {
        self.replaced
    }

    /// How many answers were stale.
    pub fn stale(&self) -> u64 {
        self.stale
    }

    fn is_lagging(&self, now: Time) -> bool {
        self.behind.is_some_and(|since| now.since(since) >= self.settings.lag)
    }

    fn succeeded(&mut self) {
        self.failing = None;
        self.backoff.reset();
    }

    fn advance(&mut self, revision: u64, now: Time) -> bool {
        if revision < self.since {
            self.stale += 1;
            return false;
        }
        if revision > self.since {
            self.since = revision;
            // Progress, so the lag is counted anew.
            self.behind = None;
        }
        if self.since >= self.heard {
            self.behind = None;
        }
        self.observe_revision(revision, now);
        true
    }
}

impl fmt::Display for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {}, heard {}, ", self.since, self.heard)?;
        write!(f, "replaced {}, stale {}", self.replaced, self.stale)
    }
}
