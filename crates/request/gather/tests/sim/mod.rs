//! A simulation of servers, nodes and callers in virtual time, which tests how
//! requests behave under load without a network.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::event::Action;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Outcome;
use gather::event::Response;
use gather::machine::Machine;
use gather::plan::Plan;
use gather::resources::NodeBalancer;
use poison::ledger::Standing;
use replica::budget;
use replica::budget::Budget;
use replica::record::Load;
use replica::service_time::Estimator;
use replica::table;
use replica::table::Choice;
use replica::table::Locality;
use replica::table::Table;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub shards: usize,
    pub replicas: usize,
    pub slots: u32,
    pub nodes: usize,
    pub rate: f64,
    pub seconds: u64,
    /// The mean service time of a request at a healthy server.
    pub service_time: Duration,
    pub objective: Duration,
    pub timeout: Duration,
    pub min_shards: usize,
    /// How long a server pauses.
    pub pause: Duration,
    /// How often each server pauses, at its own offset; zero for never.
    pub pause_interval: Duration,
    /// The behavior of each server, by shard and replica.
    pub behavior: fn(usize, usize) -> Behavior,
}

/// The behavior of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Healthy,
    /// Requests take this many times longer.
    Slow(f64),
    /// Refuses this fraction of its requests at once.
    Refuses(f64),
    /// Runs its requests and loses this fraction of the replies.
    LosesReplies(f64),
    /// Accepts requests and never replies.
    Unresponsive,
    /// Connections are refused.
    Down,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            shards: 10,
            replicas: 3,
            slots: 2,
            nodes: 6,
            rate: 180.0,
            seconds: 20,
            service_time: Duration::from_millis(10),
            objective: Duration::from_millis(110),
            timeout: Duration::from_millis(780),
            min_shards: 9,
            pause: Duration::from_millis(150),
            pause_interval: Duration::ZERO,
            behavior: |_, _| Behavior::Healthy,
        }
    }
}

/// The results of the requests that arrive after the first quarter of the time.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub requests: usize,
    /// Answered within the objective, completely or in part.
    pub in_time: usize,
    /// Answered within the objective with all shards.
    pub complete: usize,
    pub late: usize,
    pub not_run: usize,
    pub failed: usize,
    /// The sum of the values of the answers in time; the value of an answer is the
    /// square of the fraction of the shards that it covers.
    pub value: f64,
    pub latencies: Vec<Duration>,
    /// The longest time until a request was refused.
    pub max_refusal_latency: Duration,
    pub first_sends: u64,
    pub extra_sends: u64,
}

impl Summary {
    pub fn value_fraction(&self) -> f64 {
        self.value / self.requests as f64
    }

    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.requests as f64
    }

    pub fn quantile(&self, fraction: f64) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        sorted[((sorted.len() - 1) as f64 * fraction) as usize]
    }

    pub fn extra_fraction(&self) -> f64 {
        self.extra_sends as f64 / self.first_sends as f64
    }
}

/// The one-way network time between a node and a server of the same zone.
const NETWORK_TIME: Duration = Duration::from_micros(200);
const FAR_NETWORK_TIME: Duration = Duration::from_millis(8);
/// How long attempts may continue after the response.
const ABANDON_DELAY: Duration = Duration::from_millis(300);
/// The queue length of a server.
const MAX_QUEUE: usize = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A caller's request reaches its node.
    Arrive(usize),
    /// An attempt reaches a server.
    Reach {
        server: usize,
        request: usize,
        attempt: u32,
    },
    /// A server completes an attempt.
    Complete {
        server: usize,
        request: usize,
        attempt: u32,
    },
    /// The result of an attempt reaches the node.
    Return {
        request: usize,
        attempt: u32,
        server: usize,
        result: AttemptResult,
    },
    Wake(usize),
    Abandon(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptResult {
    Answered { running: u32, queued: u32 },
    Refused { running: u32, queued: u32 },
    Lost,
    NotSent,
}

struct Upstream {
    behavior: Behavior,
    pause_offset: Duration,
    running: u32,
    queue: VecDeque<(usize, u32)>,
    zone: usize,
}

struct Node {
    table: Table,
    budget: Budget,
    service_time: Estimator,
    servers: HashMap<Server, usize>,
}

struct Request {
    machine: Machine<()>,
    node: usize,
    start: Time,
    wake: Time,
    sent: HashMap<u32, (Server, Time)>,
    done: bool,
}

struct Sim {
    scenario: Scenario,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    number: u64,
    upstreams: Vec<Upstream>,
    nodes: Vec<Node>,
    services: Vec<Service>,
    requests: Vec<Request>,
    summary: Summary,
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario) -> Summary {
    let mut sim = Sim::new(scenario);
    while let Some(Reverse((now, _, event))) = sim.queue.pop() {
        sim.step(now, event);
    }
    sim.summary
}

impl Sim {
    fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut upstreams = Vec::new();
        for shard in 0..scenario.shards {
            for replica in 0..scenario.replicas {
                let pause_offset = scenario.pause_interval.mul_f64(rng.random());
                let behavior = (scenario.behavior)(shard, replica);
                let queue = VecDeque::new();
                upstreams.push(Upstream {
                    behavior,
                    pause_offset,
                    running: 0,
                    queue,
                    zone: replica % 3,
                });
            }
        }
        let mut sim = Self {
            rng,
            queue: BinaryHeap::new(),
            number: 0,
            upstreams,
            nodes: Vec::new(),
            services: Vec::new(),
            requests: Vec::new(),
            summary: Summary::default(),
            scenario,
        };
        for index in 0..sim.scenario.nodes {
            let node = sim.node(index);
            sim.nodes.push(node);
        }
        let mut at = 0.0;
        for request in 0.. {
            at += -(1.0 - sim.rng.random::<f64>()).ln() / sim.scenario.rate;
            if at >= sim.scenario.seconds as f64 {
                break;
            }
            // The nodes have been running for longer than a budget window.
            let time = Time::from_millis(60_000) + Duration::from_secs_f64(at);
            sim.push(time, SimEvent::Arrive(request));
        }
        sim
    }

    fn node(&mut self, index: usize) -> Node {
        let zone = |n: usize| Arc::<str>::from(format!("zone-{}", n % 3).as_str());
        let regions = (0..3).map(|n| (zone(n), zone(n))).collect();
        let mut table =
            Table::new(Locality { data_centre: zone(index), regions }, index as u64 + 7);
        let extra = budget::Settings { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
        let mut budget = Budget::new(extra);
        budget.set_share(Time::ZERO, 1.0 / self.scenario.nodes as f64);
        let mut servers = HashMap::new();
        self.services.clear();
        for shard in 0..self.scenario.shards {
            let name = Arc::<str>::from(format!("shard-{shard}").as_str());
            let service = table.intern_service(&name);
            self.services.push(service);
            for replica in 0..self.scenario.replicas {
                let upstream = shard * self.scenario.replicas + replica;
                let known: Vec<Server> = table.servers_of(service).collect();
                let entry = Entry {
                    incarnation: Incarnation {
                        id: Arc::from(format!("s{upstream}").as_str()),
                        born: 1,
                    },
                    service: Arc::clone(&name),
                    address: format!("10.0.0.1:{}", 1000 + upstream).parse().expect("an address"),
                    data_centre: zone(replica),
                    slots: self.scenario.slots,
                    draining: false,
                    warmup: Duration::ZERO,
                };
                table.apply(Time::ZERO, &Change::Up(entry));
                let new = table.servers_of(service).find(|server| !known.contains(server));
                servers.insert(new.expect("the server was added"), upstream);
            }
        }
        Node { table, budget, service_time: Estimator::new(self.scenario.objective), servers }
    }

    fn push(&mut self, at: Time, event: SimEvent) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn step(&mut self, now: Time, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.arrive(now, request),
            SimEvent::Reach { server, request, attempt } => {
                self.reach(now, server, request, attempt)
            }
            SimEvent::Complete { server, request, attempt } => {
                self.complete(now, server, request, attempt)
            }
            SimEvent::Return { request, attempt, server, result } => {
                self.receive(now, request, attempt, server, result);
            }
            SimEvent::Abandon(request) => self.abandon(now, request),
            SimEvent::Wake(request) => {
                if self.requests[request].wake <= now && !self.requests[request].done {
                    self.requests[request].wake = Time::NEVER;
                    self.handle(now, request, Event::Timer);
                }
            }
        }
    }

    fn arrive(&mut self, now: Time, request: usize) {
        let node = request % self.scenario.nodes;
        let plan = Plan {
            services: self.services.iter().copied().collect(),
            min_services: self.scenario.min_shards,
            idempotent: true,
            max_attempts: 2,
            soft_deadline: now + self.scenario.objective,
            deadline: now + self.scenario.timeout,
            usual_service_time: self.nodes[node].service_time.mean(),
            own_work: Duration::ZERO,
        };
        self.requests.push(Request {
            machine: Machine::new(plan),
            node,
            start: now,
            wake: Time::NEVER,
            sent: HashMap::new(),
            done: false,
        });
        self.handle(now, request, Event::Start);
    }

    fn handle(&mut self, now: Time, request: usize, event: Event<()>) {
        let mut actions = Vec::new();
        let entry = &mut self.requests[request];
        let node = &mut self.nodes[entry.node];
        let mut balancer = NodeBalancer {
            table: &mut node.table,
            budget: &mut node.budget,
            choice: Choice::default(),
            standing: Standing::Clear,
            has_recent_end: false,
        };
        entry.machine.handle(now, event, &mut balancer, &mut actions);
        for action in actions {
            match action {
                Action::Send { attempt, selection, extra, .. } => {
                    self.send(now, request, attempt, selection.server, extra);
                }
                Action::Wake(at) => {
                    self.requests[request].wake = at;
                    self.push(at, SimEvent::Wake(request));
                }
                Action::Finish(response) => self.finish(now, request, &response),
            }
        }
    }

    fn network_time(&self, node: usize, upstream: usize) -> Duration {
        if self.upstreams[upstream].zone == node % 3 { NETWORK_TIME } else { FAR_NETWORK_TIME }
    }

    fn send(&mut self, now: Time, request: usize, attempt: Attempt, server: Server, extra: bool) {
        let node = self.requests[request].node;
        self.nodes[node].table.started(now, server);
        let upstream = self.nodes[node].servers[&server];
        let attempt = attempt.as_u32();
        self.requests[request].sent.insert(attempt, (server, now));
        if extra {
            self.summary.extra_sends += 1;
        } else {
            self.summary.first_sends += 1;
        }
        let network_time = self.network_time(node, upstream);
        if self.upstreams[upstream].behavior == Behavior::Down {
            let result = AttemptResult::NotSent;
            return self.push(
                now + network_time * 2,
                SimEvent::Return { request, attempt, server: upstream, result },
            );
        }
        self.push(now + network_time, SimEvent::Reach { server: upstream, request, attempt });
    }

    fn reach(&mut self, now: Time, server: usize, request: usize, attempt: u32) {
        let upstream = &self.upstreams[server];
        let refused = match upstream.behavior {
            Behavior::Unresponsive => return,
            Behavior::Refuses(fraction) => self.rng.random::<f64>() < fraction,
            _ => false,
        };
        if refused || upstream.queue.len() >= MAX_QUEUE {
            let result = AttemptResult::Refused {
                running: upstream.running,
                queued: upstream.queue.len() as u32,
            };
            let network_time = self.network_time(self.requests[request].node, server);
            return self
                .push(now + network_time, SimEvent::Return { request, attempt, server, result });
        }
        self.upstreams[server].queue.push_back((request, attempt));
        self.begin(now, server);
    }

    fn begin(&mut self, now: Time, server: usize) {
        while self.upstreams[server].running < self.scenario.slots {
            let Some((request, attempt)) = self.upstreams[server].queue.pop_front() else { return };
            self.upstreams[server].running += 1;
            let variation = 0.5 + self.rng.random::<f64>();
            let slowness = match self.upstreams[server].behavior {
                Behavior::Slow(factor) => factor,
                _ => 1.0,
            };
            let took = self.scenario.service_time.mul_f64(variation * slowness);
            let end = self.end_of_pause(server, now) + took;
            self.push(end, SimEvent::Complete { server, request, attempt });
        }
    }

    /// `now`, or the end of the pause that the server is in.
    fn end_of_pause(&self, server: usize, now: Time) -> Time {
        let interval = self.scenario.pause_interval.as_micros() as u64;
        if interval == 0 {
            return now;
        }
        let offset =
            (now.micros() + self.upstreams[server].pause_offset.as_micros() as u64) % interval;
        let pause = self.scenario.pause.as_micros() as u64;
        if offset < pause { Time::from_micros(now.micros() + pause - offset) } else { now }
    }

    fn complete(&mut self, now: Time, server: usize, request: usize, attempt: u32) {
        // A request that ends within a pause is replied to after it.
        let replied_at = self.end_of_pause(server, now);
        if replied_at > now {
            return self.push(replied_at, SimEvent::Complete { server, request, attempt });
        }
        self.upstreams[server].running -= 1;
        let upstream = &self.upstreams[server];
        let lost = matches!(upstream.behavior, Behavior::LosesReplies(fraction) if self.rng.random::<f64>() < fraction);
        let result = if lost {
            AttemptResult::Lost
        } else {
            AttemptResult::Answered {
                running: upstream.running + 1,
                queued: upstream.queue.len() as u32,
            }
        };
        let network_time = self.network_time(self.requests[request].node, server);
        self.push(now + network_time, SimEvent::Return { request, attempt, server, result });
        self.begin(now, server);
    }

    fn receive(
        &mut self,
        now: Time,
        request: usize,
        attempt: u32,
        _upstream: usize,
        result: AttemptResult,
    ) {
        let node = self.requests[request].node;
        let Some((server, sent)) = self.requests[request].sent.remove(&attempt) else { return };
        let slots = self.scenario.slots;
        let observation = match result {
            AttemptResult::Answered { running, queued } => {
                table::Observation::Replied { load: Some(Load { running, queued, slots }) }
            }
            AttemptResult::Refused { running, queued } => {
                table::Observation::Refused { load: Some(Load { running, queued, slots }) }
            }
            AttemptResult::Lost => table::Observation::Failed,
            AttemptResult::NotSent => {
                self.nodes[node].table.connect_failed(now, server);
                table::Observation::NotSent
            }
        };
        let service_time = self.nodes[node].service_time.mean();
        let took =
            self.nodes[node].table.observe(now, server, sent, sent, service_time, observation);
        if let Some(took) = took {
            self.nodes[node].service_time.sample(took);
        }
        if self.requests[request].done {
            return;
        }
        let attempt = Attempt::from_u32(attempt);
        let event = match result {
            AttemptResult::Answered { .. } => Event::Answered { attempt, reply: () },
            AttemptResult::Refused { .. } => {
                Event::Ended { attempt, completion: Completion::Refused }
            }
            AttemptResult::Lost => Event::Ended { attempt, completion: Completion::Unknown },
            AttemptResult::NotSent => Event::Ended { attempt, completion: Completion::NotSent },
        };
        self.handle(now, request, event);
    }

    /// Abandons the attempts that are still in flight after the response.
    fn abandon(&mut self, now: Time, request: usize) {
        let node = self.requests[request].node;
        let service_time = self.nodes[node].service_time.mean();
        for (_, (server, sent)) in std::mem::take(&mut self.requests[request].sent) {
            self.nodes[node].table.observe(
                now,
                server,
                sent,
                sent,
                service_time,
                table::Observation::Abandoned,
            );
        }
    }

    fn finish(&mut self, now: Time, request: usize, response: &Response<()>) {
        self.requests[request].done = true;
        self.push(now + ABANDON_DELAY, SimEvent::Abandon(request));
        let start = self.requests[request].start;
        let warm_up_end = Time::from_millis(60_000 + self.scenario.seconds * 250);
        if start < warm_up_end {
            return;
        }
        let took = now.since(start);
        let summary = &mut self.summary;
        summary.requests += 1;
        match &response.outcome {
            Outcome::Answer(replies) => {
                summary.latencies.push(took);
                if took <= self.scenario.objective {
                    summary.in_time += 1;
                    summary.complete += usize::from(replies.len() == self.scenario.shards);
                    let fraction = replies.len() as f64 / self.scenario.shards as f64;
                    summary.value += fraction * fraction;
                } else {
                    summary.late += 1;
                }
            }
            Outcome::NotRun => {
                summary.not_run += 1;
                summary.max_refusal_latency = summary.max_refusal_latency.max(took);
            }
            Outcome::Failure(()) | Outcome::Unknown => summary.failed += 1,
        }
    }
}
