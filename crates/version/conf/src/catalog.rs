//! The immutable set of configuration objects that a request runs under.
//!
//! Invariant: for each key the catalog keeps the copy with the highest revision that
//! was ever applied, tombstones included, so that a late or stale copy can't undo a
//! change or a deletion.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::object::Experiment;
use crate::object::Key;
use crate::object::Kind;
use crate::object::Map;
use crate::object::Object;
use crate::object::Policy;
use crate::object::Service;
use crate::object::Spec;

/// An immutable snapshot of all objects, cheap to share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Object>", into = "Vec<Object>")]
pub struct Catalog {
    objects: BTreeMap<Key, Arc<Object>>,
    highest: u64,
}

impl Catalog {
    /// Creates an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns this catalog with `objects` applied, and whether any of them was newer
    /// than the copy in the catalog.
    pub fn with_objects(&self, objects: &[Object]) -> (Self, bool) {
        let mut next = self.clone();
        let mut changed = false;
        for object in objects {
            if next.revision_of(&object.key) < object.revision {
                next.objects.insert(object.key.clone(), Arc::new(object.clone()));
                next.highest = next.highest.max(object.revision);
                changed = true;
            }
        }
        (next, changed)
    }

    /// The highest revision applied, or zero for an empty catalog.
    pub fn revision(&self) -> u64 {
        self.highest
    }

    /// The revision of an object or its tombstone, or zero if it never existed.
    pub fn revision_of(&self, key: &Key) -> u64 {
        self.objects.get(key).map_or(0, |object| object.revision)
    }

    /// An object or its tombstone.
    pub fn get(&self, key: &Key) -> Option<&Arc<Object>> {
        self.objects.get(key)
    }

    /// All objects, tombstones included, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.objects.values()
    }

    /// The live objects of one kind, in the order of their names.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Arc<str>, &Spec)> {
        let objects = self.objects.values().filter(move |object| object.key.kind == kind);
        objects.filter_map(|object| Some((&object.key.name, object.spec.as_ref()?)))
    }

    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        let key = Key { kind, name: Arc::from(name) };
        self.objects.get(&key)?.spec.as_ref()
    }

    /// A live service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.spec(Kind::Service, name)? {
            Spec::Service(service) => Some(service),
            _ => None,
        }
    }

    /// A live shard map.
    pub fn map(&self, name: &str) -> Option<&Map> {
        match self.spec(Kind::Map, name)? {
            Spec::Map(map) => Some(map),
            _ => None,
        }
    }

    /// A live policy.
    pub fn policy(&self, name: &str) -> Option<&Policy> {
        match self.spec(Kind::Policy, name)? {
            Spec::Policy(policy) => Some(policy),
            _ => None,
        }
    }

    /// A live experiment.
    pub fn experiment(&self, name: &str) -> Option<&Experiment> {
        match self.spec(Kind::Experiment, name)? {
            Spec::Experiment(experiment) => Some(experiment),
            _ => None,
        }
    }
}

impl From<Vec<Object>> for Catalog {
    fn from(objects: Vec<Object>) -> Self {
        Self::new().with_objects(&objects).0
    }
}

impl From<Catalog> for Vec<Object> {
    fn from(catalog: Catalog) -> Self {
        catalog.iter().map(|object| Object::clone(object)).collect()
    }
}

impl fmt::Display for Catalog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for object in self.objects.values() {
            let state = if object.spec.is_some() { "" } else { " deleted" };
            writeln!(f, "{} revision {}{state}", object.key, object.revision)?;
        }
        Ok(())
    }
}
