//! Compares the choices of a replica, and admission on and off, in virtual time.
//!
//! Run with `cargo run --release -p route --example compare -- [SECONDS]`. Same
//! seeds, same figures: nothing depends on the machine.

mod model;
mod node;
mod report;
mod sim;

use std::thread;

use crate::model::Case;
use crate::model::Fault;
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

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(SECONDS);
    let base = Case { seconds, ..Case::default() };
    println!("{}", report::heading());
    for fault in Fault::ALL {
        for choice in Choice::ALL {
            let case = Case { choice, fault, ..base.clone() };
            println!("{}", report::row(&case, &run(&case)));
        }
    }
    for load_percent in [100, 200] {
        for choice in Choice::ALL {
            let case = Case { choice, load_percent, ..base.clone() };
            println!("{}", report::row(&case, &run(&case)));
        }
    }
    for (admission, hedging) in [(true, true), (false, true), (true, false), (false, false)] {
        for load_percent in [70, 90, 100, 120, 150, 200] {
            let case = Case { load_percent, admission, hedging, ..base.clone() };
            println!("{}", report::row(&case, &run(&case)));
        }
    }
}
