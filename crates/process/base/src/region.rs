//! Sets of regions, as bit masks.
//!
//! Invariant: a region that the index does not know is in no set but [`Set::ANY`].

use std::collections::BTreeSet;
use std::sync::Arc;

/// A set of regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Set(u64);

impl Set {
    /// All regions, also those that no index knows.
    pub const ANY: Self = Self(u64::MAX);
    /// No region.
    pub const NONE: Self = Self(0);

    /// The regions that are in both sets.
    pub fn intersect(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// The regions that are in one of the sets.
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether it is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether it holds all regions.
    pub fn is_any(self) -> bool {
        self == Self::ANY
    }

    /// Whether what is in `region` may be used: `region` is the set of that one region, or empty
    /// if it is not known.
    pub fn allows(self, region: Self) -> bool {
        self.is_any() || !self.intersect(region).is_empty()
    }
}

impl Default for Set {
    fn default() -> Self {
        Self::ANY
    }
}

/// The greatest number of regions of an index. One bit fewer than a mask has, so that no union
/// of regions is [`Set::ANY`].
pub const MAX_REGIONS: usize = 63;

/// Gives each region a bit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Index {
    names: Vec<Arc<str>>,
}

impl Index {
    /// The index of these regions, in the order of their names; those beyond [`MAX_REGIONS`] are
    /// not known.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a Arc<str>>) -> Self {
        let names: BTreeSet<Arc<str>> = names.into_iter().cloned().collect();
        Self { names: names.into_iter().take(MAX_REGIONS).collect() }
    }

    /// The set of the region `name`; empty if it is not known.
    pub fn region(&self, name: &str) -> Set {
        match self.names.binary_search_by(|known| known.as_ref().cmp(name)) {
            Ok(bit) => Set(1 << bit),
            Err(_) => Set::NONE,
        }
    }

    /// The set of these regions; all if there are no names.
    pub fn homes(&self, names: &[Arc<str>]) -> Set {
        if names.is_empty() {
            return Set::ANY;
        }
        names.iter().fold(Set::NONE, |set, name| set.union(self.region(name)))
    }

    /// The names of the regions in a set that this index knows.
    pub fn names(&self, set: Set) -> impl Iterator<Item = &Arc<str>> {
        let is_in = move |name: &&Arc<str>| !set.intersect(self.region(name)).is_empty();
        self.names.iter().filter(is_in)
    }
}
