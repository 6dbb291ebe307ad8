//! Customers' rates over many nodes, in a model without a network.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::BOUND;
use crate::support::KEY;
use crate::support::Net;
use crate::support::STEP;
use crate::support::address;
use base::time::Time;
use share::usage::Book;
use share::usage::Fleet;
use share::usage::MAX_USAGES;
use share::usage::Peer;
use share::usage::Rate;
use share::usage::Usage;

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
    /// A third of the nodes is cut off, or frozen, for longer than the others remember it.
    LongCut,
    LongFreeze,
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
}

const RUN: Duration = Duration::from_secs(12);
const LONG_FAULT: Duration = Duration::from_secs(35);
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
    let is_long = matches!(case.fault, Fault::LongCut | Fault::LongFreeze);
    let end = Time::ZERO + RUN + if is_long { LONG_FAULT } else { Duration::ZERO };
    while net.now < end {
        let second = net.now.micros() / 1_000_000;
        net.begin_step();
        if net.now == FAULT_AT {
            inject(case, &mut net, &mut random);
            rates.push((net.now, net.rate.per_second));
        }
        if net.now.micros() / 1_000_000 != second {
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
                let is_recent = net.now.since(*until) < BOUND.window;
                *until = *at;
                is_recent.then_some(*rate)
            });
            let rate = in_force.fold(0.0, f64::max);
            excess = excess.max(window.len() as f64 - BOUND.requests(rate, rate));
        }
        net.end_step();
    }
    Outcome { sent, admitted, excess }
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
        Fault::LongCut => net.cut = (case.serving / 3, net.now + LONG_FAULT),
        Fault::LongFreeze => {
            (0..case.serving / 3).for_each(|node| net.freeze(node, LONG_FAULT));
        }
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

/// Guards against more requests than the bound in any window under every kind of load and fault,
/// and against refusals below the quota while no node fails.
#[test]
fn bound_and_admission() {
    let mut admission = [(0, 0); 3];
    for seed in 0..1000 {
        let case = case(seed);
        let outcome = run(case);
        assert!(outcome.excess <= 0.0, "{case:?}: {outcome:?}");
        if case.factor < 1.0 && case.fault == Fault::None {
            let (sent, admitted) = &mut admission[case.load as usize];
            *sent += outcome.sent;
            *admitted += outcome.admitted;
        }
    }
    for ((sent, admitted), least) in admission.into_iter().zip([0.995, 0.98, 0.995]) {
        let fraction = admitted as f64 / sent as f64;
        println!("{admitted} of {sent} requests were admitted, {fraction:.4}.");
        assert!(fraction >= least, "{admitted} of {sent}");
    }
}

/// Guards against load that jumps between many nodes being refused, since each of them first
/// has only a small allowance.
#[test]
fn many_serving_nodes() {
    let case = |seed, per_second| Case {
        seed,
        nodes: 60,
        serving: 60,
        per_second,
        load: Load::Jumping,
        factor: 0.85,
        fault: Fault::None,
    };
    for per_second in [5.0, 12.0, 42.0] {
        let outcomes: Vec<Outcome> = (0..20).map(|seed| run(case(seed, per_second))).collect();
        let sent: usize = outcomes.iter().map(|outcome| outcome.sent).sum();
        let admitted: usize = outcomes.iter().map(|outcome| outcome.admitted).sum();
        assert!(admitted as f64 >= 0.98 * sent as f64, "{per_second}: {admitted} of {sent}");
    }
}

/// Guards against overload that meets 300 serving nodes which all have just started: each of them
/// sees the same level before it hears of any other.
#[test]
fn synchronous_start() {
    let case = Case {
        seed: 5,
        nodes: 300,
        serving: 300,
        per_second: 42.0,
        load: Load::Even,
        factor: 8.0,
        fault: Fault::Restart,
    };
    let outcome = run(case);
    assert!(outcome.excess <= 0.0, "{outcome:?}");
}

/// Guards against both sides of a partition using the whole rate until they miss heartbeats.
#[test]
fn partition_under_overload() {
    for seed in 0..60 {
        let (per_second, factor) =
            [(42.0, 4.0), (42.0, 8.0), (100.0, 8.0), (400.0, 4.0)][seed as usize % 4];
        let (nodes, load, fault) = (6, Load::Even, Fault::Cut);
        let case = Case { seed, nodes, serving: nodes, per_second, load, factor, fault };
        let outcome = run(case);
        assert!(outcome.excess <= 0.0, "{case:?}: {outcome:?}");
    }
}

/// Guards against nodes that are cut off, or were frozen, for so long that they and the others forget
/// each other, and then both divide the whole rate among them.
#[test]
fn long_partition() {
    let mut exceeded = Vec::new();
    for seed in 0..30 {
        let fault = [Fault::LongCut, Fault::LongFreeze][seed as usize % 2];
        let per_second = [5.0, 12.0, 42.0][seed as usize % 3];
        let (nodes, load, factor) = ([6, 18][seed as usize / 15], Load::Even, 8.0);
        let case = Case { seed, nodes, serving: nodes, per_second, load, factor, fault };
        let outcome = run(case);
        if outcome.excess > 0.0 {
            exceeded.push(format!("{case:?}: {outcome:?}"));
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Guards against a node that gives its share up though no majority can have taken it: the other
/// one of two nodes has ended.
#[test]
fn one_of_two_nodes() {
    let mut net = Net::new(1, 2, 2, rate(12.0));
    let mut admitted = 0;
    while net.now < Time::from_millis(60_000) {
        net.begin_step();
        if net.now == FAULT_AT {
            net.freeze(1, Duration::from_secs(100));
        }
        let is_late = net.now >= Time::from_millis(40_000);
        admitted += usize::from(net.take(0) == Some(Ok(())) && is_late);
        net.end_step();
    }
    assert!((100..160).contains(&admitted), "{admitted} of 120");
}

/// Guards against the use of nodes being unknown after many others have been replaced.
#[test]
fn replaced_nodes() {
    let mut net = Net::new(1, 1, 1, rate(5.0));
    let usage = |used| [Usage { key: support::KEY, used, demand: 1.0, level: 5.0 }];
    for node in 1..600 {
        net.begin_step();
        let book = &mut net.nodes[0].book;
        book.on_report(net.now, support::address(node), 1, &usage(1));
        (0..40).for_each(|_| net.end_step());
        net.now = net.now + Duration::from_millis(400);
    }
    let now = net.now + Duration::from_secs(1);
    let book = &mut net.nodes[0].book;
    let mut level = |used| {
        book.on_report(now, support::address(600), 1, &usage(used));
        assert_eq!(book.take(now, support::KEY), Ok(()));
        book.give_back(now, support::KEY);
        book.report(now)[0].level
    };
    let before = level(1);
    assert_eq!(level(4), before - 3.0);
}

/// Guards against the share of a node of an earlier build, which reports no use, being given to the
/// others.
#[test]
fn nodes_that_do_not_report() {
    struct Mixed {
        reports: bool,
    }
    impl Fleet for Mixed {
        fn own(&self) -> IpAddr {
            support::address(0)
        }

        fn is_serving(&self) -> bool {
            true
        }

        fn standby_nodes(&self) -> u32 {
            0
        }

        fn others(&self) -> Vec<Peer> {
            let peer = |node| Peer {
                ip: support::address(node),
                is_present: true,
                reports: self.reports || node < 2,
            };
            (1..4).map(peer).collect()
        }
    }
    let admitted = |reports| {
        let mut book = Book::new(BOUND);
        book.set_rate(Time::ZERO, support::KEY, rate(42.0));
        let admits = |step: u64| {
            let now = Time::from_millis(step * 5);
            if step.is_multiple_of(80) {
                book.divide(now, &Mixed { reports });
            }
            if book.is_report_due(now) {
                book.report(now);
            }
            book.take(now, support::KEY).is_ok() && step >= 2000
        };
        (0..4000).map(admits).filter(|is_admitted| *is_admitted).count()
    };
    // Two of four nodes report, so half of the rate is left.
    let (mixed, all) = (admitted(false), admitted(true));
    assert!(mixed as f64 <= 0.6 * all as f64, "{mixed} of {all}");
}

/// Guards against an overload being refused more than the rate asks for.
#[test]
fn overload_uses_rate() {
    for seed in 0..20 {
        let load = [Load::Even, Load::Jumping, Load::One][seed as usize % 3];
        let (nodes, serving, per_second, factor) = (6, 6, 12.0, 4.0);
        let case = Case { seed, nodes, serving, per_second, load, factor, fault: Fault::None };
        let outcome = run(case);
        let rated = per_second * RUN.as_secs_f64();
        assert!(outcome.admitted as f64 >= 0.9 * rated, "{case:?}: {outcome:?}");
    }
}

/// Guards against a time of return at which there is no room, and against several requests that
/// are told to return for the same room.
#[test]
fn true_retry_times() {
    for per_second in [5.0, 12.0, 42.0] {
        let mut net = Net::new(1, 6, 6, rate(per_second));
        for _ in 0..400 {
            net.begin_step();
            net.end_step();
        }
        let mut returns: Vec<Time> = (0..120).filter_map(|_| net.take(0)?.err()).collect();
        // Times of return are spread over at most 10 s.
        returns.truncate((per_second * 9.0) as usize);
        assert!(!returns.is_empty());
        for at in returns {
            while net.now < at {
                net.begin_step();
                net.end_step();
            }
            assert_eq!(net.take(0), Some(Ok(())), "{per_second} at {at}");
        }
    }
}

/// Guards against reports that grow with the number of customers, and against idle keys that go
/// on being reported.
#[test]
fn ten_thousand_keys() {
    let mut book = Book::new(BOUND);
    let mut now = START;
    (0..10_000).for_each(|key| book.set_rate(now, key, rate(5.0)));
    assert!(!book.is_report_due(now));
    (0..10_000).for_each(|key| assert_eq!(book.take(now, key), Ok(())));
    let (mut reports, mut counts) = (0, vec![0; 10_000]);
    for _ in 0..12_000 {
        now = now + STEP;
        if book.is_report_due(now) {
            let usages = book.report(now);
            assert!(usages.len() <= MAX_USAGES);
            usages.iter().for_each(|usage| counts[usage.key as usize] += 1);
            reports += 1;
        }
    }
    assert!(counts.iter().all(|count| *count == 3), "each count is sent three times");
    assert!(reports <= 3 * 10_000 / MAX_USAGES + 2, "{reports}");
}

/// Checks a number of tokens; levels are fractions, whose differences are rounded.
fn assert_tokens(found: f32, expected: f32) {
    assert!((found - expected).abs() < 1e-4, "{found}, expected {expected}");
}

/// Guards against counts that fall, wrap around or start again being taken for new requests.
#[test]
fn counts_that_fall() {
    let report = |used| [Usage { key: 1, used, demand: 1.0, level: 10.0 }];
    let mut book = Book::new(BOUND);
    book.set_rate(START, 1, rate(12.0));
    book.on_report(START, support::address(1), 1, &report(u32::MAX));
    let level = |book: &mut Book| {
        assert_eq!(book.take(START, 1), Ok(()));
        book.give_back(START, 1);
        book.report(START)[0].level
    };
    let before = level(&mut book);
    book.on_report(START, support::address(1), 1, &report(2));
    assert_tokens(before - level(&mut book), 3.0);
    book.on_report(START, support::address(1), 1, &report(1));
    assert_tokens(before - level(&mut book), 2.0);
    book.on_report(START, support::address(1), 2, &report(1));
    assert_tokens(before - level(&mut book), 3.0);
}

/// Guards against fairness by what one node sees of a customer, or by another rate than its own.
#[test]
fn demand_over_the_fleet() {
    let mut book = Book::new(BOUND);
    let now = Time::from_millis(1000);
    book.set_rate(now, KEY, Rate { per_second: 10.0, burst: 5.0 });
    assert_eq!(book.demands(now).count(), 0);
    let usage = Usage { key: KEY, used: 1, demand: 30.0, level: 1.0 };
    book.on_report(now, address(1), 1, &[usage]);
    book.on_report(now, address(2), 2, &[Usage { demand: 12.0, ..usage }]);
    let demands: Vec<_> = book.demands(now).collect();
    assert_eq!(demands.len(), 1);
    assert_eq!((demands[0].key, demands[0].per_second, demands[0].rate), (KEY, 42.0, 10.0));
    assert_eq!(book.demand(now, KEY + 1), None);
    let later = now + Duration::from_secs(2);
    assert_eq!(book.demand(later, KEY).map(|demand| demand.per_second), Some(0.0));
}
