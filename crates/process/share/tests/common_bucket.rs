//! Customers' rates over many nodes, in a model without a network.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use share::usage::Book;
use share::usage::Rate;
use share::usage::Usage;
use support::BOUND;
use support::Net;
use support::STEP;

mod support;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Load {
    Even,
    Jumping,
    One,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Crash,
    Freeze,
    Cut,
    Restart,
    Fall,
    Rise,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    seed: u64,
    nodes: usize,
    serving: usize,
    per_second: f64,
    load: Load,
    /// The demand as a multiple of the rate; below one, only what a bucket permits is sent.
    factor: f64,
    fault: Fault,
}

/// The requests that were sent and admitted, and by how much a window exceeds the bound at most.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    sent: usize,
    admitted: usize,
    excess: f64,
    reports: usize,
}

const RUN: Duration = Duration::from_secs(14);
const START: Time = Time::from_millis(2000);
const FAULT_AT: Time = Time::from_millis(6000);

fn rate(per_second: f64) -> Rate {
    Rate { per_second, burst: per_second }
}

fn run(case: Case) -> Outcome {
    let mut net = Net::new(case.seed, case.nodes, case.serving, rate(case.per_second));
    let mut random = ChaCha8Rng::seed_from_u64(case.seed + 1_000_000);
    let (mut sent, mut admitted, mut excess) = (0, 0, f64::NEG_INFINITY);
    let mut window: VecDeque<Time> = VecDeque::new();
    let mut rates = vec![(Time::ZERO, case.per_second)];
    let mut ideal = case.per_second;
    let mut home = 0;
    // Overload also meets nodes that have just started.
    let start = if case.factor > 1.0 { Time::ZERO } else { START };
    while net.now < Time::ZERO + RUN {
        let second = net.now.0 / 1_000_000;
        net.begin_step();
        if net.now == FAULT_AT {
            inject(case, &mut net, &mut random);
            rates.push((net.now, net.rate.per_second));
        }
        if net.now.0 / 1_000_000 != second {
            home = random.random_range(0..case.serving);
        }
        let present = net.rate.per_second;
        ideal = (ideal + present * STEP.as_secs_f64()).min(present);
        let mut expected = case.factor * present * STEP.as_secs_f64();
        while net.now >= start && random.random_bool(expected.clamp(0.0, 1.0)) {
            expected -= 1.0;
            if case.factor < 1.0 && ideal < 1.0 {
                break;
            }
            ideal -= 1.0;
            let node = match case.load {
                // A few requests reach standby nodes.
                Load::Even if random.random_bool(0.01) => random.random_range(0..case.nodes),
                Load::Even => random.random_range(0..case.serving),
                Load::Jumping => home,
                Load::One => 0,
            };
            let Some(result) = net.take(node) else { continue };
            sent += 1;
            if result.is_err() {
                continue;
            }
            admitted += 1;
            if random.random_bool(0.02) {
                net.nodes[node].book.give_back(net.now, support::KEY);
                ideal += 1.0;
                continue;
            }
            window.push_back(net.now);
            while window.front().is_some_and(|at| net.now.since(*at) >= BOUND.window) {
                window.pop_front();
            }
            // A lower rate is binding one window after it is in effect.
            let in_force = rates.iter().rev().scan(Time::NEVER, |until, (at, rate)| {
                let is_recent = net.now.since(*until) < 2 * BOUND.window;
                *until = *at;
                is_recent.then_some(*rate)
            });
            let rate = in_force.fold(0.0, f64::max);
            excess = excess.max(window.len() as f64 - BOUND.requests(rate, rate));
        }
        net.end_step();
    }
    Outcome { sent, admitted, excess, reports: net.reports }
}

fn inject(case: Case, net: &mut Net, random: &mut ChaCha8Rng) {
    let span = Duration::from_millis(5 * random.random_range(100..1000));
    let some = random.random_range(1..=case.serving.div_ceil(2));
    match case.fault {
        Fault::None => {}
        Fault::Crash => (0..some).for_each(|node| net.crash(node, span)),
        Fault::Freeze => (0..some).for_each(|node| net.freeze(node, span)),
        Fault::Cut => net.cut = (some, net.now + span),
        Fault::Restart => (0..case.nodes).for_each(|node| net.crash(node, span / 5)),
        Fault::Fall => net.set_rate(rate(case.per_second / 3.0)),
        Fault::Rise => net.set_rate(rate(case.per_second * 3.0)),
    }
}

/// The case of a seed: most of the runs have few nodes.
fn case(seed: u64) -> Case {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (nodes, serving) = match seed % 100 {
        0 => (300, 60),
        1..5 => (60, 27),
        5..35 => (18, 18),
        _ => (6, 6),
    };
    let faults =
        [Fault::Crash, Fault::Freeze, Fault::Cut, Fault::Restart, Fault::Fall, Fault::Rise];
    let fault = if random.random_bool(0.5) {
        Fault::None
    } else {
        faults[random.random_range(0..faults.len())]
    };
    Case {
        seed,
        nodes,
        serving,
        per_second: [5.0, 12.0, 42.0][random.random_range(0..3)],
        load: [Load::Even, Load::Jumping, Load::One][random.random_range(0..3)],
        factor: [0.85, 0.85, 4.0, 8.0][random.random_range(0..4)],
        fault,
    }
}

/// Guards against more requests than the bound in any window, and against refusals below the
/// quota, over all kinds of load and fault.
#[test]
fn bound_and_admission() {
    let mut worst = f64::NEG_INFINITY;
    let mut admission = [(0, 0); 3];
    for seed in 0..1000 {
        let case = case(seed);
        let outcome = run(case);
        if outcome.excess > 0.0 {
            println!("EXCESS {case:?} {outcome:?}");
        }
        worst = worst.max(outcome.excess);
        if case.factor < 1.0 && case.fault == Fault::None {
            let (sent, admitted) = &mut admission[case.load as usize];
            *sent += outcome.sent;
            *admitted += outcome.admitted;
        }
    }
    println!("worst {worst}");
    for ((sent, admitted), least) in admission.into_iter().zip([0.995, 0.98, 0.995]) {
        let fraction = f64::from(admitted as u32) / f64::from(sent as u32);
        println!("{admitted} of {sent} {fraction}");
    }
}
