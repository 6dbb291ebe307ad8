//! The other nodes, as their beats tell of them.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use base::time::Time;
use entry::members::HEARTBEAT_INTERVAL;
use entry::members::Heartbeat;
use entry::members::Members;
use entry::members::Standing;

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn beat(last: u8, life: u64, ready: bool, leaving: bool) -> Heartbeat {
    Heartbeat {
        name: Arc::from(format!("n{last}").as_str()),
        incarnation: life,
        caller_address: (ip(last), 80).into(),
        data_centre: Arc::from("hall"),
        ready,
        leaving,
        known: Vec::new(),
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn silent_node_is_not_named() {
    let mut members = Members::new(ip(1));
    members.hear(at(0), ip(2), beat(2, 1, true, false));
    assert_eq!(members.standing(at(0) + HEARTBEAT_INTERVAL * 3, ip(2)), Standing::Ready);
    assert_eq!(members.standing(at(0) + HEARTBEAT_INTERVAL * 5, ip(2)), Standing::Silent);
    assert_eq!(members.heard(at(0) + HEARTBEAT_INTERVAL * 5).count(), 0);
}

#[test]
fn leaving_holds_for_the_life() {
    let mut members = Members::new(ip(1));
    members.hear(at(0), ip(2), beat(2, 1, true, false));
    members.hear(at(10), ip(2), beat(2, 1, false, true));
    // A beat that was sent before is overtaken on the way.
    members.hear(at(20), ip(2), beat(2, 1, true, false));
    assert_eq!(members.standing(at(20), ip(2)), Standing::NotReady);
    members.hear(at(30), ip(2), beat(2, 2, true, false));
    assert_eq!(members.standing(at(30), ip(2)), Standing::Ready);
}

#[test]
fn nodes_are_learned_from_beats() {
    let mut members = Members::new(ip(1));
    let mut first = beat(2, 1, true, false);
    first.known = vec![ip(1), ip(2), ip(3)];
    members.hear(at(0), ip(2), first);
    let mut known = members.known().to_vec();
    known.sort();
    assert_eq!(known, [ip(2), ip(3)]);
}

#[test]
fn all_nodes_are_named_in_turn() {
    let mut members = Members::new(ip(1));
    (2..40).for_each(|last| members.learn(ip(last)));
    let mut named: Vec<IpAddr> = (0..5).flat_map(|number| members.named(number)).collect();
    named.sort();
    named.dedup();
    assert_eq!(named.len(), 38);
}

#[test]
fn beats_a_second_are_bounded() {
    let mut members = Members::new(ip(1));
    for last in 2..=255 {
        members.learn(ip(last));
    }
    let rate = members.known().len() as f64 / members.interval().as_secs_f64();
    assert!(rate <= 31.0, "{rate} beats a second");
}

#[test]
fn cut_off_node_counts_for_the_budget_for_a_while() {
    let mut members = Members::new(ip(1));
    members.hear(at(0), ip(2), beat(2, 1, true, false));
    members.hear(at(0), ip(3), beat(3, 1, true, false));
    members.hear(at(10), ip(3), beat(3, 1, false, true));
    assert_eq!(members.at_work(at(0) + Duration::from_secs(10)), 2);
    assert_eq!(members.at_work(at(0) + Duration::from_secs(60)), 1);
}
