//! Which connections of one server have gone silent for good.
//!
//! A connection that something between the two ends has lost track of never
//! reports an error. What shows it is progress elsewhere: requests that were
//! sent later on other connections of the same server have been answered. If no
//! other connection has a request, a probe on a fresh connection takes their
//! place. A slow server slows all of its connections and so is not mistaken for
//! a silent connection.
//!
//! Invariant: a connection is named silent only if it waited longer than a
//! multiple of the slowest recent reply, and later requests were answered on
//! other connections. One whose request must not run twice is never named.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::lane::Connection;
use base::time::Time;

/// Replies whose latency is remembered.
const RECENT: usize = 64;

/// When a connection counts as silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Replies to later requests on other connections that it takes.
    pub later_replies: u32,
    /// The multiple of the slowest recent reply that it takes.
    pub factor: u32,
    /// The shortest wait that counts.
    pub least: Duration,
    /// The wait after which a probe is sent if there is no other progress.
    pub alone: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            later_replies: 3,
            factor: 3,
            least: Duration::from_millis(100),
            alone: Duration::from_millis(250),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Busy {
    sent: Time,
    later: u32,
    keep: bool,
    /// When it was sent or last probed for.
    asked: Time,
}

/// Watches the connections of one server.
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    busy: BTreeMap<Connection, Busy>,
    recent: VecDeque<Duration>,
}

impl Detector {
    /// A detector that has seen nothing.
    pub fn new(settings: Settings) -> Self {
        Self { settings, busy: BTreeMap::new(), recent: VecDeque::new() }
    }

    /// Notes a request; `keep` if its connection must not be given up.
    pub fn sent(&mut self, now: Time, id: Connection, keep: bool) {
        self.busy.insert(id, Busy { sent: now, later: 0, keep, asked: now });
    }

    /// Notes the end of a reply.
    pub fn replied(&mut self, now: Time, id: Connection) {
        let Some(done) = self.busy.remove(&id) else { return };
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(now - done.sent);
        self.progress(done.sent, 1);
    }

    /// Notes that a probe which was sent at `sent` on a fresh connection was
    /// answered.
    pub fn probed(&mut self, sent: Time) {
        self.progress(sent, self.settings.later_replies);
    }

    /// Forgets a connection that was closed or whose request was given up.
    pub fn ended(&mut self, id: Connection) {
        self.busy.remove(&id);
    }

    /// The connections that are silent at `now`.
    pub fn silent(&self, now: Time) -> Vec<Connection> {
        let bound = self.bound();
        let silent = |busy: &Busy| {
            !busy.keep && busy.later >= self.settings.later_replies && now - busy.sent > bound
        };
        self.busy.iter().filter(|(_, busy)| silent(busy)).map(|(id, _)| *id).collect()
    }

    /// The connection that has waited for longest and calls for a probe at
    /// `now`, if any; it is named again after the same wait.
    pub fn probe(&mut self, now: Time) -> Option<Connection> {
        let bound = self.bound().max(self.settings.alone);
        let stuck = |busy: &Busy| now - busy.asked > bound;
        let oldest = self.busy.iter_mut().filter(|(_, busy)| stuck(busy));
        let (id, busy) = oldest.min_by_key(|(_, busy)| busy.sent)?;
        busy.asked = now;
        Some(*id)
    }

    /// Whether the connection must not be given up.
    pub fn keeps(&self, id: Connection) -> bool {
        self.busy.get(&id).is_some_and(|busy| busy.keep)
    }

    fn progress(&mut self, sent: Time, weight: u32) {
        for busy in self.busy.values_mut().filter(|busy| busy.sent < sent) {
            busy.later = busy.later.saturating_add(weight);
        }
    }

    fn bound(&self) -> Duration {
        let slowest = self.recent.iter().max().copied().unwrap_or_default();
        (slowest * self.settings.factor).max(self.settings.least)
    }
}
