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
use crate::model::LEAST_US;
use crate::model::NODES;
use crate::model::REOPEN;
use crate::model::REPLICAS;
use crate::model::SHED;
use crate::model::SLOTS;
use crate::model::SPREAD_US;
use crate::model::STRAGGLE;
use crate::model::Server;
use crate::model::URGENT;
use crate::node;
use crate::node::Node;
use crate::report::Figures;
use admit::ask::Action;
use admit::ask::Ask;
use admit::ask::Id;
use admit::ask::Outcome;
use admit::ask::Verdict;
use base::entity;
use base::entity::Shard;
use base::time::Time;
use route::observation::Observation;
use wire::caller::Priority;
use wire::id::Snapshot;
use wire::upstream::Report;
use wire::upstream::State;

/// Virtual time before figures are taken.
const WARM_UP: Duration = Duration::from_secs(2);
/// The most attempts of one shard.
const ATTEMPTS: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
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
enum Stage {
    Queued,
    Sent,
    Ended,
}

struct Attempt {
    query: usize,
    shard: u32,
    node: usize,
    server: usize,
    sent: Time,
    stage: Stage,
    /// The server works on it or has it in its line.
    there: bool,
    load: u32,
}

#[derive(Default, Clone)]
struct Part {
    done: bool,
    failed: bool,
    attempts: Vec<usize>,
}

struct Query {
    node: usize,
    id: Option<Id>,
    ask: Ask,
    arrived: Time,
    parts: Vec<Part>,
    left: u32,
    shed: bool,
    ended: bool,
}

struct Sim<'a> {
    case: &'a Case,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    made: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    attempts: Vec<Attempt>,
    queries: Vec<Query>,
    by_id: Vec<BTreeMap<Id, usize>>,
    snapshot: Snapshot,
    callers: Vec<Arc<str>>,
    figures: Figures,
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
    fn at(&mut self, delay: Duration, event: Event) {
        self.made += 1;
        self.events.push(Reverse((self.now + delay, self.made, event)));
    }

    /// Makes an event at the other end of an attempt's connection.
    fn travel(&mut self, attempt: usize, event: Event) {
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
                let actions = self.nodes[node].gate.timer(self.now);
                self.act(node, actions);
            }
        }
    }

    /// Whether figures are taken of a query that arrived then.
    fn counts(&self, arrived: Time) -> bool {
        arrived.since(Time::ZERO) >= WARM_UP
    }

    fn exponential(&mut self, mean: f64) -> f64 {
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
        let ask = Ask {
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
        match self.nodes[node].gate.offer(self.now, ask, &mut actions) {
            Verdict::Admitted(id) => {
                self.by_id[node].insert(id, query);
                self.start(query, id);
            }
            Verdict::Queued(id) => {
                self.by_id[node].insert(id, query);
            }
            Verdict::Refused(_) => self.refused(query),
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

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run(id) => {
                    let query = self.by_id[node][&id];
                    self.start(query, id);
                }
                Action::Refuse(id, _) => {
                    if let Some(query) = self.by_id[node].remove(&id) {
                        self.refused(query);
                    }
                }
            }
        }
        let next = self.nodes[node].gate.next_timer();
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
    fn arm(&mut self, query: usize, shard: u32, part: u32) {
        let node = &mut self.nodes[self.queries[query].node];
        let delay = node.table.hedge_delay(self.now, "desk", self.case.hedge.percent);
        if let Some(delay) = delay {
            self.at(delay / part, Event::Hedge(query, shard));
        }
    }

    /// Sends an attempt to a replica that was not tried yet.
    fn send(&mut self, query: usize, shard: u32) -> bool {
        let node = self.queries[query].node;
        let part = &self.queries[query].parts[shard as usize];
        let tried: Vec<entity::Server> = part
            .attempts
            .iter()
            .map(|attempt| entity::Server::from_u32(self.attempts[*attempt].server as u32))
            .collect();
        let here = &mut self.nodes[node];
        let picked = here.table.pick(
            self.now,
            self.case.choice,
            &self.snapshot,
            Shard::from_u32(shard),
            &tried,
        );
        let Some(server) = picked else { return false };
        here.table.observe(self.now, server, Observation::Sent);
        let server = server.as_u32() as usize;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            query,
            shard,
            node,
            server,
            sent: self.now,
            stage: Stage::Queued,
            there: false,
            load: 0,
        });
        self.queries[query].parts[shard as usize].attempts.push(attempt);
        let lane = &mut self.nodes[node].lanes[server];
        if lane.free > 0 {
            lane.free -= 1;
            self.go(attempt);
        } else {
            lane.waiting.push_back(attempt);
        }
        true
    }

    fn go(&mut self, attempt: usize) {
        self.attempts[attempt].stage = Stage::Sent;
        if self.counts(self.queries[self.attempts[attempt].query].arrived) {
            self.figures.sends += 1;
        }
        self.travel(attempt, Event::Reach(attempt));
    }

    fn reach(&mut self, attempt: usize) {
        if self.attempts[attempt].stage == Stage::Ended {
            return;
        }
        let server = self.attempts[attempt].server;
        if self.case.fault.is_lost(server) {
            self.travel(attempt, Event::Return(attempt, Back::Failure));
            return;
        }
        if self.servers[server].waiting.len() >= SHED {
            self.attempts[attempt].load = self.servers[server].load();
            self.travel(attempt, Event::Return(attempt, Back::Refusal));
            return;
        }
        self.attempts[attempt].there = true;
        self.servers[server].waiting.push_back(attempt);
        self.work(server);
    }

    /// Starts waiting requests while the server has slots.
    fn work(&mut self, server: usize) {
        while self.servers[server].running.len() < SLOTS as usize {
            let Some(attempt) = self.servers[server].waiting.pop_front() else { return };
            self.servers[server].running.push(attempt);
            let mut micros = LEAST_US + self.exponential(SPREAD_US);
            micros *= self.case.fault.factor(server);
            if self.rng.random::<f64>() < self.case.fault.straggle() {
                micros *= STRAGGLE;
            }
            self.at(Duration::from_micros(micros as u64), Event::Finish(attempt));
        }
    }

    fn finish(&mut self, attempt: usize) {
        if !self.attempts[attempt].there {
            return;
        }
        let server = self.attempts[attempt].server;
        self.leave(attempt);
        self.attempts[attempt].load = self.servers[server].load();
        self.travel(attempt, Event::Return(attempt, Back::Answer));
        self.work(server);
    }

    fn leave(&mut self, attempt: usize) {
        self.attempts[attempt].there = false;
        let server = &mut self.servers[self.attempts[attempt].server];
        server.running.retain(|running| *running != attempt);
        server.waiting.retain(|waiting| *waiting != attempt);
    }

    fn abort(&mut self, attempt: usize) {
        if self.attempts[attempt].there {
            self.leave(attempt);
            self.work(self.attempts[attempt].server);
        }
    }

    fn come_back(&mut self, attempt: usize, back: Back) {
        if self.attempts[attempt].stage == Stage::Ended {
            return;
        }
        self.attempts[attempt].stage = Stage::Ended;
        let Attempt { query, shard, node, server, sent, load, .. } = self.attempts[attempt];
        let report = Report {
            incarnation: Some(node::incarnation(server)),
            state: Some(State::Ready),
            load: Some(self.case.fault.reported(server, load)),
        };
        let seen = match back {
            Back::Answer => Observation::Replied {
                latency: self.now - sent,
                report,
                snapshot: self.snapshot.clone(),
                shard: Shard::from_u32(shard),
            },
            Back::Refusal => {
                Observation::Refused { retry_after: Some(Duration::from_millis(40)), report }
            }
            Back::Failure => Observation::Failed,
        };
        let reference = entity::Server::from_u32(server as u32);
        self.nodes[node].table.observe(self.now, reference, seen);
        self.reopen(node, server);
        self.queries[query].shed |= back == Back::Refusal;
        match back {
            Back::Answer => self.settle(query, shard, true),
            Back::Refusal | Back::Failure => self.retry(query, shard),
        }
    }

    fn reopen(&mut self, node: usize, server: usize) {
        match self.nodes[node].lanes[server].waiting.pop_front() {
            Some(next) => self.go(next),
            None => self.nodes[node].lanes[server].free += 1,
        }
    }

    fn retry(&mut self, query: usize, shard: u32) {
        let node = self.queries[query].node;
        let part = &self.queries[query].parts[shard as usize];
        let open = part.attempts.iter().any(|a| self.attempts[*a].stage != Stage::Ended);
        if self.queries[query].ended || part.done || open {
            return;
        }
        let here = &mut self.nodes[node];
        let may = part.attempts.len() < ATTEMPTS
            && !here.gate.overloaded(self.now)
            && here.retries.take();
        if !may || !self.send(query, shard) {
            self.settle(query, shard, false);
        }
    }

    fn hedge(&mut self, query: usize, shard: u32) {
        let (node, now) = (self.queries[query].node, self.now);
        if self.queries[query].ended || self.queries[query].parts[shard as usize].done {
            return;
        }
        let last = self.queries[query].left <= self.case.hedge.last;
        let here = &mut self.nodes[node];
        if last && !here.gate.overloaded(now) && here.hedges.take() {
            self.send(query, shard);
        } else {
            self.arm(query, shard, self.case.hedge.again);
        }
    }

    /// A shard is answered, or given up.
    fn settle(&mut self, query: usize, shard: u32, answered: bool) {
        let part = &mut self.queries[query].parts[shard as usize];
        if part.done {
            return;
        }
        part.done = true;
        part.failed = !answered;
        let losers = part.attempts.clone();
        self.queries[query].left -= 1;
        for attempt in losers {
            self.cancel(attempt);
        }
        if self.queries[query].left == 0 {
            self.end(query);
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt { node, server, sent, stage, .. } = self.attempts[attempt];
        let reference = entity::Server::from_u32(server as u32);
        self.attempts[attempt].stage = Stage::Ended;
        match stage {
            Stage::Ended => {}
            Stage::Queued => {
                self.nodes[node].lanes[server].waiting.retain(|waiting| *waiting != attempt);
                self.nodes[node].table.observe(self.now, reference, Observation::NotSent);
            }
            Stage::Sent => {
                let seen = Observation::Cancelled { waited: self.now - sent };
                self.nodes[node].table.observe(self.now, reference, seen);
                self.travel(attempt, Event::Abort(attempt));
                self.at(REOPEN, Event::Reopen(node, server));
            }
        }
    }

    fn end(&mut self, query: usize) {
        if self.queries[query].ended {
            return;
        }
        self.queries[query].ended = true;
        let Query { node, id, arrived, left, shed, .. } = self.queries[query];
        let parts = std::mem::take(&mut self.queries[query].parts);
        for attempt in parts.iter().flat_map(|part| part.attempts.iter()) {
            self.cancel(*attempt);
        }
        let whole = left == 0 && parts.iter().all(|part| !part.failed);
        if self.counts(arrived) {
            let latency = self.now - arrived;
            if whole {
                self.figures.latencies.push(latency);
                if self.queries[query].ask.priority == Priority::Urgent {
                    self.figures.urgent.push(latency);
                }
            } else {
                self.figures.broken += 1;
            }
        }
        let outcome = match (left > 0, shed) {
            (true, _) => Outcome::Late,
            (false, true) => Outcome::Overloaded,
            (false, false) => Outcome::Done,
        };
        if let Some(id) = id {
            self.by_id[node].remove(&id);
            let actions = self.nodes[node].gate.done(self.now, id, outcome);
            self.act(node, actions);
        }
    }
}
