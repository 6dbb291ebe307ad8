//! The notice about an upstream server that nodes send to each other.
//!
//! Invariant: a withdrawal is about one incarnation and is never revoked, so
//! withdrawals can be spread in any order and any number of times.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wire::id::Incarnation;

/// An incarnation of a server that must get no new work, because it is leaving
/// or because another incarnation has replaced it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Withdrawal {
    /// The server's name.
    pub server: Arc<str>,
    /// The incarnation that ended.
    pub incarnation: Incarnation,
}

impl fmt::Display for Withdrawal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ended", self.server, self.incarnation)
    }
}
