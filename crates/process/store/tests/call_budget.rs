//! Calls stay within the budget; waits grow and differ.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use base::time::Time;
use store::budget::Backoff;
use store::budget::Bucket;

fn config() -> ProptestConfig {
    let fixed = RngSeed::Fixed(7);
    ProptestConfig { failure_persistence: None, rng_seed: fixed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_span_keeps_the_budget(gaps in prop::collection::vec(0_u64..400_000, 1..300)) {
        const PER_SECOND: f64 = 10.0;
        const BURST: f64 = 5.0;
        let mut bucket = Bucket::new(PER_SECOND, BURST);
        let mut now = Time::ZERO;
        let mut taken: Vec<Time> = Vec::new();
        for gap in gaps {
            now = now + Duration::from_micros(gap);
            match bucket.take(now) {
                Ok(()) => taken.push(now),
                Err(next) => prop_assert!(next > now),
            }
            for (place, first) in taken.iter().enumerate() {
                let allowed = now.since(*first).as_secs_f64() * PER_SECOND + BURST;
                prop_assert!((taken.len() - place) as f64 <= allowed + 1e-6);
            }
        }
    }
}

#[test]
fn waits_grow_to_the_limit_and_differ_by_seed() {
    let (first, limit) = (Duration::from_millis(100), Duration::from_secs(2));
    let waits = |seed| {
        let mut backoff = Backoff::new(first, limit, seed);
        (0..10).map(|_| backoff.wait()).collect::<Vec<Duration>>()
    };
    let (ours, theirs) = (waits(1), waits(2));
    assert_ne!(ours, theirs);
    assert!(ours[0] <= first && ours[9] >= limit / 2);
    assert!(ours.iter().all(|wait| *wait >= first / 2 && *wait <= limit));
}
