//! What the servers counted.
//!
//! Invariant: a run is counted when it begins, so one that was cut off by a
//! kill or a cancellation is counted, too.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The counters of one server, over all its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Shard requests that came.
    pub sends: u64,
    /// Of these, refused as not run.
    pub refused: u64,
    /// Of these, begun.
    pub begun: u64,
    /// Of these, finished.
    pub finished: u64,
    /// Accepted requests that the other end cancelled before their end.
    pub cancels: u64,
    /// Requests whose deadline passed before or while they ran.
    pub expired: u64,
    /// Connections that were accepted.
    pub new_connections: u64,
    /// Connections that were closed at once, because of the cap.
    pub over_cap: u64,
    /// Connections that are open now.
    pub connections: u64,
    /// The most that were open at once.
    pub peak_connections: u64,
    /// Requests that run or wait now.
    pub load: u64,
    /// When work was last accepted, in milliseconds since the Unix epoch.
    pub last_work_ms: u64,
    /// When a shard request last came, accepted or not; the same unit.
    pub last_send_ms: u64,
}

/// How often each non-idempotent request began to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Server names of the runs, by request body.
    pub runs: BTreeMap<String, Vec<Arc<str>>>,
}

impl Runs {
    /// The requests that ran more than once.
    pub fn repeated(&self) -> impl Iterator<Item = (&String, &Vec<Arc<str>>)> {
        self.runs.iter().filter(|(_, servers)| servers.len() > 1)
    }
}
