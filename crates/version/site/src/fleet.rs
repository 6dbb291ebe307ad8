//! The registered servers: which may get requests, which are draining, which
//! are gone.
//!
//! Invariants: an incarnation that was seen draining never gets requests again,
//! even if an older entry arrives later. An entry of an earlier incarnation than the
//! known one changes nothing. A missing entry is kept for
//! [`Settings::removal_delay`], since it may have expired during an outage of the
//! registry and be registered again; after that delay, the server is removed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::register::Entry;
use crate::register::Incarnation;
use base::time::Time;

/// How long servers with missing entries are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a server is still used after its entry disappeared.
    pub removal_delay: Duration,
    /// The same, counted from the end of an outage of the registry.
    pub outage_removal_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // Together with the delay of the watch, this stays below the three
            // seconds after which a draining server must get no more requests.
            removal_delay: Duration::from_millis(1900),
            // Servers register again within two seconds of the end of an outage.
            outage_removal_delay: Duration::from_millis(2500),
        }
    }
}

/// How long a drained server is remembered; older entries arrive within seconds.
const DRAINED_RETENTION: Duration = Duration::from_secs(600);

/// A change of the servers that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The server may get requests; its entry is new or has changed.
    Up(Entry),
    /// The server is draining and gets no more requests.
    Leaving(Incarnation),
    /// Its entry is missing; other servers are preferred.
    Lapsing(Incarnation),
    /// Its entry has been missing for too long; the server is removed.
    Gone(Incarnation),
}

/// A change that the registry reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The current content of an entry.
    Put(Entry),
    /// The entry of this id does not exist, or is not a valid server entry.
    Removed(Arc<str>),
}

/// All registered servers by id.
#[derive(Debug, Default)]
pub struct Fleet {
    settings: Settings,
    entries: HashMap<Arc<str>, Entry>,
    /// The latest incarnation of each id that was seen draining, and when.
    drained: HashMap<Arc<str>, (u64, Time)>,
    /// When servers with missing entries are removed.
    removal_times: HashMap<Arc<str>, Time>,
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

    /// The entries of all servers that may get requests.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Records that an outage of the registry ended at `end`.
    pub fn outage_ended(&mut self, end: Time) {
        self.outage_end = self.outage_end.max(Some(end));
    }

    /// The end of the last outage of the registry.
    pub fn outage_end(&self) -> Option<Time> {
        self.outage_end
    }

    /// Applies one event; returns the change that it causes.
    pub fn apply(&mut self, now: Time, event: Event) -> Option<Change> {
        match event {
            Event::Put(entry) => self.put(now, entry),
            Event::Removed(id) => self.removed(now, &id),
        }
    }

    /// Applies a complete list; entries that are not in it are missing.
    pub fn apply_list(&mut self, now: Time, list: Vec<Entry>) -> Vec<Change> {
        let listed: HashSet<Arc<str>> =
            list.iter().map(|entry| Arc::clone(&entry.incarnation.id)).collect();
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changes: Vec<Change> =
            list.into_iter().filter_map(|entry| self.put(now, entry)).collect();
        changes.extend(missing.iter().filter_map(|id| self.removed(now, id)));
        changes
    }

    fn put(&mut self, now: Time, entry: Entry) -> Option<Change> {
        let id = &entry.incarnation.id;
        let born = entry.incarnation.born;
        if self.entries.get(id).is_some_and(|known| known.incarnation.born > born) {
            return None;
        }
        self.removal_times.remove(id);
        if entry.draining {
            self.drained.insert(Arc::clone(id), (born, now));
        }
        if self.drained.get(id).is_some_and(|(drained, _)| *drained >= born) {
            return self.entries.remove(id).map(|old| Change::Leaving(old.incarnation));
        }
        self.entries.insert(Arc::clone(id), entry.clone());
        Some(Change::Up(entry))
    }

    fn removed(&mut self, now: Time, id: &Arc<str>) -> Option<Change> {
        let entry = self.entries.get(id)?;
        if self.removal_times.contains_key(id) {
            return None;
        }
        let mut due = now + self.settings.removal_delay;
        if let Some(end) = self.outage_end {
            due = due.max(end + self.settings.outage_removal_delay);
        }
        self.removal_times.insert(Arc::clone(id), due);
        Some(Change::Lapsing(entry.incarnation.clone()))
    }

    /// The number of drained servers that are remembered.
    pub fn drained_count(&self) -> usize {
        self.drained.len()
    }

    /// Removes the servers whose entries have been missing for too long, and forgets those
    /// that drained long ago.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        self.drained.retain(|_, (_, at)| now.since(*at) < DRAINED_RETENTION);
        let due: Vec<Arc<str>> = self
            .removal_times
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        let mut changes = Vec::new();
        for id in due {
            self.removal_times.remove(&id);
            changes.extend(self.entries.remove(&id).map(|entry| Change::Gone(entry.incarnation)));
        }
        changes
    }

    /// When [`Self::expire`] removes the next server.
    pub fn next_expiry(&self) -> Option<Time> {
        self.removal_times.values().copied().min()
    }
}
