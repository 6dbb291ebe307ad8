//! A simulated fleet of upstream servers and a driver that runs on virtual time.
//!
//! Invariant: a run is determined by its setup. The driver keeps delivering events
//! of cancelled attempts, which is the worst case that the machine must handle.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

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
use query::event::Response;
use query::machine::Machine;
use query::plan::Candidate;
use query::plan::Plan;
use query::record::Recorder;
use query::trace::Trace;
use wire::caller::Reason;
use wire::id;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream::State;

/// Number of shards in the first map.
pub const SHARDS: u32 = 3;
const REPLICAS: u32 = 3;
const DEADLINE: Time = Time::from_millis(200);
const SOFT_DEADLINE: Time = Time::from_millis(60);
const HEDGE_DELAY: Duration = Duration::from_millis(8);

/// The kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Straggler,
    LostReplica,
    Refused,
    Shed,
    CutBody,
    SilentConnection,
    SwappedReply,
    LateReply,
    ColdStart,
    Drain,
    VersionRoll,
    Repartition,
    Cancel,
    Deadline,
    LostAnswer,
}

impl Fault {
    pub const ALL: [Self; 15] = [
        Self::Straggler,
        Self::LostReplica,
        Self::Refused,
        Self::Shed,
        Self::CutBody,
        Self::SilentConnection,
        Self::SwappedReply,
        Self::LateReply,
        Self::ColdStart,
        Self::Drain,
        Self::VersionRoll,
        Self::Repartition,
        Self::Cancel,
        Self::Deadline,
        Self::LostAnswer,
    ];
}

/// The step of a shard's first attempt at which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    BeforeSend,
    Queued,
    Connecting,
    Sent,
    PartialReply,
    Replied,
    Finished,
}

impl Step {
    pub const ALL: [Self; 7] = [
        Self::BeforeSend,
        Self::Queued,
        Self::Connecting,
        Self::Sent,
        Self::PartialReply,
        Self::Replied,
        Self::Finished,
    ];
}

/// A fault that is injected at one step of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Injection {
    pub fault: Fault,
    pub step: Step,
    pub shard: u32,
}

/// The kind of query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Coverage,
    Tail,
    NonIdempotent,
}

impl Mode {
    pub const ALL: [Self; 3] = [Self::Coverage, Self::Tail, Self::NonIdempotent];
}

/// The result of a run.
pub struct Run {
    pub trace: Trace,
    pub response: Option<Response>,
    /// Attempts that an upstream ran or may have run.
    pub ran: BTreeSet<u32>,
    /// Attempts that were sent after they had been cancelled.
    pub sent_after_cancel: BTreeSet<u32>,
}

#[derive(Clone, Copy, Default)]
struct Flags {
    slow: bool,
    refused: Option<(Option<Duration>, State)>,
    cut: bool,
    silent: bool,
    swapped: bool,
    late: bool,
    lost: bool,
}

#[derive(Clone, Default)]
struct FakeServer {
    dead: bool,
    leaving: bool,
    cold_until: Time,
    /// The index of the candidate that it holds.
    held: usize,
    /// The index of the candidate that it holds according to the chooser.
    advertised: usize,
    /// Faults of its next attempt.
    flags: Flags,
}

struct Fleet {
    candidates: Vec<Candidate>,
    servers: Vec<FakeServer>,
}

impl Fleet {
    fn replicas(shard: u32) -> std::ops::Range<usize> {
        let first = (shard % SHARDS * REPLICAS) as usize;
        first..first + REPLICAS as usize
    }

    fn index(&self, snapshot: &Snapshot) -> usize {
        let mut candidates = self.candidates.iter();
        candidates.position(|candidate| candidate.snapshot == *snapshot).expect("a known snapshot")
    }
}

impl Chooser for Fleet {
    fn choose(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason> {
        let candidate = self.index(snapshot);
        let ready =
            |server: &FakeServer| server.advertised == candidate && now >= server.cold_until;
        let replicas = Self::replicas(shard.as_u32());
        let servers = replicas.clone().filter(|&index| ready(&self.servers[index]));
        let available: Vec<usize> = servers.filter(|&index| !self.servers[index].leaving).collect();
        let untried = |index: &&usize| !tried.contains(&Server::from_u32(**index as u32));
        match available.iter().find(untried).or(available.first()) {
            Some(index) => Ok(Server::from_u32(*index as u32)),
            None if replicas.clone().all(|index| self.servers[index].leaving) => {
                Err(Reason::Leaving)
            }
            None => Err(Reason::NoReplica),
        }
    }

    fn is_held(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let candidate = self.index(snapshot);
        let holds = |index: usize| {
            self.servers[index].advertised == candidate && !self.servers[index].leaving
        };
        Self::replicas(shard.as_u32()).any(holds)
    }

    fn hedge_delay(&self, _server: Server) -> Duration {
        HEDGE_DELAY
    }
}

struct InFlight {
    server: usize,
    shard: u32,
    flags: Flags,
}

#[derive(Clone)]
enum Scheduled {
    Advance(u32, Step),
    Deliver(Event),
    Wake(u64),
    UpdateChooser(usize),
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Time,
    fleet: Fleet,
    budget: SharedBudget,
    machine: Machine,
    recorder: Recorder,
    in_flight: Vec<InFlight>,
    injections: Vec<Injection>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: Vec<Scheduled>,
    wakes: u64,
    ran: BTreeSet<u32>,
    cancelled: BTreeSet<u32>,
    sent_after_cancel: BTreeSet<u32>,
    response: Option<Response>,
}

fn candidate(map: &str, version: u64, shards: std::ops::Range<u32>) -> Candidate {
    let snapshot = Snapshot { version, map: map.into() };
    Candidate { snapshot, shards: shards.map(Shard::from_u32).collect() }
}

fn plan(mode: Mode, seed: u64) -> Plan {
    let shards = if mode == Mode::NonIdempotent { 1..2 } else { 0..SHARDS };
    let newer = candidate("old", 3, shards.clone());
    let mut candidates = vec![candidate("old", 2, shards), newer];
    if mode != Mode::NonIdempotent {
        candidates.push(candidate("new", 3, 0..SHARDS + 1));
    }
    let plan = Plan::new(Incarnation(1), seed, candidates, DEADLINE);
    match mode {
        Mode::Coverage => plan,
        Mode::Tail => plan.with_soft_deadline(SOFT_DEADLINE),
        Mode::NonIdempotent => plan.with_non_idempotent(),
    }
}

/// Runs one query with the faults of `injections`.
pub fn run(mode: Mode, injections: &[Injection], seed: u64) -> Run {
    let plan = plan(mode, seed);
    let servers = vec![FakeServer::default(); (SHARDS * REPLICAS) as usize];
    let mut simulation = Simulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Time::ZERO,
        fleet: Fleet { candidates: plan.candidates.clone(), servers },
        budget: SharedBudget::new(5.0, 10.0),
        machine: Machine::new(plan.clone()),
        recorder: Recorder::new(),
        in_flight: Vec::new(),
        injections: injections.to_vec(),
        queue: BinaryHeap::new(),
        scheduled: Vec::new(),
        wakes: 0,
        ran: BTreeSet::new(),
        cancelled: BTreeSet::new(),
        sent_after_cancel: BTreeSet::new(),
        response: None,
    };
    simulation.run();
    Run {
        trace: simulation.recorder.trace(&plan),
        response: simulation.response,
        ran: simulation.ran,
        sent_after_cancel: simulation.sent_after_cancel,
    }
}

impl Simulation {
    fn run(&mut self) {
        self.inject(Step::BeforeSend, None);
        self.deliver(Event::Start);
        let mut finished = false;
        while let Some(Reverse((at, index))) = self.queue.pop() {
            self.now = self.now.max(at);
            match self.scheduled[index as usize].clone() {
                Scheduled::Advance(attempt, step) => self.advance(attempt, step),
                Scheduled::Deliver(event) => self.deliver(event),
                Scheduled::Wake(wake) if wake == self.wakes => self.deliver(Event::Timer),
                Scheduled::Wake(_) => {}
                Scheduled::UpdateChooser(index) => {
                    self.fleet.servers[index].advertised = self.fleet.servers[index].held;
                }
            }
            if self.response.is_some() && !finished {
                finished = true;
                self.inject(Step::Finished, None);
            }
        }
    }

    fn schedule(&mut self, micros: u64, item: Scheduled) {
        let jitter = self.rng.random_range(0..=micros / 4);
        let at = self.now + Duration::from_micros(micros + jitter);
        self.queue.push(Reverse((at, self.scheduled.len() as u64)));
        self.scheduled.push(item);
    }

    fn deliver(&mut self, event: Event) {
        self.recorder.record_event(self.now, &event);
        let mut chooser = self.recorder.wrap_chooser(&mut self.fleet);
        let mut budget = self.recorder.wrap_budget(&mut self.budget);
        let mut context = Context::new(&mut chooser, &mut budget);
        self.machine.handle(self.now, event, &mut context);
        let actions = std::mem::take(&mut context.actions);
        self.recorder.record_actions(self.now, &actions);
        actions.into_iter().for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { attempt, server, shard, .. } => {
                let server = server.as_u32() as usize;
                let flags = std::mem::take(&mut self.fleet.servers[server].flags);
                self.in_flight.push(InFlight { server, shard: shard.as_u32(), flags });
                self.schedule(100, Scheduled::Advance(attempt.as_u32(), Step::Queued));
            }
            Action::Wake { at } => {
                self.wakes += 1;
                let at = at.max(self.now);
                self.queue.push(Reverse((at, self.scheduled.len() as u64)));
                self.scheduled.push(Scheduled::Wake(self.wakes));
            }
            Action::Finish(response) => self.response = Some(response),
            Action::Cancel { attempt } => {
                self.cancelled.insert(attempt.as_u32());
            }
            Action::CloseConnection { .. } => {}
        }
    }

    fn advance(&mut self, number: u32, step: Step) {
        let attempt = Attempt::from_u32(number);
        let shard = self.in_flight[number as usize].shard;
        if step == Step::Sent {
            if !self.machine.may_send(attempt) {
                return;
            }
            if self.cancelled.contains(&number) {
                self.sent_after_cancel.insert(number);
            }
            self.deliver(Event::Sent { attempt });
        }
        let before = self.reply(number);
        self.inject(step, Some((shard, number)));
        let attempt_in_flight = &self.in_flight[number as usize];
        let server = &self.fleet.servers[attempt_in_flight.server];
        let (flags, dead, leaving) = (attempt_in_flight.flags, server.dead, server.leaving);
        let end = |completion| Scheduled::Deliver(Event::Ended { attempt, completion });
        match step {
            Step::Queued if leaving => self.schedule(10, end(Completion::NotSent(Reason::Leaving))),
            Step::Queued => self.schedule(100, Scheduled::Advance(number, Step::Connecting)),
            Step::Connecting if dead => {
                self.schedule(10, end(Completion::NotSent(Reason::Unreachable)))
            }
            Step::Connecting => self.schedule(200, Scheduled::Advance(number, Step::Sent)),
            Step::Sent => match flags.refused {
                Some((retry_after, state)) => {
                    self.schedule(
                        300,
                        end(Completion::Refused { retry_after, state: Some(state) }),
                    );
                }
                None => {
                    self.ran.insert(number);
                    let span = if flags.slow { 40_000 } else { 1000 };
                    self.schedule(span, Scheduled::Advance(number, Step::PartialReply));
                }
            },
            Step::PartialReply | Step::Replied if flags.silent => {}
            Step::PartialReply if dead || flags.lost => self.schedule(10, end(Completion::Unknown)),
            Step::PartialReply => self.schedule(500, Scheduled::Advance(number, Step::Replied)),
            Step::Replied if flags.lost => self.schedule(10, end(Completion::Unknown)),
            Step::Replied => {
                let mut reply = before;
                reply.complete &= !flags.cut;
                if flags.swapped {
                    self.swap(number, &mut reply);
                }
                let event = Event::Replied { attempt, reply };
                if flags.late {
                    self.schedule(30_000, Scheduled::Deliver(event.clone()));
                }
                self.schedule(100, Scheduled::Deliver(event));
            }
            Step::BeforeSend | Step::Finished => {}
        }
    }

    fn id(&self, attempt: u32) -> id::Attempt {
        self.machine.id(Attempt::from_u32(attempt))
    }

    /// The reply that the attempt's server would send now.
    fn reply(&self, number: u32) -> Reply {
        let attempt_in_flight = &self.in_flight[number as usize];
        let snapshot =
            &self.fleet.candidates[self.fleet.servers[attempt_in_flight.server].held].snapshot;
        let body = format!("{number} {} {snapshot}", attempt_in_flight.shard);
        Reply {
            attempt_id: Some(self.id(number)),
            snapshot: Some(snapshot.clone()),
            shard: Some(Shard::from_u32(attempt_in_flight.shard)),
            complete: true,
            body: serde_json::Value::String(body),
        }
    }

    /// Replaces `reply` by the reply of another attempt, or of another request if
    /// there is only one attempt.
    fn swap(&self, number: u32, reply: &mut Reply) {
        let other = (number + 1) % self.in_flight.len() as u32;
        *reply = self.reply(other);
        if other == number {
            reply.attempt_id =
                reply.attempt_id.map(|sent| id::Attempt { request: sent.request + 1, ..sent });
        }
    }

    fn inject(&mut self, step: Step, at: Option<(u32, u32)>) {
        let mine = |injection: &Injection| {
            injection.step == step && at.is_none_or(|(shard, _)| shard == injection.shard)
        };
        let injections: Vec<Injection> = self.injections.iter().copied().filter(mine).collect();
        self.injections.retain(|injection| !mine(injection));
        for injection in injections {
            self.apply(injection, at.map(|(_, attempt)| attempt));
        }
    }

    fn apply(&mut self, injection: Injection, attempt: Option<u32>) {
        let replicas = Fleet::replicas(injection.shard);
        let server = attempt.map_or(replicas.start, |it| self.in_flight[it as usize].server);
        let now = self.now;
        let flags = match attempt {
            Some(attempt) => &mut self.in_flight[attempt as usize].flags,
            None => &mut self.fleet.servers[server].flags,
        };
        match injection.fault {
            Fault::Straggler => flags.slow = true,
            Fault::Refused => flags.refused = Some((None, State::Ready)),
            Fault::CutBody => flags.cut = true,
            Fault::SilentConnection => flags.silent = true,
            Fault::SwappedReply => flags.swapped = true,
            Fault::LostAnswer => flags.lost = true,
            Fault::LateReply => {
                flags.late = true;
                flags.slow = true;
            }
            Fault::Shed => {
                let shed = (Some(Duration::from_millis(5)), State::Ready);
                flags.refused = Some(shed);
                replicas.for_each(|index| self.fleet.servers[index].flags.refused = Some(shed));
            }
            Fault::ColdStart => {
                flags.refused = Some((None, State::Cold));
                let warm_at = now + Duration::from_millis(20);
                replicas.for_each(|index| self.fleet.servers[index].cold_until = warm_at);
            }
            Fault::Drain => self.fleet.servers[server].leaving = true,
            Fault::LostReplica => self.fleet.servers[server].dead = true,
            Fault::VersionRoll => self.roll_out(1),
            Fault::Repartition => self.roll_out(self.fleet.candidates.len() - 1),
            Fault::Cancel => self.schedule(0, Scheduled::Deliver(Event::CallerGone)),
            Fault::Deadline => self.now = DEADLINE,
        }
    }

    /// Switches all servers to another candidate; the chooser is updated later.
    fn roll_out(&mut self, candidate: usize) {
        for index in 0..self.fleet.servers.len() {
            self.fleet.servers[index].held = candidate;
            self.schedule(1000, Scheduled::UpdateChooser(index));
        }
    }
}
