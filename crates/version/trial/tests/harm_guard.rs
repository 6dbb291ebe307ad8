//! The guard stops exactly the arms that exceed a limit.

use std::sync::Arc;

use expect_test::Expect;
use expect_test::expect;

use conf::object::Arm;
use conf::object::Experiment;
use conf::object::Guard;
use conf::object::Stage;
use conf::object::Unit;
use trial::guard;
use trial::tally::Breakdown;
use trial::tally::Sample;

const MIN_REQUESTS: u64 = 1000;

fn experiment() -> Experiment {
    let arm = |name: &str| Arm { name: Arc::from(name), policy: Arc::from(name), weight: 1 };
    Experiment {
        service: Arc::from("desk"),
        arms: vec![arm("base"), arm("new")],
        unit: Unit::Request,
        stage: Stage::Running,
        winner: None,
        guard: Guard::default(),
    }
}

fn sample(latency_us: u64, covered: u32) -> Sample {
    Sample { latency_us, asked: 10, covered, sends: 10, refused: covered == 0 }
}

fn breakdown(base: (Sample, u64), new: (Sample, u64)) -> Breakdown {
    let mut breakdown = Breakdown::new();
    for (name, (sample, requests)) in [("base", base), ("new", new)] {
        let arm = Arc::from(name);
        (0..requests).for_each(|unit| breakdown.add(&arm, &unit.to_string(), &sample));
    }
    breakdown
}

fn check(experiment: &Experiment, breakdown: &Breakdown, expected: Expect) {
    let breaches: Vec<String> =
        guard::breaches(experiment, breakdown).iter().map(ToString::to_string).collect();
    expected.assert_eq(&breaches.join("\n"));
}

#[test]
fn harmless_arm_keeps_running() {
    let breakdown =
        breakdown((sample(10_000, 10), MIN_REQUESTS), (sample(19_000, 10), MIN_REQUESTS));
    check(&experiment(), &breakdown, expect![""]);
}

#[test]
fn slow_arm_is_stopped() {
    let breakdown =
        breakdown((sample(10_000, 10), MIN_REQUESTS), (sample(30_000, 10), MIN_REQUESTS));
    check(&experiment(), &breakdown, expect!["arm new: p99 is 2.99 times the baseline's"]);
}

#[test]
fn arm_with_low_coverage_is_stopped() {
    let breakdown = breakdown((sample(10_000, 10), MIN_REQUESTS), (sample(1_000, 9), MIN_REQUESTS));
    check(&experiment(), &breakdown, expect!["arm new: coverage is 10.00 points lower"]);
}

#[test]
fn refusing_arm_is_stopped() {
    let breakdown = breakdown((sample(10_000, 10), MIN_REQUESTS), (sample(1_000, 0), MIN_REQUESTS));
    check(&experiment(), &breakdown, expect!["arm new: coverage is 100.00 points lower"]);
}

#[test]
fn arm_with_too_few_requests_is_not_stopped() {
    let harmful = sample(900_000, 1);
    check(
        &experiment(),
        &breakdown((sample(10_000, 10), MIN_REQUESTS), (harmful, MIN_REQUESTS - 1)),
        expect![""],
    );
    check(
        &experiment(),
        &breakdown((sample(10_000, 10), MIN_REQUESTS - 1), (harmful, MIN_REQUESTS)),
        expect![""],
    );
}

#[test]
fn baseline_is_never_stopped() {
    let breakdown =
        breakdown((sample(900_000, 1), MIN_REQUESTS), (sample(10_000, 10), MIN_REQUESTS));
    check(&experiment(), &breakdown, expect![""]);
}

#[test]
fn stopped_arm_is_not_reported_again() {
    let mut experiment = experiment();
    experiment.arms[1].weight = 0;
    let breakdown =
        breakdown((sample(10_000, 10), MIN_REQUESTS), (sample(30_000, 10), MIN_REQUESTS));
    check(&experiment, &breakdown, expect![""]);
}
