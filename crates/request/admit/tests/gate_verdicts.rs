//! What runs, waits or is refused, and that each request hears of it once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use admit::ask::Action;
use admit::ask::Ask;
use admit::ask::Id;
use admit::ask::Outcome;
use admit::ask::Verdict;
use admit::gate::Gate;
use admit::settings::Settings;
use base::time::Time;
use conf::object::Admit;
use wire::caller::Cause;
use wire::caller::Priority;

const SHARDS: u32 = 10;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn fixed(running: u32, waiting: u32) -> Admit {
    Admit { most_running: running, most_waiting: waiting, learn: false, deadline_aware: true }
}

fn gate(running: u32, waiting: u32) -> Gate {
    Gate::new(Settings::new(fixed(running, waiting), SHARDS))
}

fn ask(caller: &str, priority: Priority, deadline: u64) -> Ask {
    Ask { caller: Arc::from(caller), priority, deadline: at(deadline), cost: SHARDS }
}

fn routine(caller: &str) -> Ask {
    ask(caller, Priority::Routine, 100_000)
}

fn offer(gate: &mut Gate, now: u64, ask: Ask) -> (Verdict, Vec<Action>) {
    let mut actions = Vec::new();
    let verdict = gate.offer(at(now), ask, &mut actions);
    (verdict, actions)
}

fn admitted(gate: &mut Gate, now: u64, ask: Ask) -> Id {
    match offer(gate, now, ask).0 {
        Verdict::Admitted(id) => id,
        other => panic!("{other:?}"),
    }
}

fn queued(gate: &mut Gate, now: u64, ask: Ask) -> Id {
    match offer(gate, now, ask).0 {
        Verdict::Queued(id) => id,
        other => panic!("{other:?}"),
    }
}

/// Makes the gate expect requests to take `ms` milliseconds.
fn teach(gate: &mut Gate, ms: u64) {
    for turn in 0..50 {
        let id = admitted(gate, turn * ms, routine("teacher"));
        gate.done(at((turn + 1) * ms), id, Outcome::Done);
    }
}

#[test]
fn a_request_waits_for_room_and_then_runs() {
    let mut gate = gate(1, 4);
    let first = admitted(&mut gate, 0, routine("a"));
    let second = queued(&mut gate, 0, routine("a"));
    assert_eq!(gate.done(at(10), first, Outcome::Done), [Action::Run(second)]);
    assert!(gate.done(at(20), second, Outcome::Done).is_empty());
}

#[test]
fn a_short_wait_is_no_overload_and_a_long_one_is() {
    let mut gate = gate(1, 4);
    teach(&mut gate, 50);
    let now = 10_000;
    let first = admitted(&mut gate, now, routine("a"));
    let second = queued(&mut gate, now, routine("a"));
    gate.done(at(now + 40), first, Outcome::Done);
    assert!(!gate.overloaded(at(now + 40)));
    let third = queued(&mut gate, now + 40, routine("a"));
    gate.done(at(now + 100), second, Outcome::Done);
    assert!(gate.overloaded(at(now + 100)));
    assert!(gate.overloaded(at(now + 200)), "pressure lasts a while");
    assert!(!gate.overloaded(at(now + 1000)));
    gate.done(at(now + 1000), third, Outcome::Overloaded);
    assert!(gate.overloaded(at(now + 1000)), "an upstream refused");
}

#[test]
fn a_refusal_is_overload() {
    let mut gate = gate(1, 0);
    admitted(&mut gate, 0, routine("a"));
    assert!(matches!(offer(&mut gate, 1, routine("a")).0, Verdict::Refused(_)));
    assert!(gate.overloaded(at(1)));
}

/// The limit stays within its bounds around the node's part of the slots.
#[test]
fn the_limit_keeps_the_slots_busy_and_no_more() {
    let admit = Admit { learn: true, ..fixed(256, 64) };
    let mut gate = Gate::new(Settings::new(admit, SHARDS).with_part(2.0));
    for turn in 0..500 {
        let now = turn * 10;
        let id = admitted(&mut gate, now, routine("a"));
        gate.done(at(now + 10), id, Outcome::Overloaded);
        assert!((2.0..=12.0).contains(&gate.limit()), "{}", gate.limit());
    }
    assert!(gate.limit() < 2.1);
    gate.set_part(Some(4.0));
    assert_eq!(gate.limit(), 4.0, "the part grew");
    gate.update(&fixed(3, 64), SHARDS);
    assert_eq!(gate.limit(), 3.0, "the policy sets the limit if nothing is learned");
}

#[test]
fn what_cannot_end_in_time_is_refused_at_once() {
    let mut gate = gate(1, 4);
    teach(&mut gate, 50);
    let now = 10_000;
    let (verdict, _) = offer(&mut gate, now, ask("a", Priority::Urgent, now + 30));
    let Verdict::Refused(refusal) = verdict else { panic!("{verdict:?}") };
    assert_eq!(refusal.cause, Cause::Deadline);
    assert!(!refusal.retry_after.is_zero());
    admitted(&mut gate, now, ask("a", Priority::Urgent, now + 60));
}

#[test]
fn what_cannot_end_in_time_any_more_is_refused_on_its_turn() {
    let mut gate = gate(1, 4);
    teach(&mut gate, 10);
    let now = 10_000;
    let first = admitted(&mut gate, now, routine("a"));
    let second = queued(&mut gate, now, ask("a", Priority::Routine, now + 200));
    let actions = gate.done(at(now + 195), first, Outcome::Done);
    assert!(matches!(actions[..], [Action::Refuse(id, _)] if id == second), "{actions:?}");
}

#[test]
fn a_refusal_never_comes_close_to_the_deadline() {
    let mut gate = gate(1, 4);
    admitted(&mut gate, 0, routine("a"));
    let second = queued(&mut gate, 0, ask("a", Priority::Routine, 1000));
    let timer = gate.next_timer();
    assert!(timer <= at(300), "told at {timer} with the deadline at 1000 ms");
    assert!(gate.timer(at(100)).is_empty());
    let actions = gate.timer(timer);
    assert!(matches!(actions[..], [Action::Refuse(id, _)] if id == second), "{actions:?}");
    assert_eq!(gate.next_timer(), Time::NEVER);
}

#[test]
fn a_queue_that_takes_too_long_is_not_joined() {
    let mut gate = gate(1, 100);
    teach(&mut gate, 50);
    let now = 10_000;
    admitted(&mut gate, now, routine("a"));
    let mut waiting = 0;
    while let Verdict::Queued(_) = offer(&mut gate, now, ask("a", Priority::Routine, now + 1000)).0
    {
        waiting += 1;
    }
    assert_eq!(waiting, 5, "300 ms may be waited, 50 ms for each");
}

#[test]
fn urgent_requests_go_first() {
    let mut gate = gate(1, 8);
    let first = admitted(&mut gate, 0, routine("a"));
    let slow = queued(&mut gate, 0, routine("a"));
    let urgent = queued(&mut gate, 1, ask("b", Priority::Urgent, 100_000));
    assert_eq!(gate.done(at(10), first, Outcome::Done), [Action::Run(urgent)]);
    assert_eq!(gate.done(at(20), urgent, Outcome::Done), [Action::Run(slow)]);
}

#[test]
fn a_full_queue_gives_up_routine_requests_of_the_greediest_caller() {
    let mut gate = gate(1, 3);
    admitted(&mut gate, 0, routine("a"));
    queued(&mut gate, 0, routine("greedy"));
    queued(&mut gate, 0, routine("modest"));
    let newest = queued(&mut gate, 0, routine("greedy"));
    let (verdict, actions) = offer(&mut gate, 0, ask("b", Priority::Urgent, 100_000));
    assert!(matches!(verdict, Verdict::Queued(_)));
    assert!(matches!(actions[..], [Action::Refuse(id, _)] if id == newest), "{actions:?}");
    let (verdict, actions) = offer(&mut gate, 0, routine("greedy"));
    assert!(matches!(verdict, Verdict::Refused(_)));
    assert!(actions.is_empty());
    assert_eq!(gate.waiting(), 3);
}

/// One caller asks ten times as much as the other; both get the same.
#[test]
fn callers_share_evenly_whatever_they_ask() {
    let mut gate = gate(1, 200);
    let mut running = admitted(&mut gate, 0, routine("a"));
    let mut callers = BTreeMap::new();
    for turn in 0..110 {
        let caller = if turn % 11 == 0 { "modest" } else { "greedy" };
        callers.insert(queued(&mut gate, 0, routine(caller)), caller);
    }
    let mut served = BTreeMap::new();
    for turn in 1..=20 {
        let actions = gate.done(at(turn), running, Outcome::Done);
        let [Action::Run(id)] = actions[..] else { panic!("{actions:?}") };
        *served.entry(callers[&id]).or_insert(0) += 1;
        running = id;
    }
    assert_eq!(served, BTreeMap::from([("greedy", 10), ("modest", 10)]));
}

#[test]
fn fairness_goes_by_cost() {
    let mut gate = gate(1, 200);
    let mut running = admitted(&mut gate, 0, routine("a"));
    let mut costs = BTreeMap::new();
    for _ in 0..100 {
        let small = Ask { cost: 1, ..routine("small") };
        costs.insert(queued(&mut gate, 0, small), ("small", 1));
    }
    for _ in 0..50 {
        costs.insert(queued(&mut gate, 0, routine("large")), ("large", SHARDS));
    }
    let mut served = BTreeMap::new();
    let mut waiting = Vec::new();
    for turn in 1..=60 {
        waiting.extend(gate.done(at(turn), running, Outcome::Done));
        let Action::Run(id) = waiting.remove(0) else { panic!("refused") };
        let (caller, cost) = costs[&id];
        *served.entry(caller).or_insert(0) += cost;
        running = id;
    }
    let (small, large) = (served["small"], served["large"]);
    assert!(small.abs_diff(large) <= 2 * SHARDS, "{small} against {large} shards");
}

#[test]
fn the_limit_falls_on_refusals_and_recovers() {
    let admit = Admit { learn: true, ..fixed(64, 64) };
    let mut gate = Gate::new(Settings::new(admit, SHARDS));
    teach(&mut gate, 10);
    let start = gate.limit();
    for turn in 0..200 {
        let now = 10_000 + turn * 10;
        let id = admitted(&mut gate, now, routine("a"));
        gate.done(at(now + 10), id, Outcome::Overloaded);
    }
    let low = gate.limit();
    assert!((1.0..2.0).contains(&low), "{start} fell to {low}");
    for turn in 0..200 {
        let now = 20_000 + turn * 20;
        let mut running = Vec::new();
        while let (Verdict::Admitted(id), _) = offer(&mut gate, now, routine("a")) {
            running.push(id);
        }
        // The last one offered waits for the first to end.
        for id in running {
            for action in gate.done(at(now + 10), id, Outcome::Done) {
                let Action::Run(next) = action else { panic!("{action:?}") };
                gate.cancel(at(now + 10), next);
            }
        }
    }
    assert!(gate.limit() > 10.0, "{low} rose to {}", gate.limit());
    assert!(gate.limit() <= 64.0);
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

    /// In any order of events each request is told once what becomes of it, the
    /// queue is bounded, and nothing is left waiting in an idle gate.
    #[test]
    fn each_request_is_told_once(
        learn: bool,
        steps in proptest::collection::vec((0u8..6, 0u64..20, 0usize..8), 1..200),
    ) {
        let admit = Admit { learn, ..fixed(3, 4) };
        let mut gate = Gate::new(Settings::new(admit, SHARDS));
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
                    let ask = Ask { cost: 1 + pick as u32, ..ask(caller, priority, now + 10 * pass) };
                    match gate.offer(at(now), ask, &mut actions) {
                        Verdict::Admitted(id) => running.push(id),
                        Verdict::Queued(id) => assert!(waiting.insert(id)),
                        Verdict::Refused(refusal) => assert!(refusal.retry_after > Duration::ZERO),
                    }
                }
                3 | 4 if !running.is_empty() => {
                    let id = running.remove(pick % running.len());
                    let outcome = if step == 3 { Outcome::Done } else { Outcome::Overloaded };
                    actions = gate.done(at(now), id, outcome);
                }
                5 => {
                    if let Some(id) = waiting.pop_first() {
                        actions = gate.cancel(at(now), id);
                    }
                }
                _ => actions = gate.timer(at(now)),
            }
            for action in actions {
                match action {
                    Action::Run(id) => {
                        assert!(waiting.remove(&id), "{id} was not waiting");
                        running.push(id);
                    }
                    Action::Refuse(id, _) => assert!(waiting.remove(&id), "{id} was not waiting"),
                }
            }
            assert_eq!(gate.running(), running.len());
            assert_eq!(gate.waiting(), waiting.len());
            assert!(waiting.len() <= 4);
            assert!(!running.is_empty() || waiting.is_empty(), "an idle gate lets nobody wait");
            assert!((1.0..=3.0).contains(&gate.limit()));
        }
    }
}
