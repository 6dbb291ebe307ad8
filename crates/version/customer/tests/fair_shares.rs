//! Fairness under load: too few slots for all, and a customer that sends many times its usual.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use customer::fair::Claim;
use customer::fair::Fair;

const CUSTOMERS: usize = 83;
const STEP: Duration = Duration::from_millis(10);
const SECONDS: u64 = 30;
/// The number of runs that are added up: the arrivals of one differ by chance.
const RUNS: u64 = 8;
/// The requests that may wait at the servers; one more is refused because they are too busy.
const QUEUE: f64 = 12.0;

/// What became of each customer's requests.
struct Outcome {
    sent: Vec<u32>,
    served: Vec<u32>,
}

impl Outcome {
    fn served_fraction(&self, customers: impl Iterator<Item = usize> + Clone) -> f64 {
        let sum = |counts: &[u32]| customers.clone().map(|c| f64::from(counts[c])).sum::<f64>();
        sum(&self.served) / sum(&self.sent)
    }
}

/// The usual requests per second of a customer: few are large.
fn usual(customer: usize) -> f64 {
    30.0 / (customer + 1) as f64
}

/// Plays servers that finish `capacity` requests a second; customer 0 sends `factor` times its
/// usual, of which its quota admits `quota` times the usual, as those of the others do.
fn play(capacity: f64, factor: f64, quota: f64, is_fair: bool) -> Outcome {
    let mut outcome = Outcome { sent: vec![0; CUSTOMERS], served: vec![0; CUSTOMERS] };
    (0..RUNS).for_each(|seed| play_seed(capacity, factor, quota, is_fair, seed, &mut outcome));
    outcome
}

fn play_seed(
    capacity: f64,
    factor: f64,
    quota: f64,
    is_fair: bool,
    seed: u64,
    outcome: &mut Outcome,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fair = Fair::default();
    let demand =
        |customer: usize| usual(customer) * if customer == 0 { factor.min(quota) } else { 1.0 };
    let claim =
        |customer: usize| Claim { demand: demand(customer), weight: usual(customer) * quota };
    let mut waiting = 0.0;
    let mut now = Time::ZERO;
    let seconds = STEP.as_secs_f64();
    while now < Time::ZERO + Duration::from_secs(SECONDS) {
        now = now + STEP;
        waiting = f64::max(waiting - capacity * seconds, 0.0);
        if is_fair && fair.is_step_due(now) {
            fair.step(now, (0..CUSTOMERS).map(claim));
        }
        // Each step begins with another customer, as arrivals have no order.
        let first = rng.random_range(0..CUSTOMERS);
        for offset in 0..CUSTOMERS {
            let customer = (first + offset) % CUSTOMERS;
            let mut expected = demand(customer) * seconds;
            while expected > 0.0 {
                if rng.random::<f64>() < expected {
                    outcome.sent[customer] += 1;
                    let is_admitted =
                        rng.random::<f64>() < fair.admitted_fraction(claim(customer).ratio());
                    if is_admitted && waiting >= QUEUE {
                        fair.refused();
                    } else if is_admitted {
                        fair.sent();
                        waiting += 1.0;
                        outcome.served[customer] += 1;
                    }
                }
                expected -= 1.0;
            }
        }
    }
}

/// One customer at eight times its usual must not cost the others anything.
#[test]
fn hot_customer_costs_the_others_nothing() {
    let capacity = 1.05 * (0..CUSTOMERS).map(usual).sum::<f64>();
    let others = 1..CUSTOMERS;
    let without = play(capacity, 1.0, 1.6, true).served_fraction(others.clone());
    let beside = play(capacity, 8.0, 1.6, true).served_fraction(others.clone());
    let unfair = play(capacity, 8.0, 1.6, false).served_fraction(others);
    assert!(without - beside <= 0.005, "{without} without, {beside} beside, {unfair} without cut");
    assert!(unfair < beside - 0.02, "the pattern needs no fairness: {unfair}");
}

/// Small customers must not be starved where there is room for half of all.
#[test]
fn no_customer_is_starved() {
    let capacity = 0.5 * (0..CUSTOMERS).map(usual).sum::<f64>();
    let outcome = play(capacity, 8.0, 8.0, true);
    let all = outcome.served_fraction(0..CUSTOMERS);
    for customer in 0..CUSTOMERS {
        let own = outcome.served_fraction(std::iter::once(customer));
        assert!(own >= all / 4.0, "customer {customer}: {own} of {all}");
    }
}

/// Nobody is trimmed while there is room for all.
#[test]
fn nobody_is_trimmed_without_refusals() {
    let capacity = 3.0 * (0..CUSTOMERS).map(usual).sum::<f64>();
    let outcome = play(capacity, 2.0, 2.0, true);
    assert_eq!(outcome.sent, outcome.served);
}

/// The cut must end soon after the load has ended.
#[test]
fn cut_ends_with_the_load() {
    let mut fair = Fair::default();
    let claims = |hot| [(hot, 40.0), (10.0, 40.0), (10.0, 40.0)];
    let claims = |hot| claims(hot).map(|(demand, weight)| Claim { demand, weight });
    let mut now = Time::ZERO;
    for _ in 0..20 {
        now = now + Duration::from_millis(500);
        fair.refused();
        assert!(fair.is_step_due(now));
        fair.step(now, claims(80.0));
    }
    assert_eq!(fair.cut(), Some(0.25), "the median of the ratios");
    let end = now;
    while fair.cut().is_some() {
        now = now + Duration::from_millis(500);
        assert!(fair.is_step_due(now));
        fair.step(now, claims(10.0));
    }
    assert!(now.since(end) <= Duration::from_secs(1));
}

/// Guards against callers that come back at the same time, or long after the load has changed.
#[test]
fn retry_times_are_spread() {
    for fraction in [1.0, 0.5, 0.01, 0.0] {
        let [early, late] = [0.0, 1.0].map(|random| Fair::retry_after(fraction, random));
        assert!(early >= Duration::from_millis(500) && late <= Duration::from_secs(5));
        assert_eq!(late, early * 2);
    }
}
