//! How far a server is from this node.
//!
//! Invariant: distance is a class and no measure; latency is measured.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How far apart two data centres are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same data centre.
    DataCentre,
    /// Another data centre of the same region.
    Region,
    /// Another region, or one that is not known.
    Far,
}

/// Where this node is, and which data centre is in which region.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// This node's data centre.
    pub data_centre: Arc<str>,
    /// The region of each data centre.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
}

impl Locality {
    /// How far `data_centre` is from here.
    pub fn distance(&self, data_centre: &str) -> Distance {
        if *self.data_centre == *data_centre {
            return Distance::DataCentre;
        }
        let (own, other) = (self.regions.get(&self.data_centre), self.regions.get(data_centre));
        match own.is_some() && own == other {
            true => Distance::Region,
            false => Distance::Far,
        }
    }
}
