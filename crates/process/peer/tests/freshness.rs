//! A node is fresh only once it holds the configuration in force.

use std::time::Duration;

use base::time::Time;
use peer::freshness::Freshness;
use peer::freshness::Settings;
use wire::id::Incarnation;

fn nodes(count: u64) -> Vec<Incarnation> {
    (1..=count).map(Incarnation).collect()
}

fn outage_end() -> Time {
    Time::ZERO + Settings::default().outage_threshold
}

#[test]
fn platform_sync_makes_a_node_fresh() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(2));
    assert!(!fresh.is_fresh(Time::ZERO));
    fresh.on_platform_synced();
    assert!(fresh.is_fresh(Time::ZERO));
}

#[test]
fn all_peers_are_compared_before_a_node_is_fresh() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(3));
    fresh.on_compared(Incarnation(1), true);
    fresh.on_compared(Incarnation(2), false);
    assert!(!fresh.is_fresh(outage_end()), "peer 3 was not compared with");
    fresh.on_compared(Incarnation(3), true);
    assert!(!fresh.is_fresh(Time::ZERO), "the platform may yet answer");
    assert!(fresh.is_fresh(outage_end()));
}

#[test]
fn stale_peers_do_not_make_a_node_fresh() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(2));
    fresh.on_compared(Incarnation(1), false);
    fresh.on_compared(Incarnation(2), false);
    assert!(!fresh.is_fresh(outage_end() + Duration::from_secs(3600)));
    assert_eq!(fresh.due(), nodes(2), "they may have become fresh since");
}

#[test]
fn unreachable_peer_is_given_up_after_the_timeout() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.set_peers(&nodes(2));
    fresh.on_compared(Incarnation(1), true);
    fresh.on_compare_failed(Incarnation(2));
    assert!(!fresh.is_fresh(outage_end()));
    assert!(fresh.is_fresh(outage_end() + Settings::default().peer_timeout));
}

#[test]
fn every_peer_is_due_before_any_is_repeated() {
    const BATCH: usize = 8;
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    let all = nodes(96);
    fresh.set_peers(&all);
    for _ in 0..all.len().div_ceil(BATCH) {
        for peer in fresh.due().into_iter().take(BATCH) {
            // Only the peer that is due last is fresh.
            fresh.on_compared(peer, peer == Incarnation(96));
        }
    }
    assert!(fresh.is_fresh(outage_end()));
}

#[test]
fn recheck_ends_with_one_peer_that_has_been_fresh() {
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
fn recheck_without_peers_ends() {
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    fresh.on_platform_synced();
    fresh.require_recheck();
    fresh.set_peers(&[]);
    assert!(fresh.is_fresh(Time::ZERO));
}
