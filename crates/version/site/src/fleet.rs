//! The registered servers: who may get work, who is leaving, who is gone.
//!
//! Invariants: a life that was seen draining never gets work again, whatever an
//! older entry says. An entry that vanished is kept for [`Settings::lapse`],
//! since it may have lapsed while the registry was away and come back; then it
//! is gone.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::register::Entry;
use crate::register::Life;
use base::time::Time;

/// How entries that vanish are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an entry that vanished is still used.
    pub lapse: Duration,
    /// The same, counted from the end of an outage of the registry.
    pub outage_lapse: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // With the delay of the watch it stays below the three seconds
            // within which a leaving server must get no more work.
            lapse: Duration::from_millis(1900),
            // Servers register anew within two seconds of the registry's return.
            outage_lapse: Duration::from_millis(2500),
        }
    }
}

/// What changed for the choice of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The server may get work; its entry is new or has changed.
    Up(Entry),
    /// The server gets no more work.
    Leaving(Life),
    /// Its entry has vanished; others are preferred.
    Lapsing(Life),
    /// The server is forgotten.
    Gone(Life),
}

/// One event of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An entry as it is now.
    Put(Entry),
    /// The entry of this id is not there, or names no server.
    Removed(Arc<str>),
}

/// All registered servers by id.
#[derive(Debug, Default)]
pub struct Fleet {
    settings: Settings,
    entries: HashMap<Arc<str>, Entry>,
    drained: HashSet<Life>,
    lapsing: HashMap<Arc<str>, Time>,
    /// The end of the last outage of the registry.
    outage_end: Option<Time>,
}

impl Fleet {
    /// A fleet without servers.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The number of known servers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries that may get work.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Notes that the registry answers again after it did not.
    pub fn outage_ended(&mut self, now: Time) {
        self.outage_end = Some(now);
    }

    /// Takes in one event.
    pub fn apply(&mut self, now: Time, event: Event) -> Option<Change> {
        match event {
            Event::Put(entry) => self.put(entry),
            Event::Removed(id) => self.removed(now, &id),
        }
    }

    /// Takes in a complete list: what it does not name has vanished.
    pub fn replace(&mut self, now: Time, list: Vec<Entry>) -> Vec<Change> {
        let named: HashSet<Arc<str>> =
            list.iter().map(|entry| Arc::clone(&entry.life.id)).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !named.contains(*id)).cloned().collect();
        let mut changes: Vec<Change> =
            list.into_iter().filter_map(|entry| self.put(entry)).collect();
        changes.extend(missing.iter().filter_map(|id| self.removed(now, id)));
        changes
    }

    fn put(&mut self, entry: Entry) -> Option<Change> {
        let id = &entry.life.id;
        self.lapsing.remove(id);
        if entry.draining || self.drained.contains(&entry.life) {
            self.drained.insert(entry.life.clone());
            return self.entries.remove(id).map(|old| Change::Leaving(old.life));
        }
        if self.entries.get(id).is_some_and(|old| old.life.born > entry.life.born) {
            // A late write of the server's last life.
            return None;
        }
        self.entries.insert(Arc::clone(id), entry.clone());
        Some(Change::Up(entry))
    }

    fn removed(&mut self, now: Time, id: &Arc<str>) -> Option<Change> {
        let entry = self.entries.get(id)?;
        if self.lapsing.contains_key(id) {
            return None;
        }
        let mut due = now + self.settings.lapse;
        if let Some(end) = self.outage_end {
            due = due.max(end + self.settings.outage_lapse);
        }
        self.lapsing.insert(Arc::clone(id), due);
        Some(Change::Lapsing(entry.life.clone()))
    }

    /// Forgets the entries whose time is up.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let due: Vec<Arc<str>> = self
            .lapsing
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        let mut changes = Vec::new();
        for id in due {
            self.lapsing.remove(&id);
            changes.extend(self.entries.remove(&id).map(|entry| Change::Gone(entry.life)));
        }
        changes
    }

    /// When [`Self::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Time> {
        self.lapsing.values().copied().min()
    }
}
