//! The reported outcome of a write stays true under all faults of the platform.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Policy;
use conf::object::Spec;
use store::api::Error;
use store::api::Precondition;
use store::api::Versioned;
use store::write::Action;
use store::write::Outcome;
use store::write::Request;
use store::write::Write;

const SEED_COUNT: u64 = 60;
const DEADLINE: Time = Time::from_millis(3000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Unreachable,
    Throttled,
    LostBefore,
    LostAfter,
    LateEffect,
    StaleRead,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::Unreachable,
    Fault::Throttled,
    Fault::LostBefore,
    Fault::LostAfter,
    Fault::LateEffect,
    Fault::StaleRead,
];

type Put = (Precondition, Option<Spec>, Arc<str>);

/// A model of the platform with one object and the history of its states.
#[derive(Default)]
struct Platform {
    states: Vec<Versioned>,
    delayed: Vec<Put>,
    revision: u64,
}

fn key() -> Key {
    Key { kind: Kind::Policy, name: "p".into() }
}

impl Platform {
    fn put(&mut self, (expected, spec, operation): Put) -> Result<Versioned, Error> {
        let present = self.states.last();
        let holds = match expected {
            Precondition::Absent => present.is_none(),
            Precondition::Revision(revision) => {
                present.is_some_and(|s| s.object.revision == revision)
            }
        };
        if !holds {
            return Err(Error::Conflict(present.cloned().map(Box::new)));
        }
        self.revision += 1;
        let object = Object { key: key(), revision: self.revision, spec };
        let stored = Versioned { object, operation, after: Some(expected.revision()) };
        self.states.push(stored.clone());
        Ok(stored)
    }

    fn put_with(&mut self, put: Put, fault: Fault) -> Result<Versioned, Error> {
        let lost = || Err(Error::NoAnswer("test".to_owned()));
        match fault {
            Fault::None | Fault::StaleRead => self.put(put),
            Fault::Unreachable => Err(Error::NotSent("test".to_owned())),
            Fault::Throttled => Err(Error::Throttled),
            Fault::LostBefore => lost(),
            Fault::LostAfter => self.put(put).and_then(|_| lost()),
            Fault::LateEffect => {
                self.delayed.push(put);
                lost()
            }
        }
    }

    fn get_with(&self, fault: Fault, rng: &mut ChaCha8Rng) -> Result<Option<Versioned>, Error> {
        match fault {
            Fault::Unreachable => Err(Error::NotSent("test".to_owned())),
            Fault::Throttled => Err(Error::Throttled),
            Fault::LostBefore | Fault::LostAfter => Err(Error::NoAnswer("test".to_owned())),
            Fault::StaleRead => Ok(self.states.choose(rng).cloned()),
            Fault::None | Fault::LateEffect => Ok(self.states.last().cloned()),
        }
    }

    fn deliver_delayed(&mut self, rng: &mut ChaCha8Rng) {
        if !self.delayed.is_empty() {
            let index = rng.random_range(0..self.delayed.len());
            let put = self.delayed.swap_remove(index);
            let _accepted_or_refused = self.put(put);
        }
    }

    fn revisions_written(&self, operation: &str) -> Vec<u64> {
        let written = self.states.iter().filter(|state| &*state.operation == operation);
        written.map(|state| state.object.revision).collect()
    }
}

struct Operator {
    request: Request,
    write: Write,
    action: Action,
    may_have_taken_effect: bool,
}

fn operator(name: &str, expected: Precondition, spec: Option<Spec>, seed: u64) -> Operator {
    let request = Request { key: key(), expected, spec, operation: name.into() };
    let write = Write::new(request.clone(), DEADLINE, seed);
    Operator { action: write.start(), request, write, may_have_taken_effect: false }
}

impl Operator {
    fn step(&mut self, platform: &mut Platform, fault: Fault, now: Time, rng: &mut ChaCha8Rng) {
        self.action = match self.action.clone() {
            Action::Put(expected) => {
                let put = (expected, self.request.spec.clone(), self.request.operation.clone());
                let answer = platform.put_with(put, fault);
                self.may_have_taken_effect |= matches!(answer, Err(Error::NoAnswer(_)));
                self.write.on_put_result(answer, now)
            }
            Action::Get => self.write.on_get_result(platform.get_with(fault, rng), now),
            Action::Wait(until) if now >= until => self.write.wake(now),
            waiting => waiting,
        };
    }
}

/// Two operators write from the same state; a third one also writes at random.
fn race(faults: &[Fault], create: bool, seed: u64) -> (Platform, Vec<Operator>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut platform = Platform::default();
    let spec = || Some(Spec::Policy(Policy::default()));
    let mut expected = Precondition::Absent;
    if !create {
        let first = platform.put((expected, spec(), "first".into()));
        expected = Precondition::Revision(first.expect("it is absent").object.revision);
    }
    let deleting = if create { spec() } else { None };
    let mut operators =
        vec![operator("a", expected, spec(), seed), operator("b", expected, deleting, seed + 1)];
    let mut now = Time::ZERO;
    while operators.iter().any(|operator| !matches!(operator.action, Action::Done(_))) {
        now = now + Duration::from_millis(rng.random_range(1..60));
        let fault = *faults.choose(&mut rng).expect("not empty");
        let chosen = rng.random_range(0..operators.len());
        operators[chosen].step(&mut platform, fault, now, &mut rng);
        if rng.random_bool(0.15) {
            platform.deliver_delayed(&mut rng);
        }
        if rng.random_bool(0.1) && platform.revision > 0 {
            let expected = Precondition::Revision(platform.revision);
            let written = if rng.random_bool(0.5) { spec() } else { None };
            let _always_accepted = platform.put((expected, written, "other".into()));
        }
    }
    while !platform.delayed.is_empty() {
        platform.deliver_delayed(&mut rng);
    }
    (platform, operators)
}

fn check(platform: &Platform, operator: &Operator, case: &str) {
    let Action::Done(outcome) = &operator.action else { panic!("{case}: not done") };
    let revisions_written = platform.revisions_written(&operator.request.operation);
    assert!(revisions_written.len() <= 1, "{case}: took effect at {revisions_written:?}");
    match outcome {
        Outcome::Accepted(revision) => assert_eq!(revisions_written, [*revision], "{case}"),
        Outcome::Conflict(_) | Outcome::NotWritten(_) => {
            assert!(
                revisions_written.is_empty(),
                "{case}: reported {outcome}, took effect at {revisions_written:?}"
            );
        }
        Outcome::Unknown(_) => {
            assert!(operator.may_have_taken_effect, "{case}: unknown without a lost answer")
        }
    }
}

#[test]
fn outcomes_stay_true_under_pairs_of_faults() {
    for first in FAULTS {
        for second in FAULTS {
            for seed in 0..SEED_COUNT {
                let faults = [Fault::None, first, second];
                let (platform, operators) = race(&faults, seed % 2 == 0, seed);
                for operator in &operators {
                    let name = &operator.request.operation;
                    check(&platform, operator, &format!("{first:?}+{second:?} seed {seed} {name}"));
                }
            }
        }
    }
}

#[test]
fn without_faults_exactly_one_racer_wins() {
    for seed in 0..SEED_COUNT {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut platform = Platform::default();
        let spec = Some(Spec::Policy(Policy::default()));
        let mut racers = [
            operator("a", Precondition::Absent, spec.clone(), seed),
            operator("b", Precondition::Absent, spec.clone(), seed),
        ];
        let first = rng.random_range(0..2);
        for chosen in [first, 1 - first] {
            racers[chosen].step(&mut platform, Fault::None, Time::ZERO, &mut rng);
        }
        assert_eq!(racers[first].action, Action::Done(Outcome::Accepted(1)));
        let Action::Done(Outcome::Conflict(Some(winner))) = &racers[1 - first].action else {
            panic!("seed {seed}: {:?}", racers[1 - first].action)
        };
        assert_eq!(winner.operation, racers[first].request.operation);
    }
}

#[test]
fn lost_answer_is_read_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut platform = Platform::default();
    let mut racer = operator("a", Precondition::Absent, Some(Spec::Policy(Policy::default())), 0);
    racer.step(&mut platform, Fault::LostAfter, Time::ZERO, &mut rng);
    for ms in 1..200 {
        racer.step(&mut platform, Fault::None, Time::from_millis(ms), &mut rng);
    }
    assert_eq!(racer.action, Action::Done(Outcome::Accepted(1)));
}

#[test]
fn creation_replaces_a_tombstone() {
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut platform = Platform::default();
    let spec = Some(Spec::Policy(Policy::default()));
    platform.put((Precondition::Absent, spec.clone(), "old".into())).expect("absent");
    platform.put((Precondition::Revision(1), None, "gone".into())).expect("present");
    let mut racer = operator("a", Precondition::Absent, spec, 0);
    for ms in 0..200 {
        racer.step(&mut platform, Fault::None, Time::from_millis(ms), &mut rng);
    }
    assert_eq!(racer.action, Action::Done(Outcome::Accepted(3)));
}
