//! The discrete-event run of one case.
//!
//! Invariant: events of the same time are handled in the order of making.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::model::Back;
use crate::model::Case;
use crate::model::DEADLINE;
use crate::model::GROUPS;
use crate::model::NODES;
use crate::model::REPLICAS;
use crate::model::Server;
use crate::model::URGENT;
use crate::node;
use crate::node::Node;
use crate::report::Figures;
use admit::request::Action;
use admit::request::Decision;
use admit::request::Id;
use admit::request::Request;
use base::time::Time;
use wire::caller::Priority;
use wire::id::Snapshot;

/// Virtual time before figures are taken.
const WARM_UP: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive,
    /// An attempt reaches its server.
    Reach(usize),
    Finish(usize),
    /// A reply or a refusal reaches its node.
    Return(usize, Back),
    /// A cancellation reaches the server.
    Abort(usize),
    /// A connection of a node to a server is open again.
    Reopen(usize, usize),
    Hedge(usize, u32),
    Deadline(usize),
    Timer(usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Queued,
    Sent,
    Ended,
}

pub struct Attempt {
    pub query: usize,
    pub shard: u32,
    pub node: usize,
    pub server: usize,
    pub sent: Time,
    pub stage: Stage,
    /// The server works on it or has it in its line.
    pub there: bool,
    pub load: u32,
}

#[derive(Default, Clone)]
pub struct Part {
    pub done: bool,
    pub failed: bool,
    pub attempts: Vec<usize>,
}

pub struct Query {
    pub node: usize,
    pub id: Option<Id>,
    pub ask: Request,
    pub arrived: Time,
    pub parts: Vec<Part>,
    pub left: u32,
    pub shed: bool,
    pub ended: bool,
}

pub struct Sim<'a> {
    pub case: &'a Case,
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pub made: u64,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub attempts: Vec<Attempt>,
    pub queries: Vec<Query>,
    pub by_id: Vec<BTreeMap<Id, usize>>,
    pub snapshot: Snapshot,
    pub callers: Vec<Arc<str>>,
    pub figures: Figures,
}

/// Runs a case with a seed.
pub fn run(case: &Case, seed: u64) -> Figures {
    let mut sim = Sim {
        case,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: Time::ZERO,
        events: BinaryHeap::new(),
        made: 0,
        nodes: (0..NODES).map(|index| Node::new(case, index, seed)).collect(),
        servers: (0..GROUPS * REPLICAS).map(|_| Server::default()).collect(),
        attempts: Vec::new(),
        queries: Vec::new(),
        by_id: vec![BTreeMap::new(); NODES],
        snapshot: node::snapshot(),
        callers: (0..10).map(|caller| Arc::from(format!("caller-{caller}"))).collect(),
        figures: Figures { seconds: case.seconds as f64, ..Figures::default() },
    };
    sim.at(Duration::ZERO, Event::Arrive);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        sim.now = now;
        sim.handle(event);
    }
    sim.figures.latencies.sort_unstable();
    sim.figures.urgent.sort_unstable();
    sim.figures
}

impl Sim<'_> {
    pub fn at(&mut self, delay: Duration, event: Event) {
        self.made += 1;
        self.events.push(Reverse((self.now + delay, self.made, event)));
    }

    /// Makes an event at the other end of an attempt's connection.
    pub fn travel(&mut self, attempt: usize, event: Event) {
        let Attempt { node, server, .. } = self.attempts[attempt];
        self.at(self.case.one_way(node, server), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Return(attempt, back) => self.come_back(attempt, back),
            Event::Abort(attempt) => self.abort(attempt),
            Event::Reopen(node, server) => self.reopen(node, server),
            Event::Hedge(query, shard) => self.hedge(query, shard),
            Event::Deadline(query) => self.end(query),
            Event::Timer(node) => {
                self.nodes[node].timer = Time::NEVER;
                let actions = self.nodes[node].gate.expire(self.now);
                self.act(node, actions);
            }
        }
    }

    /// Whether figures are taken of a query that arrived then.
    pub fn counts(&self, arrived: Time) -> bool {
        arrived.since(Time::ZERO) >= WARM_UP
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1e6 / self.case.rate());
        if self.now.since(Time::ZERO) < WARM_UP + Duration::from_secs(self.case.seconds) {
            self.at(Duration::from_micros(gap as u64), Event::Arrive);
        }
        let node = self.rng.random_range(0..NODES);
        let urgent = self.rng.random::<f64>() < URGENT;
        let priority = if urgent { Priority::Urgent } else { Priority::Routine };
        let caller = self.rng.random_range(0..self.callers.len());
        let ask = Request {
            caller: Arc::clone(&self.callers[caller]),
            priority,
            deadline: self.now + DEADLINE,
            cost: GROUPS,
        };
        if self.counts(self.now) {
            self.figures.offered += 1;
            self.figures.urgent_offered += u64::from(urgent);
        }
        let query = self.queries.len();
        self.queries.push(Query {
            node,
            id: None,
            ask: ask.clone(),
            arrived: self.now,
            parts: Vec::new(),
            left: GROUPS,
            shed: false,
            ended: false,
        });
        let mut actions = Vec::new();
        match self.nodes[node].gate.admit(self.now, ask, &mut actions) {
            Decision::Admitted(id) => {
                self.by_id[node].insert(id, query);
                self.start(query, id);
            }
            Decision::Queued(id) => {
                self.by_id[node].insert(id, query);
            }
            Decision::Rejected(_) => self.refused(query),
        }
        self.act(node, actions);
    }

    fn refused(&mut self, query: usize) {
        let query = &mut self.queries[query];
        query.ended = true;
        if query.arrived.since(Time::ZERO) >= WARM_UP {
            self.figures.refused += 1;
            let waited = self.now - query.arrived;
            self.figures.longest_refusal = self.figures.longest_refusal.max(waited);
        }
    }

    pub fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run(id) => {
                    let query = self.by_id[node][&id];
                    self.start(query, id);
                }
                Action::Reject(id, _) => {
                    if let Some(query) = self.by_id[node].remove(&id) {
                        self.refused(query);
                    }
                }
            }
        }
        let next = self.nodes[node].gate.next_expiry();
        if next < self.nodes[node].timer {
            self.nodes[node].timer = next;
            self.at(next - self.now, Event::Timer(node));
        }
    }

    fn start(&mut self, query: usize, id: Id) {
        let deadline = self.queries[query].ask.deadline;
        self.queries[query].id = Some(id);
        self.queries[query].parts = vec![Part::default(); GROUPS as usize];
        self.at(deadline - self.now, Event::Deadline(query));
        let node = self.queries[query].node;
        for shard in 0..GROUPS {
            self.nodes[node].hedges.first();
            self.nodes[node].retries.first();
            if self.counts(self.queries[query].arrived) {
                self.figures.needed += 1;
            }
            self.send(query, shard);
            self.arm(query, shard, 1);
        }
    }

    /// Sets the alarm for a hedge, after the delay over `part`.
    pub fn arm(&mut self, query: usize, shard: u32, part: u32) {
        let node = &mut self.nodes[self.queries[query].node];
        let delay = node.table.hedge_delay(self.now, "desk", self.case.hedge.percent);
        if let Some(delay) = delay {
            self.at(delay / part, Event::Hedge(query, shard));
        }
    }
}
