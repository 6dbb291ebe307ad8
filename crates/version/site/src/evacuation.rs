//! The data centres whose servers must get no requests, by the registry's objects. No I/O.
//!
//! Invariant: a data centre is evacuated while the registry has its object. If a registry that
//! returned from a copy lacks the object, the evacuation is held for [`HOLD_TIME`], in which
//! operators write it again; an object that is removed ends it at once.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;

/// How long an evacuation is held that a copy of the registry lacks.
pub const HOLD_TIME: Duration = Duration::from_secs(10);

/// A state of the registry: its era and its revision in that era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// The registry's era.
    pub era: u64,
    /// The number of the revision.
    pub revision: u64,
}

/// The evacuation of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The state of the registry from which this node learned of it.
    pub origin: Origin,
    /// When this node learned of it.
    pub since: Time,
    /// When it ends unless its object is written again; `None` while the registry has the object.
    pub held_until: Option<Time>,
}

/// A change of what is evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The servers of this data centre must get no requests from now on.
    Began(Arc<str>),
    /// They may get requests again.
    Ended(Arc<str>),
}

/// All evacuations.
#[derive(Debug, Default)]
pub struct Evacuations {
    by_data_centre: HashMap<Arc<str>, Evacuation>,
    /// The newest era that is known.
    era: u64,
    /// The data centres whose evacuations ended in that era. Other nodes may still hold them.
    ended: HashSet<Arc<str>>,
}

impl Evacuations {
    /// All evacuated data centres.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Evacuation)> {
        self.by_data_centre.iter()
    }

    /// The number of evacuated data centres.
    pub fn len(&self) -> usize {
        self.by_data_centre.len()
    }

    /// Whether no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.is_empty()
    }

    /// Whether the servers of `data_centre` must get no requests.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.by_data_centre.contains_key(data_centre)
    }

    /// The data centres that the registry has objects of.
    pub fn registered(&self) -> impl Iterator<Item = &Arc<str>> {
        self.iter().filter(|(_, known)| known.held_until.is_none()).map(|(name, _)| name)
    }

    /// The data centres whose objects a copy lacks, and for how much longer they are held.
    pub fn held(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.iter().filter_map(move |(name, known)| Some((name, known.held_until?.since(now))))
    }

    /// Records that the registry has an object of `data_centre`.
    pub fn put(&mut self, now: Time, origin: Origin, data_centre: &Arc<str>) -> Option<Change> {
        self.observe_era(origin.era);
        self.ended.remove(data_centre);
        if let Some(known) = self.by_data_centre.get_mut(data_centre) {
            known.held_until = None;
            return None;
        }
        let evacuation = Evacuation { origin, since: now, held_until: None };
        self.by_data_centre.insert(Arc::clone(data_centre), evacuation);
        Some(Change::Began(Arc::clone(data_centre)))
    }

    /// Records that the object of `data_centre` was removed.
    pub fn removed(&mut self, data_centre: &str) -> Option<Change> {
        let (name, _) = self.by_data_centre.remove_entry(data_centre)?;
        self.ended.insert(Arc::clone(&name));
        Some(Change::Ended(name))
    }

    /// Applies a complete list of the objects; `is_copy` tells whether it is the first one of a
    /// registry that returned from a copy.
    pub fn apply_list(
        &mut self,
        now: Time,
        origin: Origin,
        list: &[Arc<str>],
        is_copy: bool,
    ) -> Vec<Change> {
        self.observe_era(origin.era);
        let mut changes: Vec<Change> =
            list.iter().filter_map(|name| self.put(now, origin, name)).collect();
        let listed: HashSet<&Arc<str>> = list.iter().collect();
        for (name, known) in &mut self.by_data_centre {
            if is_copy && !listed.contains(name) {
                known.held_until = known.held_until.or(Some(now + HOLD_TIME));
            }
        }
        self.by_data_centre.retain(|name, known| {
            let stays = listed.contains(name) || known.held_until.is_some();
            if !stays {
                self.ended.insert(Arc::clone(name));
                changes.push(Change::Ended(Arc::clone(name)));
            }
            stays
        });
        changes
    }

    /// Records that another node still holds the evacuation of `data_centre` for `left`, unless it
    /// has ended here in the same era.
    pub fn hold(
        &mut self,
        now: Time,
        origin: Origin,
        data_centre: &Arc<str>,
        left: Duration,
    ) -> Option<Change> {
        self.observe_era(origin.era);
        if self.contains(data_centre) || self.ended.contains(data_centre) || left.is_zero() {
            return None;
        }
        let held_until = Some(now + left.min(HOLD_TIME));
        let evacuation = Evacuation { origin, since: now, held_until };
        self.by_data_centre.insert(Arc::clone(data_centre), evacuation);
        Some(Change::Began(Arc::clone(data_centre)))
    }

    fn observe_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.ended.clear();
        }
    }

    /// Ends the evacuations that were held for long enough.
    pub fn expire(&mut self, now: Time) -> Vec<Change> {
        let is_over = |known: &Evacuation| known.held_until.is_some_and(|until| until <= now);
        let mut changes = Vec::new();
        self.by_data_centre.retain(|name, known| {
            let ends = is_over(known);
            if ends {
                self.ended.insert(Arc::clone(name));
                changes.push(Change::Ended(Arc::clone(name)));
            }
            !ends
        });
        changes
    }
}
