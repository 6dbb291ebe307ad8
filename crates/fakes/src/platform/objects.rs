//! The objects with their history; no I/O.
//!
//! Invariant: the history holds each change in the order of its revision, so
//! the state as of any revision can be read.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::Value;

use wire::platform::Batch;
use wire::platform::List;
use wire::platform::Object;

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object lives at this revision.
    Match(u64),
    /// The object does not exist or is deleted.
    Absent,
}

/// Names an object: kind, then name.
type Key = (Arc<str>, Arc<str>);

/// All objects and what they were.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    present: BTreeMap<Key, Object>,
    history: Vec<Object>,
}

impl Store {
    /// A store without objects.
    pub fn new() -> Self {
        Self::default()
    }

    /// The highest revision given.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes a value, or with `None` a tombstone.
    ///
    /// # Errors
    ///
    /// The present item if the condition does not hold; revision zero stands
    /// for one that never was.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Option<Value>,
    ) -> Result<Object, Object> {
        let key: Key = (Arc::from(kind), Arc::from(name));
        let present = self.present.get(&key);
        let live = present.is_some_and(|item| item.value.is_some());
        let holds = match condition {
            Condition::Match(revision) => {
                live && present.is_some_and(|item| item.revision == revision)
            }
            Condition::Absent => !live,
        };
        if !holds {
            let never = Object { kind: key.0, name: key.1, revision: 0, value: None };
            return Err(present.cloned().unwrap_or(never));
        }
        self.revision += 1;
        let item =
            Object { kind: key.0.clone(), name: key.1.clone(), revision: self.revision, value };
        self.present.insert(key, item.clone());
        self.history.push(item.clone());
        Ok(item)
    }

    /// One live object as of `stale_by` revisions ago.
    pub fn get(&self, kind: &str, name: &str, stale_by: u64) -> Option<Object> {
        let key: Key = (Arc::from(kind), Arc::from(name));
        self.as_of(stale_by).remove(&key).filter(|item| item.value.is_some())
    }

    /// The live objects of a kind as of `stale_by` revisions ago.
    pub fn list(&self, kind: &str, stale_by: u64) -> List {
        let live = |item: &Object| &*item.kind == kind && item.value.is_some();
        let items = self.as_of(stale_by).into_values().filter(live).collect();
        List { revision: self.revision.saturating_sub(stale_by), items }
    }

    /// The changes after `since`.
    pub fn after(&self, since: u64) -> Batch {
        let start = self.history.partition_point(|item| item.revision <= since);
        Batch { revision: self.revision.max(since), items: self.history[start..].to_vec() }
    }

    fn as_of(&self, stale_by: u64) -> BTreeMap<Key, Object> {
        if stale_by == 0 {
            return self.present.clone();
        }
        let revision = self.revision.saturating_sub(stale_by);
        let past = self.history.iter().take_while(|item| item.revision <= revision);
        past.map(|item| ((item.kind.clone(), item.name.clone()), item.clone())).collect()
    }
}
