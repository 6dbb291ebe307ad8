//! Selection of the entry nodes that a lookup returns to a caller.
//!
//! Invariants: a lookup returns only alive, fresh nodes that are not shutting down
//! ([`Departure::Staying`]). If there are none, it returns nodes that still wait
//! for a replacement ([`Departure::Holding`]).

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::member::Table;
use crate::record::Departure;
use crate::record::Record;
use crate::record::State;
use wire::caller::EntryNode;
use wire::caller::EntryNodes;

/// The maximum number of nodes in one answer.
const MAX_ENTRIES: usize = 16;

/// The location of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its region.
    pub region: &'a str,
}

/// Returns the nodes for a caller at `locality`: those in its data centre first,
/// then those in its region, then the rest. Nodes at the same distance come in
/// random order, so that callers which use the first node are spread over all of
/// them.
pub fn entries(
    table: &Table,
    locality: Locality<'_>,
    lookup_ttl: Duration,
    random: &mut ChaCha8Rng,
) -> EntryNodes {
    let mut candidates: Vec<&Record> =
        table.all().filter(|record| record.is_lookup_eligible()).collect();
    if candidates.is_empty() {
        candidates = table.all().filter(|record| is_fallback(record)).collect();
    }
    let mut ranked: Vec<(bool, u8, u32, &Record)> = Vec::with_capacity(candidates.len());
    for record in candidates {
        let vm_leaving = table.is_vm_leaving(record.incarnation);
        ranked.push((vm_leaving, distance(record, locality), random.random(), record));
    }
    ranked.sort_unstable_by_key(|(vm_leaving, distance, tie_break, _)| {
        (*vm_leaving, *distance, *tie_break)
    });
    ranked.truncate(MAX_ENTRIES);
    let entries = ranked.into_iter().map(|(_, _, _, record)| EntryNode {
        address: record.caller.to_string().into(),
        data_centre: record.data_centre.clone(),
    });
    let keep_ms = u32::try_from(lookup_ttl.as_millis()).unwrap_or(u32::MAX);
    EntryNodes { entries: entries.collect(), keep_ms, block: None }
}

fn is_fallback(record: &Record) -> bool {
    record.state == State::Alive && record.fresh && record.leave == Departure::Holding
}

fn distance(record: &Record, locality: Locality<'_>) -> u8 {
    if &*record.data_centre == locality.data_centre {
        return 0;
    }
    if &*record.region == locality.region { 1 } else { 2 }
}
