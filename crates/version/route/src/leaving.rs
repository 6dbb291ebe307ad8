//! Which servers are leaving.
//!
//! Incarnations have no order, so of two of them nothing tells which is the
//! newer one but what was seen. An incarnation ends when it says that it drains,
//! when the VM list calls its VM leaving, when a peer says so, or when another
//! incarnation has been seen in its place. What ended is remembered, and told to
//! the peers; an ended incarnation never counts again, whoever names it.
//!
//! A reply to a request comes from the process that runs, and a health report
//! may lag. So only a reply replaces an incarnation that is not ended. A health
//! report with an unknown incarnation counts once the present one has ended,
//! since no request goes there that could show the new one; the first reply then
//! confirms it or shows that the ended one still runs.
//!
//! Invariant: once an incarnation has ended on this node, the server gets no new
//! work until another one, which never ended here, is seen.

use std::collections::VecDeque;
use std::fmt;

use wire::id::Incarnation;
use wire::platform::Life;
use wire::upstream::State;

/// Ended incarnations that are remembered for one server. One that is forgotten
/// after this many restarts can only come back if it still runs.
const REMEMBERED: usize = 256;

/// How a report reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// On a reply to a request.
    Reply,
    /// From the health endpoint.
    Health,
}

/// The lives of one server.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    current: Option<Incarnation>,
    confirmed: bool,
    ended: VecDeque<Incarnation>,
    /// The VM list calls it leaving, and no incarnation is known yet.
    pending: bool,
    listed: Option<Life>,
}

/// What a report changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Incarnations that ended, to be told to the peers.
    pub ended: Vec<Incarnation>,
    /// A new incarnation took the place of one that was known.
    pub restarted: bool,
}

impl Incarnations {
    /// A server of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// The incarnation that is believed to run.
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
            None => self.pending || !self.ended.is_empty(),
        }
    }

    /// Whether an incarnation is known to have ended.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Takes in what a server said about itself.
    pub fn report(&mut self, source: Source, incarnation: Incarnation, state: State) -> Change {
        let mut change = Change::default();
        if self.has_ended(incarnation) {
            self.contradict(source, incarnation, &mut change);
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
        if state == State::Draining || self.pending {
            self.pending = false;
            self.end(incarnation, &mut change);
        }
        change
    }

    /// Takes in what the VM list says; only the change to leaving counts, so
    /// that a list which lags behind a restart does not end the new incarnation.
    pub fn list(&mut self, life: Life) -> Change {
        let before = self.listed.replace(life);
        if life == Life::Leaving && before != Some(Life::Leaving) {
            return self.drain();
        }
        Change::default()
    }

    /// Takes in that the server drains, from a source that names no incarnation.
    pub fn drain(&mut self) -> Change {
        let mut change = Change::default();
        match self.current {
            Some(current) => self.end(current, &mut change),
            None => self.pending = true,
        }
        change
    }

    /// Takes in a peer's mark.
    pub fn apply_withdrawal(&mut self, incarnation: Incarnation) -> Change {
        let mut change = Change::default();
        self.end(incarnation, &mut change);
        change
    }

    /// Whether an unknown incarnation from `source` replaces the present one.
    fn replaces(&self, source: Source) -> bool {
        match self.current {
            None => true,
            Some(current) => source == Source::Reply || self.has_ended(current),
        }
    }

    /// A reply from an ended incarnation, though an unconfirmed one was believed
    /// to run: the health report had made it up or mixed it up.
    fn contradict(&mut self, source: Source, incarnation: Incarnation, change: &mut Change) {
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
        if self.ended.len() == REMEMBERED {
            // The one that runs is never forgotten, whatever peers tell.
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
