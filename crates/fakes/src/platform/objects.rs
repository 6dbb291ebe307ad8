//! The objects and their history, without I/O.
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
    /// The object exists at this revision.
    Match(u64),
    /// The object does not exist or is deleted.
    Absent,
}

/// The kind and the name of an object.
type Key = (Arc<str>, Arc<str>);

/// All objects and their past values.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    current: BTreeMap<Key, Object>,
    history: Vec<Object>,
}

impl Store {
    /// A store without objects.
    pub fn new() -> Self {
        Self::default()
    }

    /// The highest revision assigned.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes a value, or a tombstone for `None`.
    ///
    /// # Errors
    ///
    /// The current object if the condition does not hold; its revision is zero if the
    /// object never existed.
    pub fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        value: Option<Value>,
    ) -> Result<Object, Object> {
        let key: Key = (Arc::from(kind), Arc::from(name));
        let current = self.current.get(&key);
        let live = current.is_some_and(|object| object.value.is_some());
        let is_met = match condition {
            Condition::Match(revision) => {
                live && current.is_some_and(|object| object.revision == revision)
            }
            Condition::Absent => !live,
        };
        if !is_met {
            let missing = Object { kind: key.0, name: key.1, revision: 0, value: None };
            return Err(current.cloned().unwrap_or(missing));
        }
        self.revision += 1;
        let object =
            Object { kind: key.0.clone(), name: key.1.clone(), revision: self.revision, value };
        self.current.insert(key, object.clone());
        self.history.push(object.clone());
        Ok(object)
    }

    /// One live object as of `stale_by` revisions ago.
    pub fn get(&self, kind: &str, name: &str, stale_by: u64) -> Option<Object> {
        let key: Key = (Arc::from(kind), Arc::from(name));
        self.as_of(stale_by).remove(&key).filter(|object| object.value.is_some())
    }

    /// The live objects of a kind as of `stale_by` revisions ago.
    pub fn list(&self, kind: &str, stale_by: u64) -> List {
        let live = |object: &Object| &*object.kind == kind && object.value.is_some();
        let items = self.as_of(stale_by).into_values().filter(live).collect();
        List { revision: self.revision.saturating_sub(stale_by), items }
    }

    /// The changes after `since`.
    pub fn after(&self, since: u64) -> Batch {
        let start = self.history.partition_point(|object| object.revision <= since);
        Batch { revision: self.revision.max(since), items: self.history[start..].to_vec() }
    }

    fn as_of(&self, stale_by: u64) -> BTreeMap<Key, Object> {
        if stale_by == 0 {
            return self.current.clone();
        }
        let revision = self.revision.saturating_sub(stale_by);
        let past = self.history.iter().take_while(|object| object.revision <= revision);
        past.map(|object| ((object.kind.clone(), object.name.clone()), object.clone())).collect()
    }
}
