//! Counters of the upstream servers.
//!
//! Invariant: a run is counted when it starts, so that one that a kill or a
//! cancellation ended is counted, too.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The counters of one server, through all its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Shard requests received.
    pub sends: u64,
    /// Of these, refused as not run.
    pub refused: u64,
    /// Of these, started.
    pub begun: u64,
    /// Of these, finished.
    pub finished: u64,
    /// Accepted requests that the client cancelled before they finished.
    pub cancels: u64,
    /// Requests whose deadline passed before or while they ran.
    pub expired: u64,
    /// Connections accepted.
    pub new_connections: u64,
    /// Connections closed at once because of the connection limit.
    pub over_cap: u64,
    /// Connections open now.
    pub connections: u64,
    /// The highest number of connections open at once.
    pub peak_connections: u64,
    /// Requests running or queued now.
    pub load: u64,
    /// The time of the last accepted request, in milliseconds since the Unix epoch.
    pub last_work_ms: u64,
    /// The time of the last shard request, accepted or not, in the same unit.
    pub last_send_ms: u64,
}

/// How often each non-idempotent request started to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// For each request body, the name of the server of each run.
    pub runs: BTreeMap<String, Vec<Arc<str>>>,
}

impl Runs {
    /// The requests that ran more than once.
    pub fn repeated(&self) -> impl Iterator<Item = (&String, &Vec<Arc<str>>)> {
        self.runs.iter().filter(|(_, servers)| servers.len() > 1)
    }
}
