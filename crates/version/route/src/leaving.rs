//! Which servers are leaving.
//!
//! Incarnations are not ordered: which of two is the newer one follows only from
//! the reports that this node has received. An incarnation ends when its server
//! reports that it is draining, when the VM list says that its VM is leaving, when
//! a peer withdraws it, or when another incarnation is reported in its place. Ended
//! incarnations are remembered and announced to the peers; an ended incarnation
//! never gets new work again, whichever source reports it.
//!
//! A reply to a request comes from the running process, while a health report may
//! be out of date. So only a reply replaces an incarnation that has not ended. A
//! health report with an unknown incarnation is accepted once the current one has
//! ended, since no request is sent then whose reply could show the new one. The
//! first reply confirms the new incarnation, or shows that the ended one still
//! runs.
//!
//! Invariant: once an incarnation has ended on this node, the server gets no new
//! work until another incarnation is reported that has not ended here.

use std::collections::VecDeque;
use std::fmt;

use wire::id::Incarnation;
use wire::platform::Lifecycle;
use wire::upstream::State;

/// The number of ended incarnations that are kept for one server. One that was
/// dropped after this many restarts is accepted again only if it still runs.
const MAX_ENDED: usize = 256;

/// Where a report comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A reply to a request.
    Reply,
    /// The health endpoint.
    Health,
}

/// The incarnations of one server.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    current: Option<Incarnation>,
    /// Whether a reply came from the current incarnation.
    confirmed: bool,
    /// Oldest first.
    ended: VecDeque<Incarnation>,
    /// A drain arrived before any incarnation was known; it ends the first one.
    drain_pending: bool,
    listed: Option<Lifecycle>,
}

/// What a report changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Incarnations that ended, to be announced to the peers.
    pub ended: Vec<Incarnation>,
    /// A new incarnation replaced a known one.
    pub restarted: bool,
}

impl Incarnations {
    /// A server without known incarnations.
    pub fn new() -> Self {
        Self::default()
    }

    /// The incarnation that is taken to be running.
    pub fn current(&self) -> Option<Incarnation> {
        self.current
    }

    /// The incarnations that ended, oldest first.
    pub fn ended(&self) -> impl Iterator<Item = Incarnation> {
        self.ended.iter().copied()
    }

    /// Whether the server must get no new work.
    pub fn is_leaving(&self) -> bool {
        match self.current {
            Some(current) => self.has_ended(current),
            None => self.drain_pending || !self.ended.is_empty(),
        }
    }

    /// Whether an incarnation is known to have ended.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Applies a server's report about itself.
    pub fn apply_report(
        &mut self,
        source: Source,
        incarnation: Incarnation,
        state: State,
    ) -> Change {
        let mut change = Change::default();
        if self.has_ended(incarnation) {
            self.apply_ended_report(source, incarnation, &mut change);
            return change;
        }
        if self.current != Some(incarnation) {
            if !self.replaces(source) {
                return change;
            }
            change.restarted = self.current.is_some();
            if let Some(old) = self.current {
                self.end(old, &mut change);
            }
            self.current = Some(incarnation);
            self.confirmed = false;
        }
        self.confirmed |= source == Source::Reply;
        if state == State::Draining || self.drain_pending {
            self.drain_pending = false;
            self.end(incarnation, &mut change);
        }
        change
    }

    /// Applies the state in the VM list. Only the change to leaving counts, so that
    /// a list which lags behind a restart does not end the new incarnation.
    pub fn update_listed(&mut self, lifecycle: Lifecycle) -> Change {
        let previous = self.listed.replace(lifecycle);
        if lifecycle == Lifecycle::Leaving && previous != Some(Lifecycle::Leaving) {
            return self.drain();
        }
        Change::default()
    }

    /// Ends the current incarnation, for a source that names none.
    pub fn drain(&mut self) -> Change {
        let mut change = Change::default();
        match self.current {
            Some(current) => self.end(current, &mut change),
            None => self.drain_pending = true,
        }
        change
    }

    /// Applies a peer's withdrawal.
    pub fn apply_withdrawal(&mut self, incarnation: Incarnation) -> Change {
        let mut change = Change::default();
        self.end(incarnation, &mut change);
        change
    }

    /// Whether an unknown incarnation from `source` replaces the current one.
    fn replaces(&self, source: Source) -> bool {
        match self.current {
            None => true,
            Some(current) => source == Source::Reply || self.has_ended(current),
        }
    }

    /// Applies a report from an ended incarnation. If it is a reply and the current
    /// incarnation is unconfirmed, then the health report that named the current
    /// one was wrong: the ended incarnation still runs.
    fn apply_ended_report(
        &mut self,
        source: Source,
        incarnation: Incarnation,
        change: &mut Change,
    ) {
        let Some(current) = self.current else {
            self.current = Some(incarnation);
            return;
        };
        if source == Source::Reply && !self.confirmed && current != incarnation {
            self.end(current, change);
            self.current = Some(incarnation);
        }
    }

    fn end(&mut self, incarnation: Incarnation, change: &mut Change) {
        if self.has_ended(incarnation) {
            return;
        }
        if self.ended.len() == MAX_ENDED {
            // The current incarnation is never dropped, however many withdrawals arrive.
            let oldest = self.ended.iter().position(|ended| Some(*ended) != self.current);
            self.ended.remove(oldest.unwrap_or(0));
        }
        self.ended.push_back(incarnation);
        change.ended.push(incarnation);
    }
}

impl fmt::Display for Incarnations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.current {
            Some(current) => write!(f, "{current}")?,
            None => f.write_str("unknown")?,
        }
        f.write_str(if self.is_leaving() { " leaving" } else { "" })
    }
}
