//! The registry's objects that can't be parsed, which other clients may write: counted by kind,
//! and logged once each. No I/O.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::hash_map::Entry;
use std::hash::BuildHasher;
use std::hash::RandomState;

use crate::registry::Kind;

/// The maximum number of objects of a kind that are remembered; further ones are neither counted
/// nor logged.
const MAX_OBJECTS: usize = 10_000;

/// The objects of all kinds.
#[derive(Debug, Default)]
pub struct Objects {
    hasher: RandomState,
    /// The hash of each object's name, with that of the reason that was logged last.
    by_kind: HashMap<Kind, HashMap<u64, u64>>,
}

impl Objects {
    /// Records that an object can't be parsed; returns whether this is new.
    pub fn found(&mut self, kind: Kind, name: &str, reason: &str) -> bool {
        let (name, reason) = (self.hasher.hash_one(name), self.hasher.hash_one(reason));
        let objects = self.by_kind.entry(kind).or_default();
        let is_full = objects.len() >= MAX_OBJECTS;
        match objects.entry(name) {
            Entry::Occupied(mut known) => known.insert(reason) != reason,
            Entry::Vacant(new) => {
                if !is_full {
                    new.insert(reason);
                }
                !is_full
            }
        }
    }

    /// Records that an object was removed or can be parsed again.
    pub fn ended(&mut self, kind: Kind, name: &str) {
        let name = self.hasher.hash_one(name);
        if let Some(objects) = self.by_kind.get_mut(&kind) {
            objects.remove(&name);
        }
    }

    /// Records a whole list, of which the objects with these names can't be parsed.
    pub fn listed<'a>(&mut self, kind: Kind, names: impl IntoIterator<Item = &'a str>) {
        let names: HashSet<u64> =
            names.into_iter().map(|name| self.hasher.hash_one(name)).collect();
        if let Some(objects) = self.by_kind.get_mut(&kind) {
            objects.retain(|name, _| names.contains(name));
        }
    }

    /// The number of objects of a kind that can't be parsed at present.
    pub fn count(&self, kind: Kind) -> usize {
        self.by_kind.get(&kind).map_or(0, HashMap::len)
    }
}
