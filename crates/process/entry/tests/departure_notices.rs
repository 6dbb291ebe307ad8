//! The notices of leaving servers that a node passes on.

use std::collections::HashSet;
use std::sync::Arc;

use crate::support::at;
use entry::departures::Departures;
use site::register::Incarnation;

mod support;

fn server(number: u64) -> Incarnation {
    Incarnation { id: Arc::from(format!("s{number}")), born: number }
}

/// Pattern: a rolling release in which every server says that it leaves. Guards against notices
/// that never fit into a heartbeat.
#[test]
fn successive_heartbeats_carry_all_notices() {
    let mut departures = Departures::default();
    (0..20).for_each(|number| departures.noticed(at(0), server(number)));
    let sent: Vec<Vec<Incarnation>> =
        (0..4).map(|number| departures.to_send(at(400), number)).collect();
    assert!(sent.iter().all(|servers| servers.len() <= 6));
    let all: HashSet<Incarnation> = sent.into_iter().flatten().collect();
    assert_eq!(all.len(), 20);
}

#[test]
fn old_and_repeated_notices_are_not_sent() {
    let mut departures = Departures::default();
    departures.noticed(at(0), server(1));
    departures.noticed(at(100), server(1));
    assert_eq!(departures.to_send(at(200), 0), [server(1)]);
    assert!(departures.to_send(at(20_000), 1).is_empty());
}
