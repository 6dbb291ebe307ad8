//! The effects of admission control, hedging and replica selection under load, in
//! the simulation of `examples/compare`, whose results follow from the seed.

#![allow(dead_code)]

use std::time::Duration;

use conf::object::Choice;

#[path = "../examples/compare/attempt.rs"]
mod attempt;
#[path = "../examples/compare/model.rs"]
mod model;
#[path = "../examples/compare/node.rs"]
mod node;
#[path = "../examples/compare/report.rs"]
mod report;
#[path = "../examples/compare/sim.rs"]
mod sim;

use crate::model::Case;
use crate::model::Fault;
use crate::model::Hedge;
use crate::report::Figures;

const SEED: u64 = 4;

fn run(case: Case) -> Figures {
    sim::run(&Case { seconds: 4, ..case }, SEED)
}

fn goodput(load_percent: u32, admission: bool) -> f64 {
    let figures = run(Case { load_percent, admission, ..Case::default() });
    figures.latencies.len() as f64 / figures.seconds
}

fn p99(sorted: &[Duration]) -> Duration {
    sorted[sorted.len() * 99 / 100]
}

#[test]
fn goodput_at_twice_the_capacity_stays_near_the_peak() {
    let peak = [90, 100, 120, 150].map(|load| goodput(load, true)).into_iter().fold(0.0, f64::max);
    let twice = goodput(200, true);
    assert!(twice >= 0.9 * peak, "{twice} of {peak} queries a second");
}

#[test]
fn urgent_queries_keep_their_tail_at_twice_the_capacity() {
    let figures = run(Case { load_percent: 200, ..Case::default() });
    let (urgent, all) = (p99(&figures.urgent), p99(&figures.latencies));
    assert!(urgent * 2 < all, "{urgent:?} against {all:?}");
    let share = figures.urgent.len() as f64 / figures.urgent_offered as f64;
    assert!(share > 0.97, "{share} of the urgent queries were answered in full");
}

#[test]
fn a_refusal_comes_long_before_the_deadline() {
    let figures = run(Case { load_percent: 200, ..Case::default() });
    assert!(figures.refused > 0);
    assert!(figures.longest_refusal <= model::DEADLINE * 3 / 10, "{:?}", figures.longest_refusal);
}

#[test]
fn extra_sends_stay_within_the_hedge_budget() {
    for fault in Fault::ALL {
        let figures = run(Case { fault, load_percent: 50, ..Case::default() });
        let extra = figures.sends as f64 / figures.required as f64 - 1.0;
        // The bursts of six budgets and a few retries come on top of 5%.
        assert!(extra <= 0.054, "{extra} with {fault:?}");
    }
}

#[test]
fn hedges_cut_the_tail_that_stragglers_make() {
    let fault = Fault::Stragglers(10);
    let with = p99(&run(Case { fault, ..Case::default() }).latencies);
    let never = Hedge { percent: 100.0, ..Hedge::default() };
    let without = p99(&run(Case { fault, hedge: never, ..Case::default() }).latencies);
    assert!(with * 3 < without * 2, "{with:?} against {without:?}");
}

/// The p99 over three seeds, and the share of extra sends.
fn pooled(fault: Fault, hedge: Hedge) -> (Duration, f64) {
    let case = Case { fault, hedge, seconds: 8, ..Case::default() };
    let runs = [1, 2, 3].map(|seed| sim::run(&case, seed));
    let mut latencies: Vec<Duration> = runs.iter().flat_map(|run| run.latencies.clone()).collect();
    latencies.sort_unstable();
    let sends: u64 = runs.iter().map(|run| run.sends).sum();
    let required: u64 = runs.iter().map(|run| run.required).sum();
    (p99(&latencies), sends as f64 / required as f64 - 1.0)
}

#[test]
fn a_larger_burst_at_the_same_share_meets_the_tail_target() {
    let hedge = Hedge { percent: 96.0, burst: 100, ..Hedge::default() };
    let (healthy, _) = pooled(Fault::None, hedge);
    let (straggling, extra) = pooled(Fault::Stragglers(10), hedge);
    assert!(straggling * 2 <= healthy * 3, "{straggling:?} against {healthy:?}");
    assert!(extra <= 0.05, "{extra}");
}

#[test]
fn the_default_choice_beats_random_with_a_slow_server() {
    let case = |choice| Case { choice, fault: Fault::SlowServer, ..Case::default() };
    let chosen = p99(&run(case(Choice::default())).latencies);
    let random = p99(&run(case(Choice::Random)).latencies);
    assert!(chosen * 3 < random * 2, "{chosen:?} against {random:?}");
}

/// A dead server fails attempts at once and so has no requests in flight. Without
/// ejection it would be picked most often.
#[test]
fn an_unreachable_replica_costs_neither_coverage_nor_many_sends() {
    for choice in Choice::ALL {
        let case = |fault| Case { choice, fault, load_percent: 50, ..Case::default() };
        let figures = run(case(Fault::Unreachable));
        assert_eq!(figures.incomplete, 0, "{choice:?}");
        let healthy = run(case(Fault::None));
        let more = figures.sends as f64 / healthy.sends as f64
            * (healthy.required as f64 / figures.required as f64);
        assert!(more < 1.02, "{choice:?}: {more} times the sends");
    }
}
