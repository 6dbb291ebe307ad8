//! What data centres would tell each other once full membership ends at their
//! borders.
//!
//! Invariant: a summary's size doesn't grow with its data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::record::Departure;
use crate::record::Record;

/// The most members that a summary names.
const RELAYS: usize = 3;

/// What one data centre needs to know of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Members that are up.
    pub up: u32,
    /// Members that callers may be told of.
    pub nameable: u32,
    /// The lowest revision that a member which is up has applied.
    pub lowest_applied: u64,
    /// A few members to talk to, by name.
    pub relays: Vec<SocketAddr>,
}

/// The summaries of all data centres that `members` are in, by name.
pub fn of<'a>(members: impl Iterator<Item = &'a Record>) -> Vec<Summary> {
    let mut summaries: BTreeMap<Arc<str>, Summary> = BTreeMap::new();
    for record in members.filter(|record| record.is_up()) {
        let entry = summaries.entry(record.data_centre.clone());
        let summary = entry.or_insert_with(|| Summary {
            data_centre: record.data_centre.clone(),
            up: 0,
            nameable: 0,
            lowest_applied: u64::MAX,
            relays: Vec::new(),
        });
        summary.up += 1;
        summary.nameable += u32::from(record.is_nameable());
        summary.lowest_applied = summary.lowest_applied.min(record.applied);
        if summary.relays.len() < RELAYS && record.leave == Departure::Staying {
            summary.relays.push(record.peer);
        }
    }
    summaries.into_values().collect()
}
