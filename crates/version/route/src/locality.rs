//! How far a server is from this node.
//!
//! Invariant: the distance is a class that follows from the configuration; it is
//! independent of the measured latency.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How far apart two data centres are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same data centre.
    DataCentre,
    /// Another data centre of the same region.
    Region,
    /// Another region, or an unknown one.
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
    /// How far `data_centre` is from this node.
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
