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
//! other connections, or a probe was and the request's patience is spent. One whose request must not run twice is never named.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::server::ConnectionId;
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
    /// Whether a probe that was sent later was answered.
    probed: bool,
    keep: bool,
    /// How long it is waited for on a probe's word alone.
    patience: Duration,
    /// When it was sent or last probed for.
    asked: Time,
}

/// Watches the connections of one server.
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    busy: BTreeMap<ConnectionId, Busy>,
    recent: VecDeque<Duration>,
}

impl Detector {
    /// A detector that has seen nothing.
    pub fn new(settings: Settings) -> Self {
        Self { settings, busy: BTreeMap::new(), recent: VecDeque::new() }
    }

    /// Notes a request; `keep` if its connection must not be given up.
    pub fn sent(&mut self, now: Time, id: ConnectionId, keep: bool) {
        self.sent_with(now, id, keep, Duration::ZERO);
    }

    /// Notes a request that a probe's word alone does not end before `patience`:
    /// a probe asks for little and so is answered by a server that is slow.
    pub fn sent_with(&mut self, now: Time, id: ConnectionId, keep: bool, patience: Duration) {
        let busy = Busy { sent: now, later: 0, probed: false, keep, patience, asked: now };
        self.busy.insert(id, busy);
    }

    /// Notes the end of a reply.
    pub fn replied(&mut self, now: Time, id: ConnectionId) {
        let Some(done) = self.busy.remove(&id) else { return };
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(now - done.sent);
        for busy in self.busy.values_mut().filter(|busy| busy.sent < done.sent) {
            busy.later = busy.later.saturating_add(1);
        }
    }

    /// Notes the end of an answer about health, which counts like a probe's: it
    /// says nothing about how long requests take.
    pub fn answered(&mut self, _now: Time, id: ConnectionId) {
        if let Some(done) = self.busy.remove(&id) {
            self.probed(done.sent);
        }
    }

    /// Notes that a probe which was sent at `sent` on a fresh connection was
    /// answered.
    pub fn probed(&mut self, sent: Time) {
        for busy in self.busy.values_mut().filter(|busy| busy.sent < sent) {
            busy.probed = true;
        }
    }

    /// Forgets a connection that was closed or whose request was given up.
    pub fn ended(&mut self, id: ConnectionId) {
        self.busy.remove(&id);
    }

    /// The connections that are silent at `now`.
    pub fn silent(&self, now: Time) -> Vec<ConnectionId> {
        let bound = self.bound();
        let silent = |busy: &Busy| {
            let waited = now - busy.sent;
            let passed = busy.later >= self.settings.later_replies;
            !busy.keep && waited > bound && (passed || busy.probed && waited > busy.patience)
        };
        self.busy.iter().filter(|(_, busy)| silent(busy)).map(|(id, _)| *id).collect()
    }

    /// The connection that has waited for longest and calls for a probe at
    /// `now`, if any; it is named again after the same wait.
    pub fn probe(&mut self, now: Time) -> Option<ConnectionId> {
        let bound = self.bound().max(self.settings.alone);
        let stuck = |busy: &Busy| now - busy.asked > bound;
        let oldest = self.busy.iter_mut().filter(|(_, busy)| stuck(busy));
        let (id, busy) = oldest.min_by_key(|(_, busy)| busy.sent)?;
        busy.asked = now;
        Some(*id)
    }

    /// Whether the connection must not be given up at `now` to make room for a
    /// probe.
    pub fn keeps(&self, now: Time, id: ConnectionId) -> bool {
        self.busy.get(&id).is_some_and(|busy| busy.keep || now - busy.sent <= busy.patience)
    }

    fn bound(&self) -> Duration {
        let slowest = self.recent.iter().max().copied().unwrap_or_default();
        (slowest * self.settings.factor).max(self.settings.least)
    }
}
