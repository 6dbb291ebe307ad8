//! Compares the replica selection policies, and admission control on and off, in a
//! simulation.
//!
//! Run with `cargo run --release -p route --example compare -- [SECONDS]`. The figures
//! follow from the seeds and don't depend on the machine.

mod attempt;
mod model;
mod node;
mod report;
mod sim;

use std::thread;

use crate::model::Case;
use crate::model::Fault;
use crate::model::Hedge;
use crate::model::Sites;
use crate::report::Figures;
use conf::object::Choice;

/// The seeds of the runs for one row; the tables show medians and ranges.
const SEEDS: [u64; 3] = [1, 2, 3];
/// The simulated seconds of one run, by default.
const DEFAULT_SECONDS: u64 = 20;

fn run(case: &Case) -> Vec<Figures> {
    thread::scope(|scope| {
        let runs = SEEDS.map(|seed| scope.spawn(move || sim::run(case, seed)));
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

/// All policies under each fault.
fn faults(base: &Case) -> Vec<Case> {
    let case = |fault| Choice::ALL.map(|choice| Case { choice, fault, ..base.clone() });
    Fault::ALL.into_iter().flat_map(case).collect()
}

/// All policies with an unreachable replica, at a load that the other replicas can
/// serve.
fn unreachable(base: &Case) -> Vec<Case> {
    let case =
        |fault| Choice::ALL.map(|choice| Case { choice, fault, load_percent: 50, ..base.clone() });
    [Fault::None, Fault::Unreachable].into_iter().flat_map(case).collect()
}

/// All policies at and above the capacity.
fn loads(base: &Case) -> Vec<Case> {
    let case =
        |load_percent| Choice::ALL.map(|choice| Case { choice, load_percent, ..base.clone() });
    [100, 200].into_iter().flat_map(case).collect()
}

/// Admission control on and off, at several loads.
fn admissions(base: &Case) -> Vec<Case> {
    let case = |admission| {
        [70, 90, 100, 120, 150, 200].map(|load_percent| Case {
            load_percent,
            admission,
            ..base.clone()
        })
    };
    [true, false].into_iter().flat_map(case).collect()
}

/// Rules for hedges.
fn hedges(base: &Case) -> Vec<Case> {
    let hedge = |percent| Hedge { percent, ..Hedge::default() };
    let rules = [
        hedge(100.0),
        hedge(90.0),
        hedge(95.0),
        Hedge { max_missing: 2, ..hedge(95.0) },
        Hedge { retry_divisor: 4, ..hedge(95.0) },
        Hedge { burst: 30, ..hedge(95.0) },
        Hedge { burst: 100, ..hedge(95.0) },
        Hedge { burst: 100, retry_divisor: 4, ..hedge(95.0) },
        hedge(96.0),
        Hedge { burst: 100, ..hedge(96.0) },
        hedge(98.0),
    ];
    let case = |(fault, load_percent)| {
        rules.map(|hedge| Case { fault, load_percent, hedge, ..base.clone() })
    };
    let faults = [
        (Fault::None, 70),
        (Fault::Stragglers(10), 70),
        (Fault::None, 40),
        (Fault::Stragglers(50), 40),
    ];
    faults.into_iter().flat_map(case).collect()
}

/// Three regions, with a preference for near servers and without.
fn sites(base: &Case) -> Vec<Case> {
    let case = |choice| {
        [true, false].map(|prefer_near| Case {
            choice,
            sites: Sites::Three { prefer_near },
            ..base.clone()
        })
    };
    Choice::ALL.into_iter().flat_map(case).collect()
}

fn main() {
    let seconds =
        std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SECONDS);
    let base = Case { seconds, ..Case::default() };
    let tables = [
        faults(&base),
        unreachable(&base),
        loads(&base),
        admissions(&base),
        hedges(&base),
        sites(&base),
    ];
    for cases in tables {
        println!("{}", report::heading());
        for case in cases {
            println!("{}", report::row(&case, &run(&case)));
        }
    }
}
