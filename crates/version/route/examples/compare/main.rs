//! Compares the choices of a replica, and admission on and off, in virtual time.
//!
//! Run with `cargo run --release -p route --example compare -- [SECONDS]`. Same
//! seeds, same figures: nothing depends on the machine.

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

/// Seeds of the runs of one cell; the tables give medians and ranges.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Virtual seconds of one run if none are given.
const SECONDS: u64 = 20;

fn run(case: &Case) -> Vec<Figures> {
    thread::scope(|scope| {
        let runs = SEEDS.map(|seed| scope.spawn(move || sim::run(case, seed)));
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

/// The choices under each fault.
fn faults(base: &Case) -> Vec<Case> {
    let case = |fault| Choice::ALL.map(|choice| Case { choice, fault, ..base.clone() });
    Fault::ALL.into_iter().flat_map(case).collect()
}

/// The choices with a replica lost, at a load that the others can bear.
fn lost(base: &Case) -> Vec<Case> {
    let case =
        |fault| Choice::ALL.map(|choice| Case { choice, fault, load_percent: 50, ..base.clone() });
    [Fault::None, Fault::Lost].into_iter().flat_map(case).collect()
}

/// The choices at and beyond the capacity.
fn loads(base: &Case) -> Vec<Case> {
    let case =
        |load_percent| Choice::ALL.map(|choice| Case { choice, load_percent, ..base.clone() });
    [100, 200].into_iter().flat_map(case).collect()
}

/// Admission on and off.
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

/// When a shard is hedged.
fn hedges(base: &Case) -> Vec<Case> {
    let hedge = |percent| Hedge { percent, ..Hedge::default() };
    let rules = [
        hedge(100.0),
        hedge(90.0),
        hedge(95.0),
        Hedge { last: 2, ..hedge(95.0) },
        Hedge { again: 4, ..hedge(95.0) },
        Hedge { burst: 30, ..hedge(95.0) },
        Hedge { burst: 100, ..hedge(95.0) },
        Hedge { burst: 100, again: 4, ..hedge(95.0) },
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

/// Near servers first or not, with a region between.
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
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(SECONDS);
    let base = Case { seconds, ..Case::default() };
    let tables =
        [faults(&base), lost(&base), loads(&base), admissions(&base), hedges(&base), sites(&base)];
    for cases in tables {
        println!("{}", report::heading());
        for case in cases {
            println!("{}", report::row(&case, &run(&case)));
        }
    }
}
