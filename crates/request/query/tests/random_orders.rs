//! Checks each guarantee with events in random order, including invalid orders.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use query::budget::SharedBudget;
use query::context::Chooser;
use query::context::Context;
use query::event::Action;
use query::event::Completion;
use query::event::Event;
use query::event::Reply;
use query::machine::Machine;
use query::plan::Candidate;
use query::plan::Plan;
use query::record::Recorder;
use query::trace::Trace;
use query::verify;
use query::verify::Fault;
use wire::caller::Reason;
use wire::id;
use wire::id::Incarnation;
use wire::id::Snapshot;

const CASES: u32 = 2000;
const DEADLINE: Time = Time::from_millis(200);

/// A chooser with random answers.
struct RandomChooser(ChaCha8Rng);

impl Chooser for RandomChooser {
    fn choose(
        &mut self,
        _now: Time,
        _snapshot: &Snapshot,
        shard: Shard,
        _tried: &[Server],
    ) -> Result<Server, Reason> {
        match self.0.random_range(0..8) {
            0 => Err(Reason::NoReplica),
            1 => Err(Reason::Leaving),
            pick => Ok(Server::from_u32(shard.as_u32() * 3 + pick % 3)),
        }
    }

    fn is_held(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        self.0.clone().random_range(0..100) != snapshot.version + u64::from(shard.as_u32())
    }

    fn hedge_delay(&self, _server: Server) -> Duration {
        Duration::from_millis(5)
    }
}

/// The random parameters of an event: its kind, its attempt, its defect if any, and
/// the microseconds since the previous event.
#[derive(Clone, Debug)]
struct EventDraft {
    kind: u8,
    attempt: u32,
    defect: u8,
    elapsed: u64,
}

#[derive(Clone, Debug)]
struct Setup {
    non_idempotent: bool,
    tail: bool,
    seed: u64,
    drafts: Vec<EventDraft>,
}

fn setups(non_idempotent: Option<bool>) -> impl Strategy<Value = Setup> {
    let draft = (0_u8..16, 0_u32..8, 0_u8..12, select(&[0_u64, 50, 900, 6000, 40_000][..]));
    let draft = draft.prop_map(|(kind, attempt, defect, elapsed)| EventDraft {
        kind,
        attempt,
        defect,
        elapsed,
    });
    (any::<bool>(), any::<bool>(), any::<u64>(), vec(draft, 1..60)).prop_map(
        move |(drawn, tail, seed, drafts)| {
            let non_idempotent = non_idempotent.unwrap_or(drawn && tail);
            Setup { non_idempotent, tail: tail && !non_idempotent, seed, drafts }
        },
    )
}

fn candidate(map: &str, version: u64, shards: u32) -> Candidate {
    let snapshot = Snapshot { version, map: map.into() };
    Candidate { snapshot, shards: (0..shards).map(Shard::from_u32).collect() }
}

fn plan(setup: &Setup) -> Plan {
    let candidates = if setup.non_idempotent {
        vec![candidate("a", 2, 1), candidate("a", 3, 1), candidate("a", 1, 1)]
    } else {
        vec![candidate("a", 2, 3), candidate("b", 3, 4), candidate("a", 1, 3)]
    };
    let mut plan = Plan::new(Incarnation(7), 9, candidates, DEADLINE).with_min_version(2);
    plan.named_shards = setup.seed.is_multiple_of(4);
    match (setup.non_idempotent, setup.tail) {
        (true, _) => plan.with_non_idempotent(),
        (_, true) => plan.with_soft_deadline(Time::from_millis(60)),
        _ => plan,
    }
}

/// Selects an attempt, counting from the newest, since older ones have often ended.
fn pick_attempt(draft: &EventDraft, sends: &[(Shard, Snapshot)]) -> u32 {
    (sends.len() as u32).saturating_sub(1 + draft.attempt)
}

fn reply(draft: &EventDraft, number: u32, sends: &[(Shard, Snapshot)]) -> Reply {
    let (shard, snapshot) = sends[number as usize].clone();
    let other = &sends[(number as usize + 1) % sends.len()];
    let id = id::Attempt { node: Incarnation(7), request: 9, attempt: number };
    let mut reply = Reply {
        attempt_id: Some(id),
        snapshot: Some(snapshot.clone()),
        shard: Some(shard),
        complete: true,
        body: serde_json::Value::Null,
    };
    match draft.defect {
        0 => reply.attempt_id = None,
        1 => reply.attempt_id = Some(id::Attempt { attempt: number + 1, ..id }),
        2 => reply.attempt_id = Some(id::Attempt { request: 8, ..id }),
        3 => reply.snapshot = Some(Snapshot { version: snapshot.version + 1, ..snapshot }),
        4 => reply.snapshot = Some(Snapshot { map: "c".into(), ..snapshot }),
        5 => reply.shard = Some(Shard::from_u32(shard.as_u32() + 1)),
        6 => reply.complete = false,
        7 => reply.snapshot = Some(other.1.clone()),
        _ => {}
    }
    reply
}

fn event(draft: &EventDraft, sends: &[(Shard, Snapshot)]) -> Event {
    let number = pick_attempt(draft, sends);
    let attempt = Attempt::from_u32(number);
    match draft.kind {
        0..5 => Event::Sent { attempt },
        5..9 if !sends.is_empty() => Event::Replied { attempt, reply: reply(draft, number, sends) },
        9 => Event::Ended { attempt, completion: Completion::Unknown },
        10 => Event::Ended { attempt, completion: Completion::NotSent(Reason::Unreachable) },
        11 | 12 => {
            let retry_after = (draft.defect > 6).then_some(Duration::from_millis(3));
            Event::Ended { attempt, completion: Completion::Refused { retry_after, state: None } }
        }
        13 if draft.defect == 0 => Event::CallerGone,
        _ => Event::Timer,
    }
}

fn run(setup: &Setup) -> Trace {
    let plan = plan(setup);
    let mut machine = Machine::new(plan.clone());
    let recorder = Recorder::new();
    let mut random_chooser = RandomChooser(ChaCha8Rng::seed_from_u64(setup.seed));
    let mut shared = SharedBudget::new(5.0, 10.0);
    let mut chooser = recorder.wrap_chooser(&mut random_chooser);
    let mut budget = recorder.wrap_budget(&mut shared);
    let mut context = Context::new(&mut chooser, &mut budget);
    let mut sends = Vec::new();
    let mut now = Time::ZERO;
    let mut handle = |now, event: Event, sends: &mut Vec<(Shard, Snapshot)>| {
        recorder.record_event(now, &event);
        machine.handle(now, event, &mut context);
        recorder.record_actions(now, &context.actions);
        for action in context.actions.drain(..) {
            match action {
                Action::Send { shard, snapshot, .. } => sends.push((shard, snapshot)),
                Action::Cancel { attempt } => {
                    assert!(!machine.may_send(attempt), "{attempt} may be sent after its cancel");
                }
                _ => {}
            }
        }
    };
    handle(now, Event::Start, &mut sends);
    for draft in &setup.drafts {
        now = now + Duration::from_micros(draft.elapsed);
        handle(now, event(draft, &sends), &mut sends);
    }
    handle(now.max(DEADLINE), Event::Timer, &mut sends);
    recorder.trace(&plan)
}

/// Runs random orders of events; fails on any of `faults` or if the replay differs.
fn check_guarantees(non_idempotent: Option<bool>, faults: &[Fault]) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x51ab),
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&setups(non_idempotent), |setup| {
        let trace = run(&setup);
        let found: BTreeSet<Fault> =
            verify::check(&trace).into_iter().map(|violation| violation.fault).collect();
        let broken: Vec<&Fault> = faults.iter().filter(|fault| found.contains(fault)).collect();
        if !broken.is_empty() {
            return Err(TestCaseError::fail(format!("{broken:?}\n{trace}")));
        }
        if trace.replay() != trace {
            return Err(TestCaseError::fail(format!("the replay differs\n{trace}")));
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn one_snapshot() {
    check_guarantees(None, &[Fault::Snapshot, Fault::NotInPlan, Fault::Restart]);
}

#[test]
fn true_coverage() {
    check_guarantees(
        Some(false),
        &[Fault::Coverage, Fault::Merge, Fault::Reason, Fault::AfterFinish],
    );
}

#[test]
fn right_caller() {
    check_guarantees(None, &[Fault::Merge, Fault::ConnectionKept, Fault::Running, Fault::Action]);
}

#[test]
fn true_not_run() {
    check_guarantees(None, &[Fault::Outcome, Fault::Overdue, Fault::Sends]);
}

#[test]
fn at_most_once() {
    check_guarantees(Some(true), &[Fault::Repeat, Fault::Outcome]);
}
