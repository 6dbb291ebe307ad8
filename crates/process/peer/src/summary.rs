//! The information that data centres would exchange if full membership were limited
//! to one data centre.
//!
//! Invariant: the size of a summary does not depend on the size of its data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::record::Departure;
use crate::record::Record;

/// The maximum number of members that a summary lists.
const MAX_RELAYS: usize = 3;

/// A summary of one data centre for the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The number of members that are up.
    pub up: u32,
    /// The number of members that lookups may return.
    #[serde(rename = "nameable")]
    pub lookup_eligible: u32,
    /// The lowest revision that a member which is up has applied.
    pub lowest_applied: u64,
    /// Peer addresses of a few members that stay.
    pub relays: Vec<SocketAddr>,
}

/// Returns the summaries of the data centres of `members`, ordered by name.
pub fn of<'a>(members: impl Iterator<Item = &'a Record>) -> Vec<Summary> {
    let mut summaries: BTreeMap<Arc<str>, Summary> = BTreeMap::new();
    for record in members.filter(|record| record.is_up()) {
        let entry = summaries.entry(record.data_centre.clone());
        let summary = entry.or_insert_with(|| Summary {
            data_centre: record.data_centre.clone(),
            up: 0,
            lookup_eligible: 0,
            lowest_applied: u64::MAX,
            relays: Vec::new(),
        });
        summary.up += 1;
        summary.lookup_eligible += u32::from(record.is_lookup_eligible());
        summary.lowest_applied = summary.lowest_applied.min(record.applied);
        if summary.relays.len() < MAX_RELAYS && record.leave == Departure::Staying {
            summary.relays.push(record.peer);
        }
    }
    summaries.into_values().collect()
}
