//! Which nodes hold the platform's watch: two in each data centre.
//!
//! Invariant: nodes that know the same members name the same holders. Nodes that
//! disagree for a while have more holders, which costs calls and does no harm.

use crate::record::Departure;
use crate::record::Record;
use base::hash;
use wire::id::Incarnation;

/// The holders in each data centre.
pub const HOLDERS: usize = 2;

/// The members of `data_centre` that hold the watch, first those that reached
/// the platform lately, then by rendezvous order. When none reaches it, two keep
/// trying.
pub fn holders<'a>(
    members: impl Iterator<Item = &'a Record>,
    data_centre: &str,
) -> Vec<Incarnation> {
    let able = members.filter(|record| {
        record.is_up() && record.leave != Departure::Going && &*record.data_centre == data_centre
    });
    let mut ranked: Vec<(bool, u64, Incarnation)> = able
        .map(|record| (!record.platform, rank(record.incarnation), record.incarnation))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(HOLDERS);
    ranked.into_iter().map(|(_, _, incarnation)| incarnation).collect()
}

fn rank(incarnation: Incarnation) -> u64 {
    hash::stable(0, &["watch", &incarnation.to_string()])
}
