//! Merging the breakdowns of several nodes.

use std::sync::Arc;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use trial::tally::Breakdown;
use trial::tally::Sample;

type Event = (u8, u8, Sample);

fn config() -> Config {
    Config {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    }
}

fn event() -> impl Strategy<Value = Event> {
    let latency = prop::sample::select(vec![0, 1, 999, 4_321, 70_000, 5_000_000, u64::MAX]);
    (0..3u8, 0..50u8, latency, 0..20u32, 0..20u32, any::<bool>()).prop_map(
        |(arm, unit, latency_us, covered, sends, refused)| {
            let sample = Sample { latency_us, asked: 20, covered, sends, refused };
            (arm, unit, sample)
        },
    )
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 0..40)
}

fn breakdown(events: &[Event]) -> Breakdown {
    let mut breakdown = Breakdown::new();
    for (arm, unit, sample) in events {
        breakdown.add(&Arc::from(format!("arm-{arm}")), &format!("unit-{unit}"), sample);
    }
    breakdown
}

fn merged(left: &Breakdown, right: &Breakdown) -> Breakdown {
    let mut sum = left.clone();
    sum.merge(right);
    sum
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn merge_is_commutative_and_associative(a in events(), b in events(), c in events()) {
        let (x, y, z) = (breakdown(&a), breakdown(&b), breakdown(&c));
        prop_assert_eq!(merged(&x, &y), merged(&y, &x));
        prop_assert_eq!(merged(&merged(&x, &y), &z), merged(&x, &merged(&y, &z)));
        let all: Vec<Event> = a.into_iter().chain(b).chain(c).collect();
        prop_assert_eq!(merged(&merged(&x, &y), &z), breakdown(&all));
    }

    #[test]
    fn serialization_round_trips(events in events()) {
        let sent = breakdown(&events);
        let text = serde_json::to_string(&sent).expect("the breakdown serializes");
        let read: Breakdown = serde_json::from_str(&text).expect("the breakdown deserializes");
        prop_assert_eq!(&read, &sent);
        prop_assert_eq!(merged(&read, &sent), merged(&sent, &sent));
    }
}

#[test]
fn malformed_breakdown_is_rejected() {
    let mut sent = serde_json::to_value(breakdown(&[])).expect("the breakdown serializes");
    sent["arms"]["a"] = serde_json::json!({ "cells": [] });
    assert!(serde_json::from_value::<Breakdown>(sent).is_err());
}
