//! Nodes, searches and servers in virtual time: a search that ends each server that runs it, beside
//! ordinary searches, and servers that end at the same moment for another reason.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::event::Action;
use gather::event::Balancer;
use gather::event::Cause;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Outcome;
use gather::event::Response;
use gather::machine::Machine;
use gather::plan::Plan;
use poison::identity::Identity;
use poison::identity::Parts;
use poison::ledger::Change;
use poison::ledger::Ledger;
use poison::ledger::Standing;
use poison::notice::Notice;
use replica::table::Selection;

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLI;
const REPLICAS: usize = 3;
const DOWN_TIME: u64 = 3 * SECOND;
const PROOF_TIME: u64 = 12 * MILLI;
const REPEAT_DELAY: u64 = 50 * MILLI;
const POISON_INTERVAL: u64 = 300 * MILLI;
/// How long a run takes: servers end about 100 ms after its start, when the hedges of ordinary
/// searches were due long ago.
const POISON_TIME: Range<u64> = 60 * MILLI..120 * MILLI;
const ORDINARY_TIME: Range<u64> = 10 * MILLI..30 * MILLI;
const LOSS: f64 = 0.1;
/// The identity of the search that is sent by many callers; the others are sent once.
const POPULAR: u64 = 0;

#[derive(Clone, Copy, Debug)]
struct Scenario {
    seed: u64,
    nodes: usize,
    shards: usize,
    seconds: u64,
    /// The number of searches that end servers, which come in turn; none if zero.
    poisons: u64,
    /// The mean interval between ordinary searches.
    ordinary_interval: u64,
    /// When servers end for another reason, and which fraction of them.
    outage: Option<(u64, f64)>,
}

const SCENARIO: Scenario = Scenario {
    seed: 1,
    nodes: 6,
    shards: 10,
    seconds: 20,
    poisons: 1,
    ordinary_interval: 50 * MILLI,
    outage: None,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Poison(u64),
    Ordinary(u64),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(Kind),
    Wake { search: usize, at: u64 },
    RunEnds { run: usize },
    Outage,
    ServerStarts(usize),
    Proof { node: usize, server: u32, identities: Vec<Identity> },
    Deliver { node: usize, message: usize },
    Repeat { node: usize },
}

struct Search {
    machine: Machine<()>,
    kind: Kind,
    identity: Identity,
    node: usize,
    answered: bool,
    /// Whether its node knew of no end of a server when it began.
    is_first: bool,
    began: u64,
    is_trial: bool,
    wake: u64,
}

struct Run {
    search: usize,
    attempt: Attempt,
    server: usize,
    known: usize,
    counts: bool,
}

/// The servers that are up, all idle.
struct Servers<'a> {
    keys: &'a [Option<u32>],
    rng: &'a mut ChaCha8Rng,
    standing: Standing,
    has_recent_end: bool,
}

impl Balancer for Servers<'_> {
    fn choose(
        &mut self,
        _now: Time,
        service: Service,
        usual: Duration,
        tried: &[Server],
    ) -> Option<Selection> {
        let first = service.as_u32() * REPLICAS as u32;
        let servers = (first..first + REPLICAS as u32).map(Server::from_u32);
        let is_free = |s: &Server| self.keys[s.as_u32() as usize].is_some() && !tried.contains(s);
        let up: Vec<Server> = servers.filter(is_free).collect();
        let server = *up.get(self.rng.random_range(0..up.len().max(1)))?;
        Some(Selection { server, expected_latency: usual, saturated: false })
    }

    fn accepts_at(&mut self, _now: Time, _service: Service) -> Option<Time> {
        None
    }

    fn standing(&mut self, _now: Time) -> Standing {
        self.standing
    }

    fn has_recent_end(&mut self, _now: Time) -> bool {
        self.has_recent_end
    }

    fn first_send(&mut self, _now: Time, _service: Service) {}

    fn used_fraction(&mut self, _now: Time, _service: Service) -> f64 {
        0.0
    }

    fn take_extra(&mut self, _now: Time, _service: Service) -> bool {
        true
    }

    fn refund(&mut self, _now: Time, _service: Service, _taken: Time) {}
}

#[derive(Debug, Default)]
struct Summary {
    /// The servers that searches ended, by shard: those that began before their node knew of any
    /// such end, and all others.
    first_ended: Vec<usize>,
    ended: Vec<usize>,
    served: usize,
    failed: usize,
    refused: usize,
    /// When those of the two began, and when the last server was ended of [`Self::first_ended`].
    lost_at: Vec<u64>,
    first_until: u64,
    /// The ordinary searches that were refused since they were blocked.
    blocked: usize,
}

impl Summary {
    fn total(&self) -> usize {
        self.ended.iter().sum()
    }

    fn first_total(&self) -> usize {
        self.first_ended.iter().sum()
    }

    fn lost(&self) -> usize {
        self.failed + self.refused - self.first_lost()
    }

    /// The searches lost that began before the last server of the first moment ended.
    fn first_lost(&self) -> usize {
        self.lost_at.iter().filter(|at| **at < self.first_until).count()
    }
}

struct Model {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Step)>>,
    count: u64,
    ledgers: Vec<Ledger>,
    /// The key of each server's present incarnation; `None` while it is down.
    keys: Vec<Option<u32>>,
    next_key: u32,
    searches: Vec<Search>,
    runs: Vec<Option<Run>>,
    messages: Vec<Vec<Notice>>,
    summary: Summary,
}

impl Model {
    fn run(scenario: Scenario) -> Summary {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let servers = scenario.shards * REPLICAS;
        let mut model = Self {
            scenario,
            ledgers: (0..scenario.nodes).map(|_| Ledger::new(rng.random())).collect(),
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            count: 0,
            keys: (0..servers as u32).map(Some).collect(),
            next_key: servers as u32,
            searches: Vec::new(),
            runs: Vec::new(),
            messages: Vec::new(),
            summary: Summary {
                first_ended: vec![0; scenario.shards],
                ended: vec![0; scenario.shards],
                ..Summary::default()
            },
        };
        model.draw();
        while let Some(Reverse((now, _, step))) = model.queue.pop() {
            model.now = now;
            model.step(step);
        }
        model.summary
    }

    fn draw(&mut self) {
        let end = self.scenario.seconds * SECOND;
        let interval = self.scenario.ordinary_interval;
        for number in 1..end / interval {
            let is_popular = self.rng.random_bool(1.0 / 3.0);
            let jitter = self.rng.random_range(0..interval);
            let kind = Kind::Ordinary(if is_popular { POPULAR } else { number });
            self.push(number * interval + jitter, Step::Arrive(kind));
        }
        for number in 1..end / POISON_INTERVAL {
            if let Some(poison) = number.checked_rem(self.scenario.poisons) {
                let at = number * POISON_INTERVAL + self.rng.random_range(0..60 * MILLI);
                self.push(at, Step::Arrive(Kind::Poison(poison)));
            }
        }
        if let Some((at, _)) = self.scenario.outage {
            self.push(at, Step::Outage);
        }
    }

    fn push(&mut self, at: u64, step: Step) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, step)));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(kind) => self.arrive(kind),
            Step::Wake { search, at } if self.searches[search].wake == at => {
                self.handle(search, Event::Timer)
            }
            Step::Wake { .. } => {}
            Step::RunEnds { run } => self.run_ends(run),
            Step::Outage => {
                let fraction = self.scenario.outage.map_or(0.0, |(_, fraction)| fraction);
                for server in 0..self.keys.len() {
                    if self.rng.random_bool(fraction) {
                        self.end_server(server);
                    }
                }
            }
            Step::ServerStarts(server) => {
                self.keys[server] = Some(self.next_key);
                self.next_key += 1;
            }
            Step::Proof { node, server, identities } => {
                for identity in identities {
                    let now = Time::from_micros(self.now);
                    let change = self.ledgers[node].server_ended(now, identity, server);
                    self.on_change(node, change);
                }
            }
            Step::Deliver { node, message } => {
                for notice in &self.messages[message] {
                    self.ledgers[node].on_notice(Time::from_micros(self.now), notice);
                }
                if self.ledgers[node].take_cleared() {
                    self.on_change(node, Change::Cleared { was_blocked: true });
                }
            }
            Step::Repeat { node } => self.send(node),
        }
    }

    fn arrive(&mut self, kind: Kind) {
        let node = self.rng.random_range(0..self.scenario.nodes);
        let path = format!("{kind:?}");
        let parts = Parts { method: "GET", host: b"h", path: &path, caller: &[], body: b"" };
        let identity = Identity::new(&parts);
        let now = Time::from_micros(self.now);
        let is_trial = self.ledgers[node].standing(now, identity) == Standing::TrialDue;
        if is_trial {
            self.ledgers[node].begin_trial(now, identity);
            self.on_change(node, Change::Suspected { ends: 0 });
        }
        let plan = Plan {
            services: (0..self.scenario.shards as u32).map(Service::from_u32).collect(),
            min_services: self.scenario.shards,
            idempotent: true,
            max_attempts: 2,
            soft_deadline: now + Duration::from_millis(500),
            deadline: now + Duration::from_millis(900),
            usual_service_time: Duration::from_millis(20),
            own_work: Duration::ZERO,
        };
        let machine = Machine::new(plan);
        let wake = u64::MAX;
        let answered = false;
        let is_first = !self.ledgers[node].has_recent_end(now);
        self.searches.push(Search {
            machine,
            kind,
            identity,
            node,
            answered,
            is_first,
            began: self.now,
            is_trial,
            wake,
        });
        self.handle(self.searches.len() - 1, Event::Start);
    }

    fn standing(&self, search: &Search) -> Standing {
        if search.is_trial {
            return Standing::Suspect;
        }
        self.ledgers[search.node].standing(Time::from_micros(self.now), search.identity)
    }

    fn handle(&mut self, index: usize, event: Event<()>) {
        let standing = self.standing(&self.searches[index]);
        let ledger = &self.ledgers[self.searches[index].node];
        let has_recent_end = ledger.has_recent_end(Time::from_micros(self.now));
        let (keys, rng) = (&self.keys, &mut self.rng);
        let mut balancer = Servers { keys, rng, standing, has_recent_end };
        let mut actions = Vec::new();
        let machine = &mut self.searches[index].machine;
        machine.handle(Time::from_micros(self.now), event, &mut balancer, &mut actions);
        for action in actions {
            match action {
                Action::Send { attempt, selection, .. } => {
                    self.start_run(index, attempt, selection)
                }
                Action::Wake(at) => {
                    let at = at.micros().max(self.now);
                    self.searches[index].wake = at;
                    self.push(at, Step::Wake { search: index, at });
                }
                Action::Finish(response) => self.finish(index, response),
            }
        }
    }

    fn start_run(&mut self, index: usize, attempt: Attempt, selection: Selection) {
        let search = &mut self.searches[index];
        search.is_trial = false;
        let ledger = &mut self.ledgers[search.node];
        let known = ledger.ends(search.identity);
        let counts = ledger.run_begins(Time::from_micros(self.now), search.identity);
        let server = selection.server.as_u32() as usize;
        self.runs.push(Some(Run { search: index, attempt, server, known, counts }));
        let is_poison = matches!(search.kind, Kind::Poison(_));
        let takes = if is_poison { POISON_TIME } else { ORDINARY_TIME };
        let takes = self.rng.random_range(takes);
        self.push(self.now + takes, Step::RunEnds { run: self.runs.len() - 1 });
    }

    fn run_ends(&mut self, run: usize) {
        let Some(Run { search, server, .. }) = self.runs[run] else { return };
        if matches!(self.searches[search].kind, Kind::Poison(_)) {
            if self.searches[search].is_first {
                self.summary.first_until = self.now;
            }
            let ended = match self.searches[search].is_first {
                true => &mut self.summary.first_ended,
                false => &mut self.summary.ended,
            };
            ended[server / REPLICAS] += 1;
            return self.end_server(server);
        }
        let Some(Run { attempt, counts, .. }) = self.runs[run].take() else { return };
        let (node, identity) = (self.searches[search].node, self.searches[search].identity);
        self.searches[search].answered = true;
        if counts {
            self.ledgers[node].run_ends(identity);
        }
        let change = self.ledgers[node].answered(Time::from_micros(self.now), identity);
        self.on_change(node, change);
        self.handle(search, Event::Answered { attempt, reply: () });
    }

    fn end_server(&mut self, server: usize) {
        let Some(key) = self.keys[server].take() else { return };
        self.push(self.now + DOWN_TIME, Step::ServerStarts(server));
        let mut proofs: Vec<Vec<Identity>> = vec![Vec::new(); self.scenario.nodes];
        let mut broken = Vec::new();
        for run in &mut self.runs {
            broken.extend(run.take_if(|run| run.server == server));
        }
        for run in &broken {
            let search = &self.searches[run.search];
            let ledger = &mut self.ledgers[search.node];
            if run.counts {
                ledger.run_ends(search.identity);
            }
            if search.answered {
                ledger.answered_broke_off(Time::from_micros(self.now), search.identity, key);
            } else {
                let shard = (server / REPLICAS) as u32;
                ledger.leg_broke_off(
                    Time::from_micros(self.now),
                    search.identity,
                    key,
                    shard,
                    run.known,
                );
            }
            proofs[search.node].push(search.identity);
        }
        for (node, identities) in proofs.into_iter().enumerate().filter(|(_, i)| !i.is_empty()) {
            self.push(self.now + PROOF_TIME, Step::Proof { node, server: key, identities });
        }
        for Run { search, attempt, .. } in broken {
            self.handle(search, Event::Ended { attempt, completion: Completion::Unknown });
        }
    }

    fn finish(&mut self, index: usize, response: Response<()>) {
        let search = &self.searches[index];
        if matches!(search.kind, Kind::Poison(_)) {
            return;
        }
        let is_blocked = response.missing.iter().any(|(_, cause)| *cause == Cause::Poison);
        self.summary.blocked += usize::from(is_blocked);
        let is_lost = !matches!(response.outcome, Outcome::Answer(_));
        if is_lost {
            self.summary.lost_at.push(search.began);
        }
        match response.outcome {
            Outcome::Answer(_) => self.summary.served += 1,
            Outcome::NotRun => self.summary.refused += 1,
            _ => self.summary.failed += 1,
        }
    }

    fn on_change(&mut self, node: usize, change: Change) {
        if change != Change::Nothing {
            self.send(node);
            self.push(self.now + REPEAT_DELAY, Step::Repeat { node });
        }
    }

    fn send(&mut self, from: usize) {
        let message = self.messages.len();
        self.messages
            .push(self.ledgers[from].notices(Time::from_micros(self.now), self.now / SECOND));
        for node in (0..self.scenario.nodes).filter(|node| *node != from) {
            if !self.rng.random_bool(LOSS) {
                let delay = self.rng.random_range(MILLI..20 * MILLI);
                self.push(self.now + delay, Step::Deliver { node, message });
            }
        }
    }
}

/// Guards against shard requests that are sent or hedged, here or at other nodes, though others of
/// the same search have ended their servers or may be about to.
#[test]
fn search_ends_one_server_of_each_shard_and_few_more() {
    let mut too_much = Vec::new();
    for (shards, nodes) in [(10, 1), (10, 6), (10, 18), (36, 1), (36, 6), (36, 18)] {
        let run = |seed| Model::run(Scenario { seed, nodes, shards, ..SCENARIO });
        let runs: Vec<Summary> = (0..20).map(run).collect();
        let ended = runs.iter().map(Summary::total).max().unwrap_or(0);
        let first = runs.iter().map(Summary::first_total).max().unwrap_or(0);
        let of_shard = runs.iter().flat_map(|run| run.ended.iter().copied()).max().unwrap_or(0);
        let lost: usize = runs.iter().map(Summary::lost).sum();
        let first_lost: usize = runs.iter().map(Summary::first_lost).sum();
        let all = lost + first_lost + runs.iter().map(|run| run.served).sum::<usize>();
        println!(
            "{shards} shards, {nodes} nodes: {first} first, {ended} ended, {first_lost} lost first, {lost} later"
        );
        if first > 2 * shards || first_lost > runs.len() || ended > 14 || lost * 1000 > all {
            let what = format!("{shards} shards, {nodes} nodes: {first} first, {ended} ended");
            too_much.push(format!("{what}, {of_shard} of one shard, {lost} of {all} lost"));
        }
    }
    assert!(too_much.is_empty(), "{too_much:#?}");
}

/// Guards against searches that are refused since servers ended at the same moment for another
/// reason.
#[test]
fn no_search_is_refused_when_many_servers_end_together() {
    for seed in 0..100 {
        let fraction = [0.2, 0.4][seed as usize % 2];
        let outage = Some((SECOND, fraction));
        let interval = 10 * MILLI;
        let summary = Model::run(Scenario {
            seed,
            poisons: 0,
            seconds: 3,
            ordinary_interval: interval,
            outage,
            ..SCENARIO
        });
        assert_eq!(summary.blocked, 0, "seed {seed}, {fraction} of the servers");
    }
}

/// Guards against an outage of a whole service that blocks the searches that ran there.
#[test]
fn outage_blocks_no_search() {
    let mut blocked = Vec::new();
    let mut all = 0;
    for seed in 0..40 {
        let summary = Model::run(Scenario {
            seed,
            poisons: 0,
            seconds: 10,
            ordinary_interval: 5 * MILLI,
            outage: Some((2 * SECOND, 1.0)),
            ..SCENARIO
        });
        all += summary.served + summary.failed + summary.refused;
        if summary.blocked > 0 {
            blocked.push((seed, summary.blocked));
        }
    }
    assert!(blocked.is_empty(), "of {all}: {blocked:?}");
}
