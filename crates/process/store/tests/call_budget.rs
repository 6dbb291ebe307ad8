//! Calls stay within the rate limit; the delays of retries grow and have jitter.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use base::time::Time;
use store::budget::Backoff;
use store::budget::TokenBucket;

fn config() -> ProptestConfig {
    let fixed = RngSeed::Fixed(7);
    ProptestConfig { failure_persistence: None, rng_seed: fixed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn calls_stay_within_budget(gaps in prop::collection::vec(0_u64..400_000, 1..300)) {
        const PER_SECOND: f64 = 10.0;
        const BURST: f64 = 5.0;
        let mut bucket = TokenBucket::new(PER_SECOND, BURST);
        let mut now = Time::ZERO;
        let mut taken: Vec<Time> = Vec::new();
        for gap in gaps {
            now = now + Duration::from_micros(gap);
            match bucket.try_take(now) {
                Ok(()) => taken.push(now),
                Err(next) => prop_assert!(next > now),
            }
            for (index, first) in taken.iter().enumerate() {
                let allowed = now.since(*first).as_secs_f64() * PER_SECOND + BURST;
                prop_assert!((taken.len() - index) as f64 <= allowed + 1e-6);
            }
        }
    }
}

#[test]
fn delays_grow_to_the_maximum_and_differ_by_seed() {
    let (first, max) = (Duration::from_millis(100), Duration::from_secs(2));
    let delays = |seed| {
        let mut backoff = Backoff::new(first, max, seed);
        (0..10).map(|_| backoff.next_delay()).collect::<Vec<Duration>>()
    };
    let (delays_of_first, delays_of_second) = (delays(1), delays(2));
    assert_ne!(delays_of_first, delays_of_second);
    assert!(delays_of_first[0] <= first && delays_of_first[9] >= max / 2);
    assert!(delays_of_first.iter().all(|delay| *delay >= first / 2 && *delay <= max));
}
