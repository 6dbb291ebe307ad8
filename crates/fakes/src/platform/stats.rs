//! Counters of calls. Invariant: a waiting watch is counted when it comes.

use serde::Deserialize;
use serde::Serialize;

/// Calls since the start; all but `/stats` and `/fault`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// All of the below.
    pub calls: u64,
    /// Reads of one object.
    pub gets: u64,
    /// Reads of a kind.
    pub lists: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Writes and deletes whose precondition failed.
    pub conflicts: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Calls that an outage met.
    pub outages: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Bytes of request and response bodies, those of `/stats` and `/fault`
    /// included.
    pub bytes: u64,
    /// The highest revision.
    pub revision: u64,
}
