//! Which entry nodes a caller is told of.
//!
//! Invariants: no node that isn't fresh, is suspected or is going is named; a
//! node that holds (see [`crate::record::Departure`]) is named only if none stays.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::member::Table;
use crate::record::Departure;
use crate::record::Record;
use crate::record::State;
use wire::caller::EntryNode;
use wire::caller::EntryNodes;

/// The most nodes that one answer names.
const ENTRIES_LIMIT: usize = 16;

/// Where a caller is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its region.
    pub region: &'a str,
}

/// The nodes to name to a caller at `locality`: its own data centre first, then its
/// region, then the rest. Nodes at the same distance come in random order, so
/// that callers that take the first spread over all.
pub fn entries(
    table: &Table,
    locality: Locality<'_>,
    lookup_ttl: Duration,
    random: &mut ChaCha8Rng,
) -> EntryNodes {
    let mut named: Vec<&Record> = table.all().filter(|record| record.is_nameable()).collect();
    if named.is_empty() {
        named = table.all().filter(|record| is_last_resort(record)).collect();
    }
    let mut ranked: Vec<(bool, u8, u32, &Record)> = Vec::with_capacity(named.len());
    for record in named {
        let advised_against = table.is_vm_leaving(record.incarnation);
        ranked.push((advised_against, distance(record, locality), random.random(), record));
    }
    ranked.sort_unstable_by_key(|(advised_against, distance, draw, _)| {
        (*advised_against, *distance, *draw)
    });
    ranked.truncate(ENTRIES_LIMIT);
    let entries = ranked.into_iter().map(|(_, _, _, record)| EntryNode {
        address: record.caller.to_string().into(),
        data_centre: record.data_centre.clone(),
    });
    let keep_ms = u32::try_from(lookup_ttl.as_millis()).unwrap_or(u32::MAX);
    EntryNodes { entries: entries.collect(), keep_ms, block: None }
}

fn is_last_resort(record: &Record) -> bool {
    record.state == State::Alive && record.fresh && record.leave == Departure::Holding
}

fn distance(record: &Record, locality: Locality<'_>) -> u8 {
    if &*record.data_centre == locality.data_centre {
        return 0;
    }
    if &*record.region == locality.region { 1 } else { 2 }
}
