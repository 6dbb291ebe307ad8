//! The state of other nodes, from their heartbeats.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::support::at;
use crate::support::heartbeat;
use crate::support::ip;
use crate::support::members;
use crate::support::peer;
use entry::members::HEARTBEAT_INTERVAL;
use entry::members::Heartbeat;
use entry::members::Members;
use entry::members::Peer;
use entry::members::Status;
use share::part::MAX_REPORTS;
use share::part::Report;
use site::register::Incarnation;

mod support;

fn own() -> Members {
    members(&peer(0, 1, 500))
}

/// A heartbeat of node `number` of this node's data centre.
fn beat(number: usize, incarnation: u64, ready: bool, leaving: bool) -> Heartbeat {
    Heartbeat { ready, leaving, ..heartbeat(&peer(0, number, 500), incarnation) }
}

fn serving(members: &Members, ms: u64) -> usize {
    members.serving(at(ms)).count()
}

#[test]
fn silent_node_is_not_listed() {
    let mut members = own();
    members.on_heartbeat(at(0), ip(0, 2), beat(2, 1, true, false));
    assert_eq!(members.status(at(0) + HEARTBEAT_INTERVAL * 3, ip(0, 2)), Status::Ready);
    assert_eq!(members.status(at(0) + HEARTBEAT_INTERVAL * 5, ip(0, 2)), Status::Silent);
    assert_eq!(members.serving(at(0) + HEARTBEAT_INTERVAL * 5).count(), 0);
}

/// A dead node must leave the answers to lookups within two seconds, however many nodes
/// there are: the interval to the nodes of a region does not grow with the fleet.
#[test]
fn dead_node_is_silent_within_two_seconds_at_any_size() {
    for nodes in [6, 60, 300, 1000] {
        let mut members = own();
        (2..nodes).for_each(|number| members.add_peer(peer(number % 4, number, 120)));
        members.on_heartbeat(at(0), ip(0, 2), beat(2, 1, true, false));
        (0..=5).for_each(|tick| members.tick(at(tick * 400)));
        assert_eq!(serving(&members, 2000), 0, "{nodes} nodes");
    }
}

/// Guards against lookups that name a node, of this region or of another one, more than 9 s after
/// its end, also if this node was paused meanwhile.
#[test]
fn ended_node_is_not_named_after_nine_seconds() {
    for data_centre in [0, 1, 2, 3] {
        for paused in [false, true] {
            let mut members = own();
            let node = peer(data_centre, 2, 500);
            members.on_heartbeat(at(0), node.ip, heartbeat(&node, 1));
            let ticks = (0..=30).map(|tick| tick * 400);
            ticks.filter(|ms| !paused || *ms >= 9200).for_each(|ms| {
                members.tick(at(ms));
                let named = members.named(at(ms)).count();
                assert!(ms <= 9000 || named == 0, "{data_centre}: named at {ms}, {paused}");
            });
        }
    }
}

/// A node that was frozen finds old heartbeats and must read the new ones first.
#[test]
fn own_pause_makes_no_node_silent() {
    let mut members = own();
    members.tick(at(0));
    members.on_heartbeat(at(0), ip(0, 2), beat(2, 1, true, false));
    members.tick(at(7000));
    assert_eq!(members.status(at(7000), ip(0, 2)), Status::Ready);
    members.tick(at(7400));
    members.tick(at(7800));
    assert_eq!(members.status(at(7900), ip(0, 2)), Status::Silent);
}

#[test]
fn leaving_lasts_for_the_incarnation() {
    let mut members = own();
    members.on_heartbeat(at(0), ip(0, 2), beat(2, 1, true, false));
    members.on_heartbeat(at(10), ip(0, 2), beat(2, 1, false, true));
    // A heartbeat that was sent before the last one arrives after it.
    members.on_heartbeat(at(20), ip(0, 2), beat(2, 1, true, false));
    assert_eq!(members.status(at(20), ip(0, 2)), Status::NotReady);
    members.on_heartbeat(at(30), ip(0, 2), beat(2, 2, true, false));
    assert_eq!(members.status(at(30), ip(0, 2)), Status::Ready);
}

#[test]
fn nodes_are_discovered_from_heartbeats() {
    let mut members = own();
    let mut first = beat(2, 1, true, false);
    first.known = vec![peer(0, 1, 500), peer(0, 2, 500), peer(0, 3, 500)];
    members.on_heartbeat(at(0), ip(0, 2), first);
    assert_eq!(members.addresses(), [ip(0, 2), ip(0, 3)]);
}

#[test]
fn all_nodes_are_sent_in_turn() {
    let mut members = own();
    (2..40).for_each(|number| members.add_peer(peer(0, number, 500)));
    let mut sent: Vec<IpAddr> =
        (0..5).flat_map(|number| members.known_to_send(number)).map(|peer| peer.ip).collect();
    sent.sort();
    sent.dedup();
    assert_eq!(sent.len(), 38);
}

/// The number of heartbeats that a node sends per second, over a minute.
fn rate(members: &Members, serving: bool) -> f64 {
    let sent: usize =
        (3..153).map(|number| members.targets(at(5000), number, serving, false).len()).sum();
    sent as f64 / (150.0 * HEARTBEAT_INTERVAL.as_secs_f64())
}

/// The rate of a standby node does not grow with the fleet; that of a serving node grows
/// with its region only.
#[test]
fn heartbeat_rate_is_bounded() {
    let mut in_region = Vec::new();
    for nodes in [40, 400, 4000] {
        let mut members = own();
        (2..100).for_each(|number| members.add_peer(peer(0, number, 120)));
        (0..nodes).for_each(|number| members.add_peer(peer(2, number, 120)));
        for number in 2..5 {
            members.on_heartbeat(at(4900), ip(0, number), beat(number, 1, true, false));
        }
        let standby = rate(&members, false);
        assert!(standby <= 1.0, "{standby} heartbeats a second of a standby node");
        in_region.push(rate(&members, true));
    }
    let slowest = in_region.iter().copied().fold(f64::MAX, f64::min);
    let fastest = in_region.iter().copied().fold(0.0, f64::max);
    assert!(fastest <= slowest * 1.01, "{in_region:?} heartbeats a second of a serving node");
}

/// All nodes of the region hear at once that a node leaves.
#[test]
fn leaving_node_tells_all_of_its_region() {
    let mut members = own();
    (2..50).for_each(|number| members.add_peer(peer(0, number, 120)));
    (2..50).for_each(|number| members.add_peer(peer(1, number, 120)));
    assert!(members.targets(at(5000), 7, true, true).len() >= 96);
}

#[test]
fn unreachable_node_counts_until_the_timeout() {
    let mut members = own();
    members.on_heartbeat(at(0), ip(0, 2), beat(2, 1, true, false));
    members.on_heartbeat(at(0), ip(0, 3), beat(3, 1, true, false));
    members.on_heartbeat(at(10), ip(0, 3), beat(3, 1, false, true));
    assert_eq!(members.recently_serving(at(0) + Duration::from_secs(10)), 1);
    assert_eq!(members.recently_serving(at(0) + Duration::from_secs(60)), 0);
}

/// Guards against heartbeats that are cut off on their way, so that the node counts as silent, with
/// as many limits, nodes and departures as one may hold.
#[test]
fn full_heartbeat_fits_into_a_datagram() {
    const MAX_BYTES: usize = 1400;
    let name = "a-data-centre-with-a-long-name";
    let known = |number: usize| Peer { data_centre: Arc::from(name), ..peer(0, number, 65_000) };
    let report = |number: u32| Report {
        server: u32::MAX - number,
        per_second: 1234.5,
        demand: 2345.6,
        age_ms: 100_000 + number,
    };
    let departure =
        |number: u64| Incarnation { id: Arc::from(format!("i-{number:010}")), born: u64::MAX };
    let full = Heartbeat {
        name: Arc::from("front-a-data-centre-with-a-long-name-123"),
        known: (0..8).map(known).collect(),
        departures: (0..6).map(departure).collect(),
        limits: (0..MAX_REPORTS as u32).map(report).collect(),
        ..beat(1, u64::MAX, true, false)
    };
    let bytes = rmp_serde::to_vec(&full).expect("it can be encoded");
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
}
