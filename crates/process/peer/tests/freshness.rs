//! A node is named only once it holds what is in force.

use std::time::Duration;

use base::time::Time;
use peer::freshness::Freshness;
use peer::freshness::Settings;
use wire::id::Incarnation;

fn nodes(count: u64) -> Vec<Incarnation> {
    (1..=count).map(Incarnation).collect()
}

fn outage() -> Time {
    Time::ZERO + Settings::default().outage_threshold
}

#[test]
fn platform_is_enough() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(2));
    assert!(!fresh.is_fresh(Time::ZERO));
    fresh.on_platform_synced();
    assert!(fresh.is_fresh(Time::ZERO));
}

#[test]
fn stale_peer_that_answers_first_does_not_win() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(3));
    fresh.on_compared(Incarnation(1), true);
    fresh.on_compared(Incarnation(2), false);
    assert!(!fresh.is_fresh(outage()), "peer 3 has not been asked");
    fresh.on_compared(Incarnation(3), true);
    assert!(!fresh.is_fresh(Time::ZERO), "the platform may yet answer");
    assert!(fresh.is_fresh(outage()));
}

#[test]
fn peers_that_are_all_stale_are_not_enough() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(2));
    fresh.on_compared(Incarnation(1), false);
    fresh.on_compared(Incarnation(2), false);
    assert!(!fresh.is_fresh(outage() + Duration::from_secs(3600)));
    assert_eq!(fresh.due(), nodes(2), "they may have become fresh since");
}

#[test]
fn silent_peer_is_waited_for_and_then_left() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(2));
    fresh.on_compared(Incarnation(1), true);
    fresh.on_compare_failed(Incarnation(2));
    assert!(!fresh.is_fresh(outage()));
    assert!(fresh.is_fresh(outage() + Settings::default().peer_timeout));
}

#[test]
fn every_peer_gets_its_turn() {
    const AT_ONCE: usize = 8;
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    let all = nodes(96);
    fresh.set_peers(&all);
    for _ in 0..all.len().div_ceil(AT_ONCE) {
        for peer in fresh.due().into_iter().take(AT_ONCE) {
            // Only the last one to be asked is fresh.
            fresh.on_compared(peer, peer == Incarnation(96));
        }
    }
    assert!(fresh.is_fresh(outage()));
}

#[test]
fn doubt_ends_with_one_peer_that_has_been_fresh() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.on_platform_synced();
    fresh.require_recheck();
    fresh.set_peers(&nodes(3));
    assert!(!fresh.is_fresh(Time::ZERO));
    fresh.on_compared(Incarnation(1), false);
    assert!(!fresh.is_fresh(Time::ZERO), "it has never been fresh itself");
    fresh.on_compared(Incarnation(2), true);
    assert!(fresh.is_fresh(Time::ZERO));
}

#[test]
fn doubt_of_a_node_without_peers_ends() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.on_platform_synced();
    fresh.require_recheck();
    fresh.set_peers(&[]);
    assert!(fresh.is_fresh(Time::ZERO));
}
