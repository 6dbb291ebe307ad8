//! The registered servers: which may get requests, which are draining, which
//! are gone.
//!
//! Invariants: an incarnation that was seen draining never gets requests again,
//! even if an older entry arrives later. An entry of an earlier incarnation than the
//! known one changes nothing. A missing entry is kept for
//! [`Settings::removal_delay`], since it may have expired during an outage of the
//! registry and be registered again; after that delay, the server is removed. However late
//! this node hears of it, unless it has seen an outage: the server is removed within
//! [`Settings::removal_limit`] of the last time at which the registry had the entry.
//!
//! A registry that returns from a copy lists servers again that have left since. One that
//! this node saw leave is held: it gets requests only when its entry is written again, or
//! has outlived [`Settings::copied_entry_lifetime`], in which the registry removes the
//! entries of servers that are gone.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::register::Entry;
use crate::register::Incarnation;
use base::time::Time;

/// How long servers with missing entries are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a server is still used after this node has heard that its entry disappeared.
    pub removal_delay: Duration,
    /// The maximum time for which it is still used, counted from when the registry last
    /// confirmed the entry.
    pub removal_limit: Duration,
    /// The same, counted from the end of an outage of the registry.
    pub outage_removal_delay: Duration,
    /// How long the registry keeps an entry that its server does not write.
    pub copied_entry_lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            removal_delay: Duration::from_millis(1900),
            removal_limit: Duration::from_millis(2600),
            // Servers register again within two seconds of the end of an outage.
            outage_removal_delay: Duration::from_millis(2500),
            copied_entry_lifetime: Duration::from_secs(4),
        }
    }
}

/// How long a server that has left is remembered; older entries arrive within seconds.
const RETENTION: Duration = Duration::from_secs(600);

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

/// A server whose entry is missing.
#[derive(Clone, Copy, Debug)]
struct Missing {
    /// When it is removed.
    due: Time,
    /// Whether the entry is missing from a copy, which may only be too old to have it.
    from_copy: bool,
}

/// All registered servers by id.
#[derive(Debug, Default)]
pub struct Fleet {
    settings: Settings,
    entries: HashMap<Arc<str>, Entry>,
    /// The registry's entries as they are, for other nodes.
    registered: HashMap<Arc<str>, Entry>,
    /// The latest incarnation of each id that was seen draining, and when.
    drained: HashMap<Arc<str>, (u64, Time)>,
    /// The latest incarnation of each id that was removed, and when.
    removed: HashMap<Arc<str>, (u64, Time)>,
    /// The servers with missing entries.
    missing: HashMap<Arc<str>, Missing>,
    /// Entries of a copy whose servers had left, and when they are trusted.
    held: HashMap<Arc<str>, (Entry, Time)>,
    /// The end of the last outage of the registry.
    outage_end: Option<Time>,
    /// When the registry last confirmed the entries.
    confirmed_at: Option<Time>,
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

    /// The entries that the registry has, whether or not they may get requests.
    pub fn registered(&self) -> impl Iterator<Item = &Entry> {
        self.registered.values()
    }

    /// Records that an outage of the registry ended at `end`.
    pub fn outage_ended(&mut self, end: Time) {
        self.outage_end = self.outage_end.max(Some(end));
    }

    /// The end of the last outage of the registry.
    pub fn outage_end(&self) -> Option<Time> {
        self.outage_end
    }

    /// Records that the registry had exactly the known entries at `at`: those that go missing
    /// afterwards were removed later than that.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Applies one event; returns the change that it causes.
    pub fn apply(&mut self, now: Time, event: Event) -> Option<Change> {
        match event {
            Event::Put(entry) => {
                let id = Arc::clone(&entry.incarnation.id);
                self.held.remove(&id);
                self.removed.remove(&id);
                self.registered.insert(id, entry.clone());
                self.put(now, entry)
            }
            Event::Removed(id) => {
                self.registered.remove(&id);
                self.held.remove(&id);
                self.entry_missing(now, &id, false)
            }
        }
    }

    /// Applies a complete list; entries that are not in it are missing.
    pub fn apply_list(&mut self, now: Time, list: Vec<Entry>) -> Vec<Change> {
        self.apply_whole(now, list, false)
    }

    /// Applies the first complete list of a registry that returned from a copy.
    pub fn apply_copy(&mut self, now: Time, list: Vec<Entry>) -> Vec<Change> {
        self.apply_whole(now, list, true)
    }

    fn apply_whole(&mut self, now: Time, list: Vec<Entry>, is_copy: bool) -> Vec<Change> {
        let by_id = |entry: &Entry| (Arc::clone(&entry.incarnation.id), entry.clone());
        self.registered = list.iter().map(by_id).collect();
        self.held.retain(|id, _| self.registered.contains_key(id));
        let missing: Vec<Arc<str>> =
            self.entries.keys().filter(|id| !self.registered.contains_key(*id)).cloned().collect();
        let mut changes = Vec::new();
        for entry in list {
            if (is_copy && self.has_left(&entry)) || self.is_held(&entry) {
                self.hold(now, entry);
            } else {
                changes.extend(self.put(now, entry));
            }
        }
        changes.extend(missing.iter().filter_map(|id| self.entry_missing(now, id, is_copy)));
        changes
    }

    /// Whether this incarnation was removed, or its entry was seen to be removed.
    fn has_left(&self, entry: &Entry) -> bool {
        let Incarnation { id, born } = &entry.incarnation;
        let was_removed = self.removed.get(id).is_some_and(|(removed, _)| removed >= born);
        let is_missing = self.missing.get(id).is_some_and(|missing| !missing.from_copy);
        let is_known = self.entries.get(id).is_some_and(|known| known.incarnation.born >= *born);
        was_removed || (is_missing && is_known)
    }

    fn is_held(&self, entry: &Entry) -> bool {
        let held = self.held.get(&entry.incarnation.id);
        held.is_some_and(|(held, _)| held.incarnation.born >= entry.incarnation.born)
    }

    fn hold(&mut self, now: Time, entry: Entry) {
        let trusted_at = now + self.settings.copied_entry_lifetime;
        self.held.entry(Arc::clone(&entry.incarnation.id)).or_insert((entry, trusted_at));
    }

    /// Records that an incarnation leaves, whatever its entry says.
    pub fn leaving(&mut self, now: Time, incarnation: &Incarnation) -> Option<Change> {
        let Incarnation { id, born } = incarnation;
        let known = self.drained.get(id).map(|(known, _)| *known);
        if known.is_none_or(|known| known < *born) {
            self.drained.insert(Arc::clone(id), (*born, now));
        }
        let entry = self.entries.get(id)?;
        if entry.incarnation.born > *born {
            return None;
        }
        self.missing.remove(id);
        self.entries.remove(id).map(|entry| Change::Leaving(entry.incarnation))
    }

    /// The incarnation of the server `id` that may get requests.
    pub fn incarnation(&self, id: &str) -> Option<Incarnation> {
        self.entries.get(id).map(|entry| entry.incarnation.clone())
    }

    /// The incarnations that were seen leaving.
    pub fn drained(&self) -> impl Iterator<Item = Incarnation> {
        self.drained.iter().map(|(id, (born, _))| Incarnation { id: Arc::clone(id), born: *born })
    }

    fn put(&mut self, now: Time, entry: Entry) -> Option<Change> {
        let id = &entry.incarnation.id;
        let born = entry.incarnation.born;
        if self.entries.get(id).is_some_and(|known| known.incarnation.born > born) {
            return None;
        }
        self.missing.remove(id);
        if entry.draining {
            self.drained.insert(Arc::clone(id), (born, now));
        }
        if self.drained.get(id).is_some_and(|(drained, _)| *drained >= born) {
            return self.entries.remove(id).map(|old| Change::Leaving(old.incarnation));
        }
        self.entries.insert(Arc::clone(id), entry.clone());
        Some(Change::Up(entry))
    }

    fn entry_missing(&mut self, now: Time, id: &Arc<str>, from_copy: bool) -> Option<Change> {
        let entry = self.entries.get(id)?;
        if let Some(missing) = self.missing.get_mut(id) {
            missing.from_copy &= from_copy;
            return None;
        }
        let due = self.removal_time(now);
        self.missing.insert(Arc::clone(id), Missing { due, from_copy });
        Some(Change::Lapsing(entry.incarnation.clone()))
    }

    /// When a server is removed whose entry is found missing at `now`.
    fn removal_time(&self, now: Time) -> Time {
        let confirmed_at = self.confirmed_at.unwrap_or(now);
        let mut due = now + self.settings.removal_delay;
        if let Some(end) = self.outage_end {
            due = due.max(end + self.settings.outage_removal_delay);
            // The registry may have lost the entry in the outage and not have had it since.
            if end > confirmed_at {
                return due;
            }
        }
        due.min(confirmed_at + self.settings.removal_limit)
    }

    /// When the server `id` is removed, if its entry is missing.
    pub fn removal_due(&self, id: &str) -> Option<Time> {
        self.missing.get(id).map(|missing| missing.due)
    }

    /// The number of drained servers that are remembered.
    pub fn drained_count(&self) -> usize {
        self.drained.len()
    }

    /// Removes the servers whose entries have been missing for too long, trusts the copied
    /// entries that have outlived their lifetime, and forgets the servers that left long ago.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let is_recent = |(_, at): &(u64, Time)| now.since(*at) < RETENTION;
        self.drained.retain(|_, left| is_recent(left));
        self.removed.retain(|_, left| is_recent(left));
        let mut changes = Vec::new();
        for id in due_ids(&self.missing, |missing| missing.due <= now) {
            self.missing.remove(&id);
            let Some(entry) = self.entries.remove(&id) else { continue };
            self.removed.insert(id, (entry.incarnation.born, now));
            changes.push(Change::Gone(entry.incarnation));
        }
        for id in due_ids(&self.held, |(_, trusted_at)| *trusted_at <= now) {
            let Some((entry, _)) = self.held.remove(&id) else { continue };
            self.removed.remove(&id);
            changes.extend(self.put(now, entry));
        }
        changes
    }

    /// When [`Self::expire`] removes the next server.
    pub fn next_expiry(&self) -> Option<Time> {
        self.missing.values().map(|missing| missing.due).min()
    }
}

fn due_ids<T>(by_id: &HashMap<Arc<str>, T>, is_due: impl Fn(&T) -> bool) -> Vec<Arc<str>> {
    by_id.iter().filter(|(_, value)| is_due(value)).map(|(id, _)| Arc::clone(id)).collect()
}
