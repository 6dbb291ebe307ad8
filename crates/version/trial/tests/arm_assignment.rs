//! The assignment of requests to arms.

use std::sync::Arc;

use expect_test::expect;

use conf::object::Arm;
use conf::object::Experiment;
use conf::object::Guard;
use conf::object::Stage;
use conf::object::Unit;
use trial::assign;

const UNITS: usize = 40_000;

fn arms(weights: &[u32]) -> Vec<Arm> {
    let named = weights.iter().zip(["base", "hedge", "home"]);
    let arm = |(weight, name): (&u32, &str)| Arm {
        name: Arc::from(name),
        policy: Arc::from(name),
        weight: *weight,
    };
    named.map(arm).collect()
}

fn arm_of(experiment: &str, weights: &[u32], unit: usize) -> String {
    let arms = arms(weights);
    let arm = assign::of_unit(experiment, &arms, &format!("caller-{unit}"));
    arm.expect("an arm has weight").name.to_string()
}

fn share(weights: &[u32], name: &str) -> f64 {
    let assigned = (0..UNITS).filter(|unit| arm_of("x", weights, *unit) == name).count();
    assigned as f64 / UNITS as f64
}

#[test]
fn same_arm_in_every_build() {
    let arms: Vec<String> = (0..8).map(|unit| arm_of("tail-1", &[1, 1, 2], unit)).collect();
    expect!["hedge hedge hedge home home base hedge hedge"].assert_eq(&arms.join(" "));
}

#[test]
fn shares_follow_weights() {
    for (weights, name, expected) in
        [([1, 1, 0], "base", 0.5), ([1, 3, 0], "hedge", 0.75), ([90, 9, 1], "home", 0.01)]
    {
        let share = share(&weights, name);
        assert!((share - expected).abs() < 0.01, "{weights:?} {name}: {share}");
    }
}

#[test]
fn zero_weight_gets_no_units() {
    assert!((0..UNITS).all(|unit| arm_of("x", &[1, 0, 1], unit) != "hedge"));
    assert!(assign::of_unit("x", &arms(&[0, 0, 0]), "caller").is_none());
}

#[test]
fn stopping_an_arm_moves_only_its_units() {
    for unit in 0..UNITS {
        let before = arm_of("x", &[2, 1, 1], unit);
        let after = arm_of("x", &[2, 0, 1], unit);
        assert!(before == "hedge" || before == after, "unit {unit}: {before} to {after}");
    }
}

#[test]
fn a_higher_weight_moves_units_only_to_its_arm() {
    for unit in 0..UNITS {
        let before = arm_of("x", &[2, 1, 1], unit);
        let after = arm_of("x", &[2, 5, 1], unit);
        assert!(after == "hedge" || before == after, "unit {unit}: {before} to {after}");
    }
}

#[test]
fn experiments_are_independent() {
    let both = (0..UNITS)
        .filter(|unit| {
            arm_of("x", &[1, 1], *unit) == "base" && arm_of("y", &[1, 1], *unit) == "base"
        })
        .count();
    let share = both as f64 / UNITS as f64;
    assert!((share - 0.25).abs() < 0.01, "{share}");
}

#[test]
fn assignment_follows_stage_and_unit() {
    let mut experiment = Experiment {
        service: Arc::from("desk"),
        arms: arms(&[1, 1]),
        unit: Unit::Caller,
        stage: Stage::Running,
        winner: None,
        guard: Guard::default(),
    };
    let arm = |experiment: &Experiment, request: &str| {
        assign::arm("x", experiment, "caller", request).map(|arm| arm.name.clone())
    };
    let requests: Vec<String> = (0..50).map(|request| request.to_string()).collect();
    let first = arm(&experiment, "0");
    assert!(first.is_some());
    assert!(requests.iter().all(|request| arm(&experiment, request) == first));
    experiment.unit = Unit::Request;
    assert!(requests.iter().any(|request| arm(&experiment, request) != first));
    for stage in [Stage::Draft, Stage::Stopped, Stage::Concluded] {
        experiment.stage = stage;
        assert_eq!(arm(&experiment, "0"), None);
    }
}
