//! The budget of extra sends holds in every window, over all nodes.

use std::time::Duration;

use base::entity::Service;
use base::time::Time;
use replica::budget::Budget;
use replica::budget::Settings;

const SETTINGS: Settings = Settings { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

fn service() -> Service {
    Service::from_u32(3)
}

/// One send.
#[derive(Clone, Copy)]
struct Send {
    at: Time,
    extra: bool,
}

/// Simulates `rate` requests per second for `seconds` on each of `nodes` nodes.
/// From second `from` on, each request attempts two extra sends.
fn simulate(nodes: u32, rate: u64, seconds: u64, from: u64) -> Vec<Send> {
    let mut sends = Vec::new();
    for _ in 0..nodes {
        let mut budget = Budget::new(SETTINGS);
        budget.set_share(Time::ZERO, 1.0 / f64::from(nodes));
        for number in 0..rate * seconds {
            let at = Time::from_micros(number * 1_000_000 / rate);
            budget.first_send(at, service());
            sends.push(Send { at, extra: false });
            let tries = if at >= Time::from_millis(from * 1000) { 2 } else { 0 };
            for _ in 0..tries {
                if budget.take_extra(at, service()) {
                    sends.push(Send { at, extra: true });
                }
            }
        }
    }
    sends
}

/// The maximum, over all windows, of the extra sends as a fraction of the allowed
/// ones. As the bound is defined, the allowed number follows from the requests in
/// the window, in the window before it, or in the one that begins half a window
/// earlier, whichever has the most.
fn max_used_fraction(sends: &[Send], seconds: u64) -> f64 {
    let window = SETTINGS.window.as_millis() as i64;
    let within = |start: i64, extra: bool| {
        let span = start..start + window;
        let inside = |send: &&Send| {
            let at = send.at.since(Time::ZERO).as_millis() as i64;
            span.contains(&at) && send.extra == extra
        };
        sends.iter().filter(inside).count() as f64
    };
    let used_fraction = |start: i64| {
        let before = [start, start - window / 2, start - window];
        let requests = before.map(|start| within(start, false)).into_iter().fold(0.0, f64::max);
        within(start, true) / (SETTINGS.ratio * requests + SETTINGS.slack)
    };
    (0..seconds as i64 * 1000).step_by(250).map(used_fraction).fold(0.0, f64::max)
}

/// Guards against a bucket that expires too early: one burst at the end of a
/// bucket and one when that bucket is about to expire must fit one window's budget.
#[test]
fn bursts_at_the_edges_of_a_window_stay_within_the_budget() {
    let mut budget = Budget::new(SETTINGS);
    let mut sends = Vec::new();
    for number in 0..400 {
        let at = Time::from_millis(number * 100);
        budget.first_send(at, service());
        sends.push(Send { at, extra: false });
        if [204, 300].contains(&number) {
            while budget.take_extra(at, service()) {
                sends.push(Send { at, extra: true });
            }
        }
    }
    let used = max_used_fraction(&sends, 40);
    assert!(used <= 1.0, "{used} of the budget");
}

#[test]
fn every_window_stays_within_the_budget() {
    for (nodes, rate) in [(1, 10), (1, 200), (6, 30), (6, 2), (60, 3)] {
        for from in [0, 7, 15] {
            let used = max_used_fraction(&simulate(nodes, rate, 40, from), 40);
            assert!(used <= 1.0, "{nodes} nodes, {rate}/s, from {from} s: {used} of the budget");
        }
    }
}

#[test]
fn most_of_the_budget_is_usable() {
    let used = max_used_fraction(&simulate(6, 30, 40, 10), 40);
    assert!(used > 0.7, "only {used} of the budget was used");
}

#[test]
fn restarted_nodes_do_not_double_the_slack() {
    // All nodes use up their budget, are killed together and restart. Windows that
    // span the restart must still stay within the budget.
    let mut sends = simulate(6, 5, 20, 0);
    let later = simulate(6, 5, 20, 0).into_iter();
    sends.extend(later.map(|send| Send { at: send.at + Duration::from_secs(21), ..send }));
    let used = max_used_fraction(&sends, 40);
    assert!(used <= 1.0, "{used} of the budget");
}

/// A request that waits for a connection may turn out to be unsent some buckets later.
#[test]
fn refund_goes_to_the_bucket_of_the_send() {
    let mut budget = Budget::new(SETTINGS);
    let taken = Time::from_millis(20_000);
    assert!(budget.take_extra(taken, service()));
    let later = Time::from_millis(21_300);
    let used = budget.used_fraction(later, service());
    budget.refund(later, service(), taken);
    assert!(budget.used_fraction(later, service()) < used, "the refund was lost");
    // It must not make room a second time when the bucket of the send expires.
    assert!(budget.take_extra(later, service()));
    let used = budget.used_fraction(later, service());
    assert!(budget.used_fraction(Time::from_millis(30_800), service()) >= used);
}

#[test]
fn unsent_request_is_refunded() {
    let mut budget = Budget::new(SETTINGS);
    let at = Time::from_millis(20_000);
    let mut taken = 0;
    while budget.take_extra(at, service()) {
        taken += 1;
    }
    budget.refund(at, service(), at);
    assert!(budget.take_extra(at, service()));
    assert!(!budget.take_extra(at, service()));
    assert!(taken > 30);
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = Budget::new(SETTINGS);
    let at = Time::from_millis(20_000);
    while budget.take_extra(at, service()) {}
    assert!(budget.used_fraction(at, service()) > 1.0);
    assert!(budget.take_extra(at, Service::from_u32(4)));
}
