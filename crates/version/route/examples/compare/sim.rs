//! The discrete-event simulation of one case.
//!
//! Invariant: events of the same time are handled in the order of creation.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::model::Case;
use crate::model::DEADLINE;
use crate::model::GROUPS;
use crate::model::NODES;
use crate::model::REPLICAS;
use crate::model::Response;
use crate::model::Server;
use crate::model::URGENT_SHARE;
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

/// The simulated time before measurement begins.
const WARM_UP: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive,
    /// An attempt reaches its server.
    Reach(usize),
    Finish(usize),
    /// A response reaches its node.
    Respond(usize, Response),
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
    /// Whether it is running or queued at the server.
    pub at_server: bool,
    pub load: u32,
}

#[derive(Default, Clone)]
pub struct ShardState {
    pub done: bool,
    pub failed: bool,
    pub attempts: Vec<usize>,
}

pub struct Query {
    pub node: usize,
    pub id: Option<Id>,
    pub ask: Request,
    pub arrived: Time,
    pub shards: Vec<ShardState>,
    /// Shards without a result.
    pub missing: u32,
    pub was_refused: bool,
    pub ended: bool,
}

pub struct Sim<'a> {
    pub case: &'a Case,
    pub rng: ChaCha8Rng,
    pub now: Time,
    pub events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pub event_count: u64,
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
        event_count: 0,
        nodes: (0..NODES).map(|index| Node::new(case, index, seed)).collect(),
        servers: (0..GROUPS * REPLICAS).map(|_| Server::default()).collect(),
        attempts: Vec::new(),
        queries: Vec::new(),
        by_id: vec![BTreeMap::new(); NODES],
        snapshot: node::snapshot(),
        callers: (0..10).map(|caller| Arc::from(format!("caller-{caller}"))).collect(),
        figures: Figures { seconds: case.seconds as f64, ..Figures::default() },
    };
    sim.schedule(Duration::ZERO, Event::Arrive);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        sim.now = now;
        sim.handle(event);
    }
    sim.figures.latencies.sort_unstable();
    sim.figures.urgent.sort_unstable();
    sim.figures
}

impl Sim<'_> {
    /// Schedules an event after a delay.
    pub fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now + delay, self.event_count, event)));
    }

    /// Schedules an event at the other end of an attempt's connection.
    pub fn schedule_remote(&mut self, attempt: usize, event: Event) {
        let Attempt { node, server, .. } = self.attempts[attempt];
        self.schedule(self.case.one_way(node, server), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Respond(attempt, response) => self.receive(attempt, response),
            Event::Abort(attempt) => self.abort(attempt),
            Event::Reopen(node, server) => self.reopen(node, server),
            Event::Hedge(query, shard) => self.hedge(query, shard),
            Event::Deadline(query) => self.end_query(query),
            Event::Timer(node) => {
                self.nodes[node].timer = Time::NEVER;
                let actions = self.nodes[node].gate.expire(self.now);
                self.apply(node, actions);
            }
        }
    }

    /// Whether a query that arrived at this time is measured.
    pub fn is_measured(&self, arrived: Time) -> bool {
        arrived.since(Time::ZERO) >= WARM_UP
    }

    /// An exponentially distributed random number.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1e6 / self.case.rate());
        if self.now.since(Time::ZERO) < WARM_UP + Duration::from_secs(self.case.seconds) {
            self.schedule(Duration::from_micros(gap as u64), Event::Arrive);
        }
        let node = self.rng.random_range(0..NODES);
        let urgent = self.rng.random::<f64>() < URGENT_SHARE;
        let priority = if urgent { Priority::Urgent } else { Priority::Routine };
        let caller = self.rng.random_range(0..self.callers.len());
        let ask = Request {
            caller: Arc::clone(&self.callers[caller]),
            priority,
            deadline: self.now + DEADLINE,
            cost: GROUPS,
        };
        if self.is_measured(self.now) {
            self.figures.offered += 1;
            self.figures.urgent_offered += u64::from(urgent);
        }
        let query = self.queries.len();
        self.queries.push(Query {
            node,
            id: None,
            ask: ask.clone(),
            arrived: self.now,
            shards: Vec::new(),
            missing: GROUPS,
            was_refused: false,
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
            Decision::Rejected(_) => self.record_refusal(query),
        }
        self.apply(node, actions);
    }

    fn record_refusal(&mut self, query: usize) {
        let query = &mut self.queries[query];
        query.ended = true;
        if query.arrived.since(Time::ZERO) >= WARM_UP {
            self.figures.refused += 1;
            let waited = self.now - query.arrived;
            self.figures.longest_refusal = self.figures.longest_refusal.max(waited);
        }
    }

    pub fn apply(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run(id) => {
                    let query = self.by_id[node][&id];
                    self.start(query, id);
                }
                Action::Reject(id, _) => {
                    if let Some(query) = self.by_id[node].remove(&id) {
                        self.record_refusal(query);
                    }
                }
            }
        }
        let next = self.nodes[node].gate.next_expiry();
        if next < self.nodes[node].timer {
            self.nodes[node].timer = next;
            self.schedule(next - self.now, Event::Timer(node));
        }
    }

    fn start(&mut self, query: usize, id: Id) {
        let deadline = self.queries[query].ask.deadline;
        self.queries[query].id = Some(id);
        self.queries[query].shards = vec![ShardState::default(); GROUPS as usize];
        self.schedule(deadline - self.now, Event::Deadline(query));
        let node = self.queries[query].node;
        for shard in 0..GROUPS {
            self.nodes[node].hedges.first_send();
            self.nodes[node].retries.first_send();
            if self.is_measured(self.queries[query].arrived) {
                self.figures.required += 1;
            }
            self.send(query, shard);
            self.schedule_hedge(query, shard, 1);
        }
    }

    /// Schedules a hedge, after the hedge delay divided by `divisor`.
    pub fn schedule_hedge(&mut self, query: usize, shard: u32, divisor: u32) {
        let node = &mut self.nodes[self.queries[query].node];
        let delay = node.table.hedge_delay(self.now, "desk", self.case.hedge.percent);
        if let Some(delay) = delay {
            self.schedule(delay / divisor, Event::Hedge(query, shard));
        }
    }
}
