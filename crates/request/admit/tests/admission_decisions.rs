//! Checks which requests run, wait or are rejected, and that each request gets
//! exactly one decision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use admit::controller::Controller;
use admit::request::Action;
use admit::request::Decision;
use admit::request::Feedback;
use admit::request::Id;
use admit::request::Request;
use admit::settings::Settings;
use base::time::Time;
use conf::object::Admission;
use wire::caller::Cause;
use wire::caller::Priority;

const SHARDS: u32 = 10;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn fixed(running: u32, waiting: u32) -> Admission {
    Admission { most_running: running, most_waiting: waiting, learn: false, deadline_aware: true }
}

fn controller(running: u32, waiting: u32) -> Controller {
    Controller::new(Settings::new(fixed(running, waiting), SHARDS))
}

fn request(caller: &str, priority: Priority, deadline: u64) -> Request {
    Request { caller: Arc::from(caller), priority, deadline: at(deadline), cost: SHARDS }
}

fn routine(caller: &str) -> Request {
    request(caller, Priority::Routine, 100_000)
}

fn submit(controller: &mut Controller, now: u64, request: Request) -> (Decision, Vec<Action>) {
    let mut actions = Vec::new();
    let decision = controller.admit(at(now), request, &mut actions);
    (decision, actions)
}

fn admitted(controller: &mut Controller, now: u64, request: Request) -> Id {
    match submit(controller, now, request).0 {
        Decision::Admitted(id) => id,
        other => panic!("{other:?}"),
    }
}

fn queued(controller: &mut Controller, now: u64, request: Request) -> Id {
    match submit(controller, now, request).0 {
        Decision::Queued(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Warms the controller up to a service time of `ms` milliseconds.
fn warm_up(controller: &mut Controller, ms: u64) {
    for turn in 0..50 {
        let id = admitted(controller, turn * ms, routine("warm-up"));
        controller.release(at((turn + 1) * ms), id, Feedback::Done);
    }
}

#[test]
fn a_request_waits_for_room_and_then_runs() {
    let mut controller = controller(1, 4);
    let first = admitted(&mut controller, 0, routine("a"));
    let second = queued(&mut controller, 0, routine("a"));
    assert_eq!(controller.release(at(10), first, Feedback::Done), [Action::Run(second)]);
    assert!(controller.release(at(20), second, Feedback::Done).is_empty());
}

#[test]
fn only_a_long_wait_is_reported_as_overload() {
    let mut controller = controller(1, 4);
    warm_up(&mut controller, 50);
    let now = 10_000;
    let first = admitted(&mut controller, now, routine("a"));
    let second = queued(&mut controller, now, routine("a"));
    controller.release(at(now + 40), first, Feedback::Done);
    assert!(!controller.overloaded(at(now + 40)));
    let third = queued(&mut controller, now + 40, routine("a"));
    controller.release(at(now + 100), second, Feedback::Done);
    assert!(controller.overloaded(at(now + 100)));
    assert!(controller.overloaded(at(now + 200)), "overload is reported for a while");
    assert!(!controller.overloaded(at(now + 1000)));
    controller.release(at(now + 1000), third, Feedback::Overloaded);
    assert!(controller.overloaded(at(now + 1000)), "an upstream refused a request");
}

#[test]
fn a_rejection_is_reported_as_overload() {
    let mut controller = controller(1, 0);
    admitted(&mut controller, 0, routine("a"));
    assert!(matches!(submit(&mut controller, 1, routine("a")).0, Decision::Rejected(_)));
    assert!(controller.overloaded(at(1)));
}

/// The limit stays between the node's share of the slots and a multiple of it.
#[test]
fn the_limit_follows_the_share_of_the_slots() {
    let admit = Admission { learn: true, ..fixed(256, 64) };
    let mut controller = Controller::new(Settings::new(admit, SHARDS).with_share(2.0));
    for turn in 0..500 {
        let now = turn * 10;
        let id = admitted(&mut controller, now, routine("a"));
        controller.release(at(now + 10), id, Feedback::Overloaded);
        assert!((2.0..=12.0).contains(&controller.limit()), "{}", controller.limit());
    }
    assert!(controller.limit() < 2.1);
    controller.set_share(Some(4.0));
    assert_eq!(controller.limit(), 4.0, "the share grew");
    controller.update(&fixed(3, 64), SHARDS);
    assert_eq!(controller.limit(), 3.0, "without adaptation, the policy sets the limit");
}

#[test]
fn a_request_that_cannot_finish_in_time_is_rejected_on_arrival() {
    let mut controller = controller(1, 4);
    warm_up(&mut controller, 50);
    let now = 10_000;
    let (decision, _) = submit(&mut controller, now, request("a", Priority::Urgent, now + 30));
    let Decision::Rejected(rejection) = decision else { panic!("{decision:?}") };
    assert_eq!(rejection.cause, Cause::Deadline);
    assert!(!rejection.retry_after.is_zero());
    admitted(&mut controller, now, request("a", Priority::Urgent, now + 60));
}

#[test]
fn a_request_that_waited_too_long_to_finish_is_rejected_at_its_start() {
    let mut controller = controller(1, 4);
    warm_up(&mut controller, 10);
    let now = 10_000;
    let first = admitted(&mut controller, now, routine("a"));
    let second = queued(&mut controller, now, request("a", Priority::Routine, now + 200));
    let actions = controller.release(at(now + 195), first, Feedback::Done);
    assert!(matches!(actions[..], [Action::Reject(id, _)] if id == second), "{actions:?}");
}

#[test]
fn a_waiting_request_is_rejected_well_before_its_deadline() {
    let mut controller = controller(1, 4);
    admitted(&mut controller, 0, routine("a"));
    let second = queued(&mut controller, 0, request("a", Priority::Routine, 1000));
    let expiry = controller.next_expiry();
    assert!(expiry <= at(300), "rejected at {expiry} with the deadline at 1000 ms");
    assert!(controller.expire(at(100)).is_empty());
    let actions = controller.expire(expiry);
    assert!(matches!(actions[..], [Action::Reject(id, _)] if id == second), "{actions:?}");
    assert_eq!(controller.next_expiry(), Time::NEVER);
}

#[test]
fn a_request_is_not_queued_if_the_wait_is_too_long() {
    let mut controller = controller(1, 100);
    warm_up(&mut controller, 50);
    let now = 10_000;
    admitted(&mut controller, now, routine("a"));
    let mut waiting = 0;
    while let Decision::Queued(_) =
        submit(&mut controller, now, request("a", Priority::Routine, now + 1000)).0
    {
        waiting += 1;
    }
    assert_eq!(waiting, 5, "the wait may last 300 ms and each request takes 50 ms");
}

#[test]
fn urgent_requests_run_first() {
    let mut controller = controller(1, 8);
    let first = admitted(&mut controller, 0, routine("a"));
    let slow = queued(&mut controller, 0, routine("a"));
    let urgent = queued(&mut controller, 1, request("b", Priority::Urgent, 100_000));
    assert_eq!(controller.release(at(10), first, Feedback::Done), [Action::Run(urgent)]);
    assert_eq!(controller.release(at(20), urgent, Feedback::Done), [Action::Run(slow)]);
}

#[test]
fn a_full_queue_evicts_routine_requests_of_the_greediest_caller() {
    let mut controller = controller(1, 3);
    admitted(&mut controller, 0, routine("a"));
    queued(&mut controller, 0, routine("greedy"));
    queued(&mut controller, 0, routine("modest"));
    let newest = queued(&mut controller, 0, routine("greedy"));
    let (decision, actions) = submit(&mut controller, 0, request("b", Priority::Urgent, 100_000));
    assert!(matches!(decision, Decision::Queued(_)));
    assert!(matches!(actions[..], [Action::Reject(id, _)] if id == newest), "{actions:?}");
    let (decision, actions) = submit(&mut controller, 0, routine("greedy"));
    assert!(matches!(decision, Decision::Rejected(_)));
    assert!(actions.is_empty());
    assert_eq!(controller.waiting(), 3);
}

/// One caller sends ten times as many requests as the other; both are served
/// equally.
#[test]
fn callers_are_served_equally_regardless_of_their_load() {
    let mut controller = controller(1, 200);
    let mut running = admitted(&mut controller, 0, routine("a"));
    let mut callers = BTreeMap::new();
    for turn in 0..110 {
        let caller = if turn % 11 == 0 { "modest" } else { "greedy" };
        callers.insert(queued(&mut controller, 0, routine(caller)), caller);
    }
    let mut served = BTreeMap::new();
    for turn in 1..=20 {
        let actions = controller.release(at(turn), running, Feedback::Done);
        let [Action::Run(id)] = actions[..] else { panic!("{actions:?}") };
        *served.entry(callers[&id]).or_insert(0) += 1;
        running = id;
    }
    assert_eq!(served, BTreeMap::from([("greedy", 10), ("modest", 10)]));
}

#[test]
fn fairness_is_measured_by_cost() {
    let mut controller = controller(1, 200);
    let mut running = admitted(&mut controller, 0, routine("a"));
    let mut costs = BTreeMap::new();
    for _ in 0..100 {
        let small = Request { cost: 1, ..routine("small") };
        costs.insert(queued(&mut controller, 0, small), ("small", 1));
    }
    for _ in 0..50 {
        costs.insert(queued(&mut controller, 0, routine("large")), ("large", SHARDS));
    }
    let mut served = BTreeMap::new();
    let mut waiting = Vec::new();
    for turn in 1..=60 {
        waiting.extend(controller.release(at(turn), running, Feedback::Done));
        let Action::Run(id) = waiting.remove(0) else { panic!("rejected") };
        let (caller, cost) = costs[&id];
        *served.entry(caller).or_insert(0) += cost;
        running = id;
    }
    let (small, large) = (served["small"], served["large"]);
    assert!(small.abs_diff(large) <= 2 * SHARDS, "{small} against {large} shards");
}

#[test]
fn the_limit_falls_on_overload_and_recovers() {
    let admit = Admission { learn: true, ..fixed(64, 64) };
    let mut controller = Controller::new(Settings::new(admit, SHARDS));
    warm_up(&mut controller, 10);
    let start = controller.limit();
    for turn in 0..200 {
        let now = 10_000 + turn * 10;
        let id = admitted(&mut controller, now, routine("a"));
        controller.release(at(now + 10), id, Feedback::Overloaded);
    }
    let low = controller.limit();
    assert!((1.0..2.0).contains(&low), "{start} fell to {low}");
    for turn in 0..200 {
        let now = 20_000 + turn * 20;
        let mut running = Vec::new();
        while let (Decision::Admitted(id), _) = submit(&mut controller, now, routine("a")) {
            running.push(id);
        }
        // The last submitted request was queued; it starts when the first one ends.
        for id in running {
            for action in controller.release(at(now + 10), id, Feedback::Done) {
                let Action::Run(next) = action else { panic!("{action:?}") };
                controller.cancel(at(now + 10), next);
            }
        }
    }
    assert!(controller.limit() > 10.0, "{low} rose to {}", controller.limit());
    assert!(controller.limit() <= 64.0);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        cases: 1000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// In any order of events, each request gets exactly one decision, the queue is
    /// bounded, and no request waits while the controller is idle.
    #[test]
    fn each_request_gets_one_decision(
        learn: bool,
        steps in proptest::collection::vec((0u8..6, 0u64..20, 0usize..8), 1..200),
    ) {
        let admit = Admission { learn, ..fixed(3, 4) };
        let mut controller = Controller::new(Settings::new(admit, SHARDS));
        let mut now = 0;
        let mut running: Vec<Id> = Vec::new();
        let mut waiting: BTreeSet<Id> = BTreeSet::new();
        for (step, pass, pick) in steps {
            now += pass;
            let mut actions = Vec::new();
            match step {
                0..3 => {
                    let priority = if step == 0 { Priority::Urgent } else { Priority::Routine };
                    let caller = ["a", "b", "c"][pick % 3];
                    let request = Request { cost: 1 + pick as u32, ..request(caller, priority, now + 10 * pass) };
                    match controller.admit(at(now), request, &mut actions) {
                        Decision::Admitted(id) => running.push(id),
                        Decision::Queued(id) => assert!(waiting.insert(id)),
                        Decision::Rejected(rejection) => assert!(rejection.retry_after > Duration::ZERO),
                    }
                }
                3 | 4 if !running.is_empty() => {
                    let id = running.remove(pick % running.len());
                    let feedback = if step == 3 { Feedback::Done } else { Feedback::Overloaded };
                    actions = controller.release(at(now), id, feedback);
                }
                5 => {
                    if let Some(id) = waiting.pop_first() {
                        actions = controller.cancel(at(now), id);
                    }
                }
                _ => actions = controller.expire(at(now)),
            }
            for action in actions {
                match action {
                    Action::Run(id) => {
                        assert!(waiting.remove(&id), "{id} was not waiting");
                        running.push(id);
                    }
                    Action::Reject(id, _) => assert!(waiting.remove(&id), "{id} was not waiting"),
                }
            }
            assert_eq!(controller.running(), running.len());
            assert_eq!(controller.waiting(), waiting.len());
            assert!(waiting.len() <= 4);
            assert!(!running.is_empty() || waiting.is_empty(), "no request waits while the controller is idle");
            assert!((1.0..=3.0).contains(&controller.limit()));
        }
    }
}
