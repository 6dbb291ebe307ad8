//! The recent changes of one kind of registry objects, for the nodes that follow this one.
//! No I/O.
//!
//! Invariant: the revision never goes back. Changes of two eras are never joined: a node
//! with a state of an earlier era gets a list.

use std::collections::VecDeque;

use crate::registry::Batch;
use crate::registry::Event;
use crate::revision::Revision;

/// The changes since a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum Since {
    /// There are none.
    Nothing,
    /// These changes.
    Changes(Batch),
    /// They are no longer kept: a list is needed.
    List {
        /// The revision of the present state.
        revision: Revision,
    },
}

/// How a list or changes relate to the state of their kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// They continue the state or confirm it.
    Continuation,
    /// A list that replaces the state after the registry returned from a copy.
    Replacement,
    /// They are older than the state.
    Older,
    /// Changes after the registry returned from a copy: they don't continue the state from
    /// before, so a list is needed first.
    Gap,
}

/// The recent changes of one kind.
#[derive(Debug)]
pub struct Feed {
    /// The maximum number of batches that are kept; a node that missed more gets a list.
    max_batches: usize,
    revision: Option<Revision>,
    /// The revision before the oldest batch.
    floor: Revision,
    batches: VecDeque<Batch>,
}

impl Feed {
    /// A feed without a state that keeps `max_batches` batches.
    pub fn new(max_batches: usize) -> Self {
        Self { max_batches, revision: None, floor: Revision::default(), batches: VecDeque::new() }
    }

    /// The revision of the state; `None` before the first list.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// How a list or changes that lead to `revision` relate to the state.
    pub fn relate(&self, revision: Revision, is_list: bool) -> Relation {
        match self.revision {
            Some(known) if revision < known => Relation::Older,
            Some(known) if revision.era > known.era && is_list => Relation::Replacement,
            Some(known) if revision.era > known.era => Relation::Gap,
            _ => Relation::Continuation,
        }
    }

    /// Records a batch that was applied. A list replaces all changes before it.
    pub fn record(&mut self, batch: &Batch, is_list: bool) {
        if self.revision.is_some_and(|revision| batch.revision <= revision) {
            return;
        }
        self.revision = Some(batch.revision);
        if is_list {
            self.batches.clear();
            self.floor = batch.revision;
            return;
        }
        if batch.events.is_empty() {
            return;
        }
        self.batches.push_back(batch.clone());
        if self.batches.len() > self.max_batches
            && let Some(oldest) = self.batches.pop_front()
        {
            self.floor = oldest.revision;
        }
    }

    /// What a node that has the state of `revision` misses.
    pub fn since(&self, revision: Option<Revision>) -> Since {
        let Some(newest) = self.revision else { return Since::Nothing };
        let Some(known) = revision else { return Since::List { revision: newest } };
        if known >= newest {
            return Since::Nothing;
        }
        if known < self.floor {
            return Since::List { revision: newest };
        }
        let later = self.batches.iter().filter(|batch| batch.revision > known);
        let events: Vec<Event> = later.flat_map(|batch| batch.events.iter().cloned()).collect();
        if events.is_empty() {
            return Since::Nothing;
        }
        Since::Changes(Batch { events, revision: newest })
    }
}
