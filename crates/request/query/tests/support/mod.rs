//! A small fleet of upstream servers and a shell that never reads a clock.
//!
//! Invariant: a run is determined by its setup. The shell is the worst one that
//! the contract allows: it goes on delivering the events of cancelled attempts.

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

/// Shards of the first map.
pub const SHARDS: u32 = 3;
const REPLICAS: u32 = 3;
const DEADLINE: Time = Time::from_millis(200);
const SLICE: Time = Time::from_millis(60);
const HEDGE_DELAY: Duration = Duration::from_millis(8);

/// What goes wrong.
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

/// When it goes wrong, seen from the first attempt of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    BeforeSend,
    Queued,
    Connecting,
    Sent,
    Part,
    Replied,
    Sealed,
}

impl Step {
    pub const ALL: [Self; 7] = [
        Self::BeforeSend,
        Self::Queued,
        Self::Connecting,
        Self::Sent,
        Self::Part,
        Self::Replied,
        Self::Sealed,
    ];
}

/// A fault at a step of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    pub fault: Fault,
    pub step: Step,
    pub shard: u32,
}

/// What the query is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Coverage,
    Tail,
    Once,
}

impl Mode {
    pub const ALL: [Self; 3] = [Self::Coverage, Self::Tail, Self::Once];
}

/// What came of a run.
pub struct Run {
    pub trace: Trace,
    pub last: Option<Response>,
    /// The attempts that an upstream ran, or may have run.
    pub ran: BTreeSet<u32>,
    /// The attempts that were sent after they had been cancelled.
    pub stray: BTreeSet<u32>,
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
struct Node {
    dead: bool,
    leaving: bool,
    cold_until: Time,
    /// The index of the target that it holds, and that the chooser believes it holds.
    holds: usize,
    believed: usize,
    /// For its next attempt.
    flags: Flags,
}

struct Fleet {
    candidates: Vec<Candidate>,
    nodes: Vec<Node>,
}

impl Fleet {
    fn group(shard: u32) -> std::ops::Range<usize> {
        let first = (shard % SHARDS * REPLICAS) as usize;
        first..first + REPLICAS as usize
    }

    fn index(&self, snapshot: &Snapshot) -> usize {
        let mut candidates = self.candidates.iter();
        candidates.position(|target| target.snapshot == *snapshot).expect("a known snapshot")
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
        let target = self.index(snapshot);
        let ready = |node: &Node| node.believed == target && now >= node.cold_until;
        let group = Self::group(shard.as_u32());
        let nodes = group.clone().filter(|&index| ready(&self.nodes[index]));
        let staying: Vec<usize> = nodes.filter(|&index| !self.nodes[index].leaving).collect();
        let fresh = |index: &&usize| !tried.contains(&Server::from_u32(**index as u32));
        match staying.iter().find(fresh).or(staying.first()) {
            Some(index) => Ok(Server::from_u32(*index as u32)),
            None if group.clone().all(|index| self.nodes[index].leaving) => Err(Reason::Leaving),
            None => Err(Reason::NoReplica),
        }
    }

    fn holds(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let target = self.index(snapshot);
        let holds =
            |index: usize| self.nodes[index].believed == target && !self.nodes[index].leaving;
        Self::group(shard.as_u32()).any(holds)
    }

    fn hedge_delay(&self, _server: Server) -> Duration {
        HEDGE_DELAY
    }
}

struct Flight {
    server: usize,
    shard: u32,
    flags: Flags,
}

#[derive(Clone)]
enum Happening {
    Stage(u32, Step),
    Deliver(Event),
    Wake(u64),
    Believe(usize),
}

struct World {
    rng: ChaCha8Rng,
    now: Time,
    fleet: Fleet,
    budget: SharedBudget,
    machine: Machine,
    recorder: Recorder,
    flights: Vec<Flight>,
    strikes: Vec<Strike>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: Vec<Happening>,
    wakes: u64,
    ran: BTreeSet<u32>,
    cancelled: BTreeSet<u32>,
    stray: BTreeSet<u32>,
    last: Option<Response>,
}

fn target(map: &str, version: u64, shards: std::ops::Range<u32>) -> Candidate {
    let snapshot = Snapshot { version, map: map.into() };
    Candidate { snapshot, shards: shards.map(Shard::from_u32).collect() }
}

fn plan(mode: Mode, seed: u64) -> Plan {
    let shards = if mode == Mode::Once { 1..2 } else { 0..SHARDS };
    let newer = target("old", 3, shards.clone());
    let mut candidates = vec![target("old", 2, shards), newer];
    if mode != Mode::Once {
        candidates.push(target("new", 3, 0..SHARDS + 1));
    }
    let plan = Plan::new(Incarnation(1), seed, candidates, DEADLINE);
    match mode {
        Mode::Coverage => plan,
        Mode::Tail => plan.with_soft_deadline(SLICE),
        Mode::Once => plan.with_non_idempotent(),
    }
}

/// Runs one query under `strikes`.
pub fn run(mode: Mode, strikes: &[Strike], seed: u64) -> Run {
    let plan = plan(mode, seed);
    let nodes = vec![Node::default(); (SHARDS * REPLICAS) as usize];
    let mut world = World {
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Time::ZERO,
        fleet: Fleet { candidates: plan.candidates.clone(), nodes },
        budget: SharedBudget::new(5.0, 10.0),
        machine: Machine::new(plan.clone()),
        recorder: Recorder::new(),
        flights: Vec::new(),
        strikes: strikes.to_vec(),
        queue: BinaryHeap::new(),
        happenings: Vec::new(),
        wakes: 0,
        ran: BTreeSet::new(),
        cancelled: BTreeSet::new(),
        stray: BTreeSet::new(),
        last: None,
    };
    world.run();
    Run { trace: world.recorder.trace(&plan), last: world.last, ran: world.ran, stray: world.stray }
}

impl World {
    fn run(&mut self) {
        self.strike(Step::BeforeSend, None);
        self.deliver(Event::Start);
        let mut sealed = false;
        while let Some(Reverse((at, index))) = self.queue.pop() {
            self.now = self.now.max(at);
            match self.happenings[index as usize].clone() {
                Happening::Stage(attempt, step) => self.advance(attempt, step),
                Happening::Deliver(event) => self.deliver(event),
                Happening::Wake(wake) if wake == self.wakes => self.deliver(Event::Timer),
                Happening::Wake(_) => {}
                Happening::Believe(index) => {
                    self.fleet.nodes[index].believed = self.fleet.nodes[index].holds;
                }
            }
            if self.last.is_some() && !sealed {
                sealed = true;
                self.strike(Step::Sealed, None);
            }
        }
    }

    fn after(&mut self, micros: u64, happening: Happening) {
        let jitter = self.rng.random_range(0..=micros / 4);
        let at = self.now + Duration::from_micros(micros + jitter);
        self.queue.push(Reverse((at, self.happenings.len() as u64)));
        self.happenings.push(happening);
    }

    fn deliver(&mut self, event: Event) {
        self.recorder.record_event(self.now, &event);
        let mut chooser = self.recorder.wrap_chooser(&mut self.fleet);
        let mut budget = self.recorder.wrap_budget(&mut self.budget);
        let mut context = Context::new(&mut chooser, &mut budget);
        self.machine.handle(self.now, event, &mut context);
        let actions = std::mem::take(&mut context.actions);
        self.recorder.record_actions(self.now, &actions);
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { attempt, server, shard, .. } => {
                let server = server.as_u32() as usize;
                let flags = std::mem::take(&mut self.fleet.nodes[server].flags);
                self.flights.push(Flight { server, shard: shard.as_u32(), flags });
                self.after(100, Happening::Stage(attempt.as_u32(), Step::Queued));
            }
            Action::Wake { at } => {
                self.wakes += 1;
                let at = at.max(self.now);
                self.queue.push(Reverse((at, self.happenings.len() as u64)));
                self.happenings.push(Happening::Wake(self.wakes));
            }
            Action::Finish(last) => self.last = Some(last),
            Action::Cancel { attempt } => {
                self.cancelled.insert(attempt.as_u32());
            }
            Action::CloseConnection { .. } => {}
        }
    }

    fn advance(&mut self, number: u32, step: Step) {
        let attempt = Attempt::from_u32(number);
        let shard = self.flights[number as usize].shard;
        if step == Step::Sent {
            if !self.machine.may_send(attempt) {
                return;
            }
            if self.cancelled.contains(&number) {
                self.stray.insert(number);
            }
            self.deliver(Event::Sent { attempt });
        }
        let before = self.reply(number);
        self.strike(step, Some((shard, number)));
        let flight = &self.flights[number as usize];
        let node = &self.fleet.nodes[flight.server];
        let (flags, dead, leaving) = (flight.flags, node.dead, node.leaving);
        let end = |end| Happening::Deliver(Event::Ended { attempt, end });
        match step {
            Step::Queued if leaving => self.after(10, end(Completion::NotSent(Reason::Leaving))),
            Step::Queued => self.after(100, Happening::Stage(number, Step::Connecting)),
            Step::Connecting if dead => {
                self.after(10, end(Completion::NotSent(Reason::Unreachable)))
            }
            Step::Connecting => self.after(200, Happening::Stage(number, Step::Sent)),
            Step::Sent => match flags.refused {
                Some((retry_after, state)) => {
                    self.after(300, end(Completion::Refused { retry_after, state: Some(state) }));
                }
                None => {
                    self.ran.insert(number);
                    let span = if flags.slow { 40_000 } else { 1000 };
                    self.after(span, Happening::Stage(number, Step::Part));
                }
            },
            Step::Part | Step::Replied if flags.silent => {}
            Step::Part if dead || flags.lost => self.after(10, end(Completion::Unknown)),
            Step::Part => self.after(500, Happening::Stage(number, Step::Replied)),
            Step::Replied if flags.lost => self.after(10, end(Completion::Unknown)),
            Step::Replied => {
                let mut reply = before;
                reply.complete &= !flags.cut;
                if flags.swapped {
                    self.swap(number, &mut reply);
                }
                let event = Event::Replied { attempt, reply };
                if flags.late {
                    self.after(30_000, Happening::Deliver(event.clone()));
                }
                self.after(100, Happening::Deliver(event));
            }
            Step::BeforeSend | Step::Sealed => {}
        }
    }

    fn id(&self, attempt: u32) -> id::Attempt {
        self.machine.id(Attempt::from_u32(attempt))
    }

    /// What the attempt's server would say now.
    fn reply(&self, number: u32) -> Reply {
        let flight = &self.flights[number as usize];
        let snapshot = &self.fleet.candidates[self.fleet.nodes[flight.server].holds].snapshot;
        let body = format!("{number} {} {snapshot}", flight.shard);
        Reply {
            echo: Some(self.id(number)),
            snapshot: Some(snapshot.clone()),
            shard: Some(Shard::from_u32(flight.shard)),
            complete: true,
            body: serde_json::Value::String(body),
        }
    }

    /// Makes it the reply of another attempt, or of another request.
    fn swap(&self, number: u32, reply: &mut Reply) {
        let other = (number + 1) % self.flights.len() as u32;
        *reply = self.reply(other);
        if other == number {
            reply.echo = reply.echo.map(|echo| id::Attempt { request: echo.request + 1, ..echo });
        }
    }

    fn strike(&mut self, step: Step, at: Option<(u32, u32)>) {
        let mine = |strike: &Strike| {
            strike.step == step && at.is_none_or(|(shard, _)| shard == strike.shard)
        };
        let strikes: Vec<Strike> = self.strikes.iter().copied().filter(mine).collect();
        self.strikes.retain(|strike| !mine(strike));
        for strike in strikes {
            self.apply(strike, at.map(|(_, attempt)| attempt));
        }
    }

    fn apply(&mut self, strike: Strike, attempt: Option<u32>) {
        let group = Fleet::group(strike.shard);
        let server = attempt.map_or(group.start, |it| self.flights[it as usize].server);
        let now = self.now;
        let flags = match attempt {
            Some(attempt) => &mut self.flights[attempt as usize].flags,
            None => &mut self.fleet.nodes[server].flags,
        };
        match strike.fault {
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
                group.for_each(|index| self.fleet.nodes[index].flags.refused = Some(shed));
            }
            Fault::ColdStart => {
                flags.refused = Some((None, State::Cold));
                let warm = now + Duration::from_millis(20);
                group.for_each(|index| self.fleet.nodes[index].cold_until = warm);
            }
            Fault::Drain => self.fleet.nodes[server].leaving = true,
            Fault::LostReplica => self.fleet.nodes[server].dead = true,
            Fault::VersionRoll => self.roll(1),
            Fault::Repartition => self.roll(self.fleet.candidates.len() - 1),
            Fault::Cancel => self.after(0, Happening::Deliver(Event::CallerGone)),
            Fault::Deadline => self.now = DEADLINE,
        }
    }

    /// All servers hold another target from now on; the chooser learns it later.
    fn roll(&mut self, target: usize) {
        for index in 0..self.fleet.nodes.len() {
            self.fleet.nodes[index].holds = target;
            self.after(1000, Happening::Believe(index));
        }
    }
}
