//! Nodes and servers in virtual time: requests that end servers, servers that end by themselves,
//! a popular request and many others, and datagrams that are late or lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use poison::identity::Identity;
use poison::identity::Parts;
use poison::ledger::Change;
use poison::ledger::Ledger;
use poison::ledger::Standing;
use poison::notice::Notice;

const SECOND: u64 = 1_000_000;
const MILLI: u64 = 1_000;
/// The interval at which a request that ends servers comes, about three times a second.
const POISON_INTERVAL: u64 = 300 * MILLI;
const MAX_POISON_DELAY: u64 = 60 * MILLI;
/// How long a server is down.
const DOWN_TIME: u64 = 3 * SECOND;
/// The time until a node has found a server ended.
const PROOF_TIME: u64 = 12 * MILLI;
/// The interval between the messages of a node.
const BEAT: u64 = 400 * MILLI;
/// The delay after which a message about a change is repeated.
const REPEAT_DELAY: u64 = 50 * MILLI;
/// The number of nodes that get a regular message.
const BEAT_TARGETS: usize = 50;
/// The maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 2;
/// See the rule on retries: from then on a request that has ended three servers may reach only
/// three more.
const STABILITY_WINDOW: u64 = 4 * SECOND;

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    seed: u64,
    nodes: usize,
    servers: usize,
    seconds: u64,
    /// The number of requests that end servers; each comes three times a second.
    poisons: usize,
    /// The rate of servers that end by themselves.
    random_ends_per_second: f64,
    /// The fraction of datagrams that are lost.
    loss: f64,
    /// When all nodes are killed and start again, if they are.
    restart_at: Option<u64>,
}

const SCENARIO: Scenario = Scenario {
    seed: 1,
    nodes: 6,
    servers: 12,
    seconds: 20,
    poisons: 1,
    random_ends_per_second: 0.0,
    loss: 0.1,
    restart_at: None,
};

/// The rate of the ordinary requests, of which a third are the popular one.
const OTHERS_PER_SECOND: f64 = 85.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Poison(usize),
    Popular,
    Other(u64),
}

#[derive(Clone, Debug)]
struct Run {
    kind: Kind,
    identity: Identity,
    node: usize,
    known: usize,
    counts: bool,
    attempts: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { kind: Kind, node: usize, attempts: u32 },
    RunEnds { run: usize, server: usize },
    ServerEnds { server: usize },
    ServerStarts { server: usize },
    Proof { node: usize, server: u32, requests: Vec<Identity> },
    Deliver { node: usize, message: usize },
    Beat { node: usize },
    Repeat { node: usize },
    Restart,
}

/// What happened.
#[derive(Clone, Debug, Default)]
struct Summary {
    /// When each request that ends servers did so.
    ends: Vec<Vec<u64>>,
    /// When it reached a server.
    arrivals: Vec<Vec<u64>>,
    served: usize,
    failed: usize,
    refused: usize,
}

impl Summary {
    fn served_fraction(&self) -> f64 {
        self.served as f64 / (self.served + self.failed + self.refused) as f64
    }

    /// How often a request reached a server later than the window after its third end.
    fn late(&self, poison: usize) -> usize {
        let Some(third) = self.ends[poison].get(2) else { return 0 };
        let is_late = |at: &&u64| **at > third + STABILITY_WINDOW;
        self.arrivals[poison].iter().filter(is_late).count()
    }
}

struct Model {
    scenario: Scenario,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    ledgers: Vec<Ledger>,
    /// The key of each server's present incarnation; `None` while it is down.
    servers: Vec<Option<u32>>,
    next_key: u32,
    runs: Vec<Option<Run>>,
    by_server: Vec<Vec<usize>>,
    messages: Vec<Vec<Notice>>,
    summary: Summary,
}

fn identity(kind: Kind) -> Identity {
    let path = format!("{kind:?}");
    Identity::new(&Parts { method: "GET", host: b"h", path: &path, caller: &[], body: b"" })
}

impl Model {
    fn run(scenario: Scenario) -> Summary {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let ledgers = (0..scenario.nodes).map(|_| Ledger::new(rng.random())).collect();
        let mut model = Self {
            scenario,
            rng,
            queue: BinaryHeap::new(),
            count: 0,
            ledgers,
            servers: (0..scenario.servers as u32).map(Some).collect(),
            next_key: scenario.servers as u32,
            runs: Vec::new(),
            by_server: vec![Vec::new(); scenario.servers],
            messages: Vec::new(),
            summary: Summary {
                ends: vec![Vec::new(); scenario.poisons],
                arrivals: vec![Vec::new(); scenario.poisons],
                ..Summary::default()
            },
        };
        model.draw();
        while let Some(Reverse((now, _, event))) = model.queue.pop() {
            model.handle(now, event);
        }
        model.summary
    }

    /// Draws what comes from outside.
    fn draw(&mut self) {
        let Scenario { seconds, nodes, .. } = self.scenario;
        let mut number = 0;
        self.draw_times(OTHERS_PER_SECOND, |model, at| {
            number += 1;
            let is_popular = model.rng.random_bool(1.0 / 3.0);
            let kind = if is_popular { Kind::Popular } else { Kind::Other(number) };
            model.arrive(at, kind);
        });
        for poison in 0..self.scenario.poisons {
            let mut at = self.rng.random_range(0..POISON_INTERVAL);
            while at < seconds * SECOND {
                self.arrive(at, Kind::Poison(poison));
                at += POISON_INTERVAL + self.rng.random_range(0..MAX_POISON_DELAY);
            }
        }
        let rate = self.scenario.random_ends_per_second;
        self.draw_times(rate, |model, at| {
            let server = model.rng.random_range(0..model.scenario.servers);
            model.push(at, Event::ServerEnds { server });
        });
        for node in 0..nodes {
            for beat in 0..seconds * SECOND / BEAT {
                self.push(beat * BEAT + node as u64 * 997 % BEAT, Event::Beat { node });
            }
        }
        if let Some(at) = self.scenario.restart_at {
            self.push(at, Event::Restart);
        }
    }

    fn draw_times(&mut self, rate: f64, mut at: impl FnMut(&mut Self, u64)) {
        if rate <= 0.0 {
            return;
        }
        let mut now = 0.0;
        loop {
            now += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            if now >= self.scenario.seconds as f64 {
                return;
            }
            at(self, (now * SECOND as f64) as u64);
        }
    }

    fn arrive(&mut self, at: u64, kind: Kind) {
        let node = self.rng.random_range(0..self.scenario.nodes);
        self.push(at, Event::Arrive { kind, node, attempts: 0 });
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive { kind, node, attempts } => self.on_arrival(now, kind, node, attempts),
            Event::RunEnds { run, server } => self.on_run_end(now, run, server),
            Event::ServerEnds { server } => self.on_server_end(now, server),
            Event::ServerStarts { server } => {
                self.servers[server] = Some(self.next_key);
                self.next_key += 1;
            }
            Event::Proof { node, server, requests } => {
                for request in requests {
                    let change =
                        self.ledgers[node].server_ended(Time::from_micros(now), request, server);
                    self.on_change(now, node, change);
                }
            }
            Event::Deliver { node, message } => {
                for notice in &self.messages[message] {
                    self.ledgers[node].on_notice(Time::from_micros(now), notice);
                }
            }
            Event::Beat { node } => {
                if self.ledgers[node].is_fresh(Time::from_micros(now)) {
                    let targets = (0..BEAT_TARGETS.min(self.scenario.nodes))
                        .map(|offset| (node + 1 + offset * 7) % self.scenario.nodes);
                    self.send(now, node, targets.collect());
                }
            }
            Event::Repeat { node } => {
                self.send(now, node, (0..self.scenario.nodes).collect());
            }
            Event::Restart => {
                let nodes = 0..self.scenario.nodes;
                self.ledgers = nodes.map(|_| Ledger::new(self.rng.random())).collect();
                self.runs.iter_mut().for_each(|run| *run = None);
            }
        }
    }

    fn on_arrival(&mut self, now: u64, kind: Kind, node: usize, attempts: u32) {
        let identity = identity(kind);
        match self.ledgers[node].standing(Time::from_micros(now), identity) {
            Standing::Held => {
                return self.push(now + 15 * MILLI, Event::Arrive { kind, node, attempts });
            }
            Standing::Blocked { .. } => return self.ended(kind, |summary| &mut summary.refused),
            Standing::TrialDue => panic!("a run is shorter than a block"),
            Standing::Clear | Standing::Suspect => {}
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].is_some()).collect();
        if up.is_empty() || attempts >= MAX_ATTEMPTS {
            return self.ended(kind, |summary| &mut summary.failed);
        }
        let server = up[self.rng.random_range(0..up.len())];
        let known = self.ledgers[node].ends(identity);
        let counts = self.ledgers[node].run_begins(Time::from_micros(now), identity);
        let run = self.runs.len();
        self.runs.push(Some(Run { kind, identity, node, known, counts, attempts: attempts + 1 }));
        self.by_server[server].push(run);
        let takes = self.rng.random_range(20..120) * MILLI;
        if let Kind::Poison(number) = kind {
            self.summary.arrivals[number].push(now);
        }
        self.push(now + takes, Event::RunEnds { run, server });
    }

    fn ended(&mut self, kind: Kind, count: impl Fn(&mut Summary) -> &mut usize) {
        if !matches!(kind, Kind::Poison(_)) {
            *count(&mut self.summary) += 1;
        }
    }

    fn on_run_end(&mut self, now: u64, run: usize, server: usize) {
        let Some(ended) = self.runs[run].clone() else { return };
        if let Kind::Poison(number) = ended.kind {
            self.summary.ends[number].push(now);
            return self.on_server_end(now, server);
        }
        self.runs[run] = None;
        if ended.counts {
            self.ledgers[ended.node].run_ends(ended.identity);
        }
        self.by_server[server].retain(|other| *other != run);
        let change = self.ledgers[ended.node].answered(Time::from_micros(now), ended.identity);
        self.on_change(now, ended.node, change);
        self.ended(ended.kind, |summary| &mut summary.served);
    }

    fn on_server_end(&mut self, now: u64, server: usize) {
        let Some(key) = self.servers[server].take() else { return };
        self.push(now + DOWN_TIME, Event::ServerStarts { server });
        let mut proofs: Vec<Vec<Identity>> = vec![Vec::new(); self.scenario.nodes];
        for run in std::mem::take(&mut self.by_server[server]) {
            let Some(run) = self.runs[run].take() else { continue };
            if run.counts {
                self.ledgers[run.node].run_ends(run.identity);
            }
            self.ledgers[run.node].leg_broke_off(
                Time::from_micros(now),
                run.identity,
                key,
                0,
                run.known,
            );
            proofs[run.node].push(run.identity);
            let Run { kind, node, attempts, .. } = run;
            self.push(now + MILLI, Event::Arrive { kind, node, attempts });
        }
        for (node, requests) in proofs.into_iter().enumerate().filter(|(_, r)| !r.is_empty()) {
            self.push(now + PROOF_TIME, Event::Proof { node, server: key, requests });
        }
    }

    fn on_change(&mut self, now: u64, node: usize, change: Change) {
        if change != Change::Nothing {
            self.send(now, node, (0..self.scenario.nodes).collect());
            self.push(now + REPEAT_DELAY, Event::Repeat { node });
        }
    }

    fn send(&mut self, now: u64, from: usize, targets: Vec<usize>) {
        let message = self.messages.len();
        self.messages.push(self.ledgers[from].notices(Time::from_micros(now), now / BEAT));
        for node in targets {
            if node != from && !self.rng.random_bool(self.scenario.loss) {
                let delay = self.rng.random_range(MILLI..20 * MILLI);
                self.push(now + delay, Event::Deliver { node, message });
            }
        }
    }
}

/// Guards against nodes that each learn alone what a request does: few servers end under it,
/// whatever the number of nodes.
#[test]
fn one_request_ends_few_servers_at_any_number_of_nodes() {
    for (nodes, seeds) in [(1, 40), (3, 40), (6, 40), (60, 4), (300, 1)] {
        for seed in 0..seeds {
            let summary = Model::run(Scenario { seed, nodes, ..SCENARIO });
            let ended = summary.ends[0].len();
            assert!(ended <= 5, "{ended} ended, {nodes} nodes, seed {seed}");
            assert_eq!(summary.late(0), 0, "{nodes} nodes, seed {seed}");
        }
    }
}

/// Guards against a popular request, or one that ran beside, that is refused since servers end by
/// themselves.
#[test]
fn no_other_request_is_refused_when_servers_end_by_themselves() {
    for seed in 0..1000 {
        let rate = [0.5, 1.0, 2.0, 4.0][seed as usize % 4];
        let scenario = Scenario {
            seed,
            seconds: 10,
            poisons: seed as usize % 2,
            random_ends_per_second: rate,
            ..SCENARIO
        };
        let summary = Model::run(scenario);
        assert_eq!(summary.refused, 0, "seed {seed}, {rate} servers a second");
    }
}

/// Guards against callers who get errors since another caller's request ends servers.
#[test]
fn others_are_served_beside_requests_that_end_servers() {
    for (poisons, min_served) in [(1, 0.98), (3, 0.95)] {
        for seed in 0..20 {
            let summary = Model::run(Scenario { seed, poisons, servers: 20, ..SCENARIO });
            let served = summary.served_fraction();
            assert!(served >= min_served, "{served:.3} served, {poisons} requests, seed {seed}");
        }
    }
}

/// Guards against a fleet that ends many servers again after all nodes were killed.
#[test]
fn restart_of_all_nodes_costs_three_servers_more() {
    for seed in 0..40 {
        let restart_at = Some(10 * SECOND);
        let summary = Model::run(Scenario { seed, restart_at, ..SCENARIO });
        let later = summary.ends[0].iter().filter(|at| **at > 10 * SECOND).count();
        assert!(later <= 3, "{later} ended after the restart, seed {seed}");
    }
}

/// Guards against what is never repeated: half of all datagrams are lost.
#[test]
fn lost_datagrams_cost_few_servers() {
    for seed in 0..40 {
        let summary = Model::run(Scenario { seed, loss: 0.5, ..SCENARIO });
        let ended = summary.ends[0].len();
        assert!(ended <= 6, "{ended} ended, seed {seed}");
        assert_eq!(summary.late(0), 0, "seed {seed}");
    }
}
