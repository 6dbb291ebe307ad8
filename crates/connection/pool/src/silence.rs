//! Detects connections of one server that no longer respond.
//!
//! A connection whose state was lost by a device between the two ends never
//! reports an error. It is detected by progress elsewhere: the server has answered
//! requests that were sent later on other connections. If no other connection
//! carries a request, a probe on a new connection is sent instead. A slow server
//! is slow on all of its connections, so it is not mistaken for a silent
//! connection.
//!
//! Invariant: a connection is reported as silent only if its request has waited
//! longer than a multiple of the slowest recent reply, and either later requests
//! were answered on other connections, or a later probe was answered and the
//! request's probe grace has passed. The connection of a request that must not be
//! run twice is never reported.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::server::ConnectionId;
use base::time::Time;

/// The number of latest replies whose latency is kept.
const RECENT_LATENCIES: usize = 64;

/// When a connection is considered silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The number of replies to later requests on other connections.
    pub later_replies: u32,
    /// The multiple of the slowest recent reply's latency that must have passed.
    pub latency_factor: u32,
    /// The minimum wait for a reply.
    pub min_wait: Duration,
    /// The minimum wait after which a probe is sent.
    pub probe_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            later_replies: 3,
            latency_factor: 3,
            min_wait: Duration::from_millis(100),
            probe_after: Duration::from_millis(250),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent: Time,
    later_replies: u32,
    /// Whether a later probe was answered.
    probe_answered: bool,
    protected: bool,
    /// The wait before an answered probe alone marks the connection as silent.
    probe_grace: Duration,
    /// The time of the last probe, or of the request if there was none.
    probed_at: Time,
}

/// Detects silent connections of one server.
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    pending: BTreeMap<ConnectionId, Pending>,
    recent_latencies: VecDeque<Duration>,
}

impl Detector {
    /// Creates a detector without any requests.
    pub fn new(settings: Settings) -> Self {
        Self { settings, pending: BTreeMap::new(), recent_latencies: VecDeque::new() }
    }

    /// Records a request; `protected` if its connection must not be closed.
    pub fn request_sent(&mut self, now: Time, id: ConnectionId, protected: bool) {
        self.request_sent_with_grace(now, id, protected, Duration::ZERO);
    }

    /// Records a request whose connection is not reported as silent before
    /// `probe_grace` if only a probe was answered: a probe is cheap, so a server that
    /// is slow for requests still answers it.
    pub fn request_sent_with_grace(
        &mut self,
        now: Time,
        id: ConnectionId,
        protected: bool,
        probe_grace: Duration,
    ) {
        let pending = Pending {
            sent: now,
            later_replies: 0,
            probe_answered: false,
            protected,
            probe_grace,
            probed_at: now,
        };
        self.pending.insert(id, pending);
    }

    /// Records the end of a reply.
    pub fn reply_received(&mut self, now: Time, id: ConnectionId) {
        let Some(done) = self.pending.remove(&id) else { return };
        if self.recent_latencies.len() == RECENT_LATENCIES {
            self.recent_latencies.pop_front();
        }
        self.recent_latencies.push_back(now - done.sent);
        for pending in self.pending.values_mut().filter(|pending| pending.sent < done.sent) {
            pending.later_replies = pending.later_replies.saturating_add(1);
        }
    }

    /// Records the end of a health reply. It counts as an answered probe, since its
    /// latency is not that of a request.
    pub fn health_received(&mut self, _now: Time, id: ConnectionId) {
        if let Some(done) = self.pending.remove(&id) {
            self.probe_answered(done.sent);
        }
    }

    /// Records that a probe that was sent at `sent` was answered.
    pub fn probe_answered(&mut self, sent: Time) {
        for pending in self.pending.values_mut().filter(|pending| pending.sent < sent) {
            pending.probe_answered = true;
        }
    }

    /// Removes a connection that was closed or whose request was cancelled.
    pub fn remove(&mut self, id: ConnectionId) {
        self.pending.remove(&id);
    }

    /// The connections that are silent at `now`.
    pub fn silent(&self, now: Time) -> Vec<ConnectionId> {
        let max_wait = self.max_wait();
        let silent = |pending: &Pending| {
            let waited = now - pending.sent;
            let overtaken = pending.later_replies >= self.settings.later_replies;
            !pending.protected
                && waited > max_wait
                && (overtaken || pending.probe_answered && waited > pending.probe_grace)
        };
        self.pending.iter().filter(|(_, pending)| silent(pending)).map(|(id, _)| *id).collect()
    }

    /// The connection with the oldest request for which a probe is due at `now`, if
    /// any. The next probe for it is due after the same wait.
    pub fn next_probe(&mut self, now: Time) -> Option<ConnectionId> {
        let max_wait = self.max_wait().max(self.settings.probe_after);
        let is_due = |pending: &Pending| now - pending.probed_at > max_wait;
        let oldest = self.pending.iter_mut().filter(|(_, pending)| is_due(pending));
        let (id, pending) = oldest.min_by_key(|(_, pending)| pending.sent)?;
        pending.probed_at = now;
        Some(*id)
    }

    /// Whether the connection must not be closed at `now` to make room for a probe.
    pub fn is_protected(&self, now: Time, id: ConnectionId) -> bool {
        self.pending
            .get(&id)
            .is_some_and(|pending| pending.protected || now - pending.sent <= pending.probe_grace)
    }

    fn max_wait(&self) -> Duration {
        let slowest = self.recent_latencies.iter().max().copied().unwrap_or_default();
        (slowest * self.settings.latency_factor).max(self.settings.min_wait)
    }
}
