//! Servers, nodes and callers in virtual time, to put load on the decisions of
//! a request without a network.

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
use gather::event::End;
use gather::event::Event;
use gather::event::Final;
use gather::event::Word;
use gather::machine::Machine;
use gather::plan::Plan;
use gather::resources::Desk;
use replica::budget;
use replica::budget::Budget;
use replica::record::Load;
use replica::service_time::Estimator;
use replica::table;
use replica::table::Locality;
use replica::table::Table;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Scene {
    pub seed: u64,
    pub shards: usize,
    pub replicas: usize,
    pub slots: u32,
    pub nodes: usize,
    pub rate: f64,
    pub seconds: u64,
    /// The usual work of a request, and the part by which it varies.
    pub work: Duration,
    pub objective: Duration,
    pub limit: Duration,
    pub least: usize,
    /// Servers pause for this long.
    pub pause: Duration,
    /// Each at its own time in this period; zero for never.
    pub pause_every: Duration,
    /// How each server behaves, by shard and replica.
    pub mode: fn(usize, usize) -> Mode,
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Sound,
    /// Work takes so many times longer.
    Slow(f64),
    /// Refuses this part of its requests at once.
    Sheds(f64),
    /// Runs its requests and loses this part of the answers.
    Loses(f64),
    /// Accepts requests and never answers.
    Mute,
    /// Connections are refused.
    Down,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            seed: 1,
            shards: 10,
            replicas: 3,
            slots: 2,
            nodes: 6,
            rate: 180.0,
            seconds: 20,
            work: Duration::from_millis(10),
            objective: Duration::from_millis(110),
            limit: Duration::from_millis(780),
            least: 9,
            pause: Duration::from_millis(150),
            pause_every: Duration::ZERO,
            mode: |_, _| Mode::Sound,
        }
    }
}

/// What callers saw after the first quarter of the time.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub asked: usize,
    /// Answered within the objective, whole or in part.
    pub in_time: usize,
    pub late: usize,
    pub not_run: usize,
    pub failed: usize,
    /// The sum of the squares of the covered parts of answers in time.
    pub worth: f64,
    pub latencies: Vec<Duration>,
    /// The longest time until a request was told "not run".
    pub longest_refusal: Duration,
    pub first_sends: u64,
    pub extra_sends: u64,
}

impl Outcome {
    pub fn worth_part(&self) -> f64 {
        self.worth / self.asked as f64
    }

    pub fn in_time_part(&self) -> f64 {
        self.in_time as f64 / self.asked as f64
    }

    pub fn quantile(&self, part: f64) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        sorted[((sorted.len() - 1) as f64 * part) as usize]
    }

    pub fn extra_part(&self) -> f64 {
        self.extra_sends as f64 / self.first_sends as f64
    }
}

/// The way between a node and a server.
const WAY: Duration = Duration::from_micros(200);
const FAR_WAY: Duration = Duration::from_millis(8);
/// How long attempts that are no longer needed may go on.
const LINGER: Duration = Duration::from_millis(300);
/// Requests that may wait at a server.
const QUEUE: usize = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive(usize),
    Reach { server: usize, request: usize, attempt: u32 },
    Run { server: usize, request: usize, attempt: u32 },
    Back { request: usize, attempt: u32, server: usize, end: Back },
    Wake(usize),
    Abandon(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Back {
    Answered { running: u32, waiting: u32 },
    Refused { running: u32, waiting: u32 },
    Lost,
    NotSent,
}

struct Host {
    mode: Mode,
    phase: Duration,
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
    scene: Scene,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Time, u64, What)>>,
    number: u64,
    hosts: Vec<Host>,
    nodes: Vec<Node>,
    services: Vec<Service>,
    requests: Vec<Request>,
    outcome: Outcome,
}

/// Plays a scene.
pub fn play(scene: Scene) -> Outcome {
    let mut sim = Sim::new(scene);
    while let Some(Reverse((now, _, what))) = sim.queue.pop() {
        sim.step(now, what);
    }
    sim.outcome
}

impl Sim {
    fn new(scene: Scene) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scene.seed);
        let mut hosts = Vec::new();
        for shard in 0..scene.shards {
            for replica in 0..scene.replicas {
                let phase = scene.pause_every.mul_f64(rng.random());
                let mode = (scene.mode)(shard, replica);
                let queue = VecDeque::new();
                hosts.push(Host { mode, phase, running: 0, queue, zone: replica % 3 });
            }
        }
        let mut sim = Self {
            rng,
            queue: BinaryHeap::new(),
            number: 0,
            hosts,
            nodes: Vec::new(),
            services: Vec::new(),
            requests: Vec::new(),
            outcome: Outcome::default(),
            scene,
        };
        for at in 0..sim.scene.nodes {
            let node = sim.node(at);
            sim.nodes.push(node);
        }
        let mut at = 0.0;
        for request in 0.. {
            at += -(1.0 - sim.rng.random::<f64>()).ln() / sim.scene.rate;
            if at >= sim.scene.seconds as f64 {
                break;
            }
            // Nodes have been up for long when the load comes.
            let time = Time::from_millis(60_000) + Duration::from_secs_f64(at);
            sim.push(time, What::Arrive(request));
        }
        sim
    }

    fn node(&mut self, at: usize) -> Node {
        let zone = |n: usize| Arc::<str>::from(format!("zone-{}", n % 3).as_str());
        let regions = (0..3).map(|n| (zone(n), zone(n))).collect();
        let mut table = Table::new(Locality { data_centre: zone(at), regions }, at as u64 + 7);
        let extra = budget::Settings { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
        let mut budget = Budget::new(extra);
        budget.set_nodes(self.scene.nodes as u32);
        let mut servers = HashMap::new();
        self.services.clear();
        for shard in 0..self.scene.shards {
            let name = Arc::<str>::from(format!("shard-{shard}").as_str());
            let service = table.intern_service(&name);
            self.services.push(service);
            for replica in 0..self.scene.replicas {
                let host = shard * self.scene.replicas + replica;
                let known: Vec<Server> = table.members(service).collect();
                let entry = Entry {
                    incarnation: Incarnation {
                        id: Arc::from(format!("s{host}").as_str()),
                        born: 1,
                    },
                    service: Arc::clone(&name),
                    address: format!("10.0.0.1:{}", 1000 + host).parse().expect("an address"),
                    data_centre: zone(replica),
                    slots: self.scene.slots,
                    draining: false,
                    warmup: Duration::ZERO,
                };
                table.apply(Time::ZERO, &Change::Up(entry));
                let new = table.members(service).find(|server| !known.contains(server));
                servers.insert(new.expect("it was taken in"), host);
            }
        }
        Node { table, budget, service_time: Estimator::new(self.scene.objective), servers }
    }

    fn push(&mut self, at: Time, what: What) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, what)));
    }

    fn step(&mut self, now: Time, what: What) {
        match what {
            What::Arrive(request) => self.arrive(now, request),
            What::Reach { server, request, attempt } => self.reach(now, server, request, attempt),
            What::Run { server, request, attempt } => self.ran(now, server, request, attempt),
            What::Back { request, attempt, server, end } => {
                self.back(now, request, attempt, server, end);
            }
            What::Abandon(request) => self.abandon(now, request),
            What::Wake(request) => {
                if self.requests[request].wake <= now && !self.requests[request].done {
                    self.requests[request].wake = Time::NEVER;
                    self.handle(now, request, Event::Timer);
                }
            }
        }
    }

    fn arrive(&mut self, now: Time, request: usize) {
        let node = request % self.scene.nodes;
        let plan = Plan {
            parts: self.services.iter().copied().collect(),
            least: self.scene.least,
            idempotent: true,
            attempts: 2,
            objective: now + self.scene.objective,
            limit: now + self.scene.limit,
            work: self.nodes[node].service_time.mean(),
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
        let mut desk = Desk { table: &mut node.table, budget: &mut node.budget };
        entry.machine.handle(now, event, &mut desk, &mut actions);
        for action in actions {
            match action {
                Action::Send { attempt, choice, extra, .. } => {
                    self.send(now, request, attempt, choice.server, extra);
                }
                Action::Wake(at) => {
                    self.requests[request].wake = at;
                    self.push(at, What::Wake(request));
                }
                Action::Finish(last) => self.finish(now, request, &last),
            }
        }
    }

    fn way(&self, node: usize, host: usize) -> Duration {
        if self.hosts[host].zone == node % 3 { WAY } else { FAR_WAY }
    }

    fn send(&mut self, now: Time, request: usize, attempt: Attempt, server: Server, extra: bool) {
        let node = self.requests[request].node;
        self.nodes[node].table.sent(now, server);
        let host = self.nodes[node].servers[&server];
        let attempt = attempt.as_u32();
        self.requests[request].sent.insert(attempt, (server, now));
        if extra {
            self.outcome.extra_sends += 1;
        } else {
            self.outcome.first_sends += 1;
        }
        let way = self.way(node, host);
        if self.hosts[host].mode == Mode::Down {
            let end = Back::NotSent;
            return self.push(now + way * 2, What::Back { request, attempt, server: host, end });
        }
        self.push(now + way, What::Reach { server: host, request, attempt });
    }

    fn reach(&mut self, now: Time, server: usize, request: usize, attempt: u32) {
        let host = &self.hosts[server];
        let shed = match host.mode {
            Mode::Mute => return,
            Mode::Sheds(part) => self.rng.random::<f64>() < part,
            _ => false,
        };
        if shed || host.queue.len() >= QUEUE {
            let end = Back::Refused { running: host.running, waiting: host.queue.len() as u32 };
            let way = self.way(self.requests[request].node, server);
            return self.push(now + way, What::Back { request, attempt, server, end });
        }
        self.hosts[server].queue.push_back((request, attempt));
        self.begin(now, server);
    }

    fn begin(&mut self, now: Time, server: usize) {
        while self.hosts[server].running < self.scene.slots {
            let Some((request, attempt)) = self.hosts[server].queue.pop_front() else { return };
            self.hosts[server].running += 1;
            let vary = 0.5 + self.rng.random::<f64>();
            let slow = match self.hosts[server].mode {
                Mode::Slow(factor) => factor,
                _ => 1.0,
            };
            let took = self.scene.work.mul_f64(vary * slow);
            let end = self.unpaused(server, now) + took;
            self.push(end, What::Run { server, request, attempt });
        }
    }

    /// When a server that has work at `now` goes on with it.
    fn unpaused(&self, server: usize, now: Time) -> Time {
        let every = self.scene.pause_every.as_micros() as u64;
        if every == 0 {
            return now;
        }
        let at = (now.0 + self.hosts[server].phase.as_micros() as u64) % every;
        let pause = self.scene.pause.as_micros() as u64;
        if at < pause { Time(now.0 + pause - at) } else { now }
    }

    fn ran(&mut self, now: Time, server: usize, request: usize, attempt: u32) {
        // What ends within a pause is told after it.
        let told = self.unpaused(server, now);
        if told > now {
            return self.push(told, What::Run { server, request, attempt });
        }
        self.hosts[server].running -= 1;
        let host = &self.hosts[server];
        let lost = matches!(host.mode, Mode::Loses(part) if self.rng.random::<f64>() < part);
        let end = if lost {
            Back::Lost
        } else {
            Back::Answered { running: host.running + 1, waiting: host.queue.len() as u32 }
        };
        let way = self.way(self.requests[request].node, server);
        self.push(now + way, What::Back { request, attempt, server, end });
        self.begin(now, server);
    }

    fn back(&mut self, now: Time, request: usize, attempt: u32, _host: usize, end: Back) {
        let node = self.requests[request].node;
        let Some((server, sent)) = self.requests[request].sent.remove(&attempt) else { return };
        let slots = self.scene.slots;
        let told = match end {
            Back::Answered { running, waiting } => {
                table::Observation::Replied { load: Some(Load { running, waiting, slots }) }
            }
            Back::Refused { running, waiting } => {
                table::Observation::Refused { load: Some(Load { running, waiting, slots }) }
            }
            Back::Lost => table::Observation::Failed,
            Back::NotSent => {
                self.nodes[node].table.connect_failed(now, server);
                table::Observation::NotSent
            }
        };
        let work = self.nodes[node].service_time.mean();
        let took = self.nodes[node].table.observe(now, server, sent, sent, work, told);
        if let Some(took) = took {
            self.nodes[node].service_time.sample(took);
        }
        if self.requests[request].done {
            return;
        }
        let attempt = Attempt::from_u32(attempt);
        let event = match end {
            Back::Answered { .. } => Event::Answered { attempt, reply: () },
            Back::Refused { .. } => Event::Ended { attempt, end: End::Refused },
            Back::Lost => Event::Ended { attempt, end: End::Unknown },
            Back::NotSent => Event::Ended { attempt, end: End::NotSent },
        };
        self.handle(now, request, event);
    }

    /// Gives up the attempts that are no longer needed.
    fn abandon(&mut self, now: Time, request: usize) {
        let node = self.requests[request].node;
        let work = self.nodes[node].service_time.mean();
        for (_, (server, sent)) in std::mem::take(&mut self.requests[request].sent) {
            self.nodes[node].table.observe(
                now,
                server,
                sent,
                sent,
                work,
                table::Observation::Overdue,
            );
        }
    }

    fn finish(&mut self, now: Time, request: usize, last: &Final<()>) {
        self.requests[request].done = true;
        self.push(now + LINGER, What::Abandon(request));
        let start = self.requests[request].start;
        let warm = Time::from_millis(60_000 + self.scene.seconds * 250);
        if start < warm {
            return;
        }
        let took = now.since(start);
        let outcome = &mut self.outcome;
        outcome.asked += 1;
        match &last.word {
            Word::Answer(replies) => {
                outcome.latencies.push(took);
                if took <= self.scene.objective {
                    outcome.in_time += 1;
                    let part = replies.len() as f64 / self.scene.shards as f64;
                    outcome.worth += part * part;
                } else {
                    outcome.late += 1;
                }
            }
            Word::NotRun => {
                outcome.not_run += 1;
                outcome.longest_refusal = outcome.longest_refusal.max(took);
            }
            Word::Failure(()) | Word::Unknown => outcome.failed += 1,
        }
    }
}
