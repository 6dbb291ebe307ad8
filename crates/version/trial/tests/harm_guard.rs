//! The guard stops an arm that does harm, and no other.

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

const ENOUGH: u64 = 1000;

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

fn table(base: (Sample, u64), new: (Sample, u64)) -> Breakdown {
    let mut table = Breakdown::new();
    for (name, (sample, requests)) in [("base", base), ("new", new)] {
        let arm = Arc::from(name);
        (0..requests).for_each(|unit| table.add(&arm, &unit.to_string(), &sample));
    }
    table
}

fn check(experiment: &Experiment, table: &Breakdown, wanted: Expect) {
    let stops: Vec<String> =
        guard::breaches(experiment, table).iter().map(ToString::to_string).collect();
    wanted.assert_eq(&stops.join("\n"));
}

#[test]
fn harmless_arm_goes_on() {
    let table = table((sample(10_000, 10), ENOUGH), (sample(19_000, 10), ENOUGH));
    check(&experiment(), &table, expect![""]);
}

#[test]
fn slow_arm_is_stopped() {
    let table = table((sample(10_000, 10), ENOUGH), (sample(30_000, 10), ENOUGH));
    check(&experiment(), &table, expect!["arm new: p99 is 2.99 times the baseline's"]);
}

#[test]
fn bare_arm_is_stopped() {
    let table = table((sample(10_000, 10), ENOUGH), (sample(1_000, 9), ENOUGH));
    check(&experiment(), &table, expect!["arm new: coverage is 10.00 points lower"]);
}

#[test]
fn refusing_arm_is_stopped() {
    let table = table((sample(10_000, 10), ENOUGH), (sample(1_000, 0), ENOUGH));
    check(&experiment(), &table, expect!["arm new: coverage is 100.00 points lower"]);
}

#[test]
fn too_few_requests_are_not_judged() {
    let harmful = sample(900_000, 1);
    check(&experiment(), &table((sample(10_000, 10), ENOUGH), (harmful, ENOUGH - 1)), expect![""]);
    check(&experiment(), &table((sample(10_000, 10), ENOUGH - 1), (harmful, ENOUGH)), expect![""]);
}

#[test]
fn baseline_is_never_stopped() {
    let table = table((sample(900_000, 1), ENOUGH), (sample(10_000, 10), ENOUGH));
    check(&experiment(), &table, expect![""]);
}

#[test]
fn stopped_arm_is_not_named_again() {
    let mut experiment = experiment();
    experiment.arms[1].weight = 0;
    let table = table((sample(10_000, 10), ENOUGH), (sample(30_000, 10), ENOUGH));
    check(&experiment, &table, expect![""]);
}
