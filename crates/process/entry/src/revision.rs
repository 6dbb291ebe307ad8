//! Points in the registry's history.
//!
//! A registry that returns from a copy gives the revisions after the copy's out again, with
//! other content. So a revision is comparable only together with the registry's era, which
//! rises with each return.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A point in the registry's history; any one in a later era is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// The registry's era; zero if it states none.
    pub era: u64,
    /// The number of the revision, which rises with each change within an era.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
