//! Selection of the nodes that watch the platform: two in each data centre.
//!
//! Invariant: nodes with the same view of the membership select the same watchers.
//! While views differ there may be more watchers, which costs calls and is
//! otherwise harmless.

use crate::record::Departure;
use crate::record::Record;
use base::hash;
use wire::id::Incarnation;

/// The number of watchers in each data centre.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Returns the members of `data_centre` that watch the platform: first those that
/// reached it recently, then by rendezvous hash. If none reaches it, two keep
/// trying.
pub fn select<'a>(
    members: impl Iterator<Item = &'a Record>,
    data_centre: &str,
) -> Vec<Incarnation> {
    let eligible = members.filter(|record| {
        record.is_up() && record.leave != Departure::Going && &*record.data_centre == data_centre
    });
    let mut ranked: Vec<(bool, u64, Incarnation)> = eligible
        .map(|record| (!record.platform, rank(record.incarnation), record.incarnation))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(WATCHERS_PER_DATA_CENTRE);
    ranked.into_iter().map(|(_, _, incarnation)| incarnation).collect()
}

fn rank(incarnation: Incarnation) -> u64 {
    hash::stable(0, &["watch", &incarnation.to_string()])
}
