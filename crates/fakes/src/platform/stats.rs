//! Counters of calls. Invariant: a watch is counted when it arrives.

use serde::Deserialize;
use serde::Serialize;

/// Calls since the start, except those of `/stats` and `/fault`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// All calls.
    pub calls: u64,
    /// Reads of one object.
    pub gets: u64,
    /// Lists of the objects of a kind.
    pub lists: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Writes and deletes whose precondition failed.
    pub conflicts: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Calls that an outage affected.
    pub outages: u64,
    /// Watches pending now.
    pub waiting: u64,
    /// Bytes of request and response bodies, those of `/stats` and `/fault`
    /// included.
    pub bytes: u64,
    /// The highest revision.
    pub revision: u64,
}
