//! Limits that servers name, divided among many nodes in virtual time: what all of them send
//! together, and how much of a limit is used.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::DATA_CENTRES;
use crate::support::heartbeat;
use crate::support::locality;
use crate::support::members;
use crate::support::peer;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use entry::members::HEARTBEAT_INTERVAL;
use entry::members::Heartbeat;
use entry::members::Members;
use entry::members::Peer;
use replica::cold;
use replica::cold::Warmup;
use replica::limit::Stated;
use replica::record::Record;
use replica::table::Observation;
use replica::table::Table;
use share::bound::Bound;
use share::limit::Limit;
use share::part;
use share::part::Claim;
use share::part::Report;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

mod support;

const SERVICE_TIME: Duration = Duration::from_millis(10);
/// The span over which sends are counted, and the time after which they must keep to a limit.
const SPAN: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);

/// A deployment whose nodes ask one shard for more than its limited servers take.
struct Scenario {
    nodes: usize,
    /// The limit of each server; `None` for a server without one.
    limits: Vec<Option<f64>>,
    /// The requests per second of node `number`, `seconds` after the start.
    demand: fn(number: usize, seconds: f64) -> f64,
    /// Whether node `number` runs, `seconds` after the start; one that runs again has restarted.
    runs: fn(number: usize, seconds: f64) -> bool,
    /// The fraction of the heartbeats that are lost.
    loss: f64,
    /// What each server bears because it is cold; `None` if they are warm.
    cold: Option<f64>,
    seconds: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 6,
            limits: vec![Some(30.0), None],
            demand: |_, _| 20.0,
            runs: |_, _| true,
            loss: 0.02,
            cold: None,
            seconds: 24,
        }
    }
}

/// What the servers got.
struct Outcome {
    scenario: Scenario,
    /// When each server got requests.
    arrivals: Vec<Vec<Time>>,
}

impl Outcome {
    /// The most requests that a server got in any span that begins after the settling time.
    fn most(&self, server: usize) -> usize {
        let times = &self.arrivals[server];
        let from = times.partition_point(|at| *at < Time::ZERO + SPAN * 2);
        let within = |first: usize| {
            times[first..].iter().take_while(|at| at.since(times[first]) < SPAN).count()
        };
        (from..times.len()).map(within).max().unwrap_or_default()
    }

    /// Checks that each server got at most one and a half times its limit, and 5, in each span.
    fn assert_within_limits(&self, pattern: &str) {
        for (server, limit) in self.scenario.limits.iter().enumerate() {
            let Some(limit) = limit else { continue };
            let allowed = limit * SPAN.as_secs_f64() * 1.5 + 5.0;
            let most = self.most(server);
            assert!(most as f64 <= allowed, "{pattern}: {most} at a limit of {limit}");
        }
    }

    /// Checks that each server got at most one and a half times what it bears while it is cold, and
    /// 5, in any second. Returns the least fraction of it that a server got in the last two thirds.
    fn assert_within_warmup(&self, pattern: &str) -> f64 {
        let bears = self.scenario.cold.expect("cold servers");
        let bound = Bound { window: Duration::from_secs(1), factor: 1.5, slack: 5.0 };
        let from = Time::ZERO + Duration::from_secs(self.scenario.seconds / 3);
        let seconds = (self.scenario.seconds - self.scenario.seconds / 3) as f64;
        let mut least = f64::INFINITY;
        for times in &self.arrivals {
            let within = |first: usize| {
                times[first..].iter().take_while(|at| at.since(times[first]) < bound.window).count()
            };
            let most = (0..times.len()).map(within).max().unwrap_or_default();
            let allowed = bound.requests(bears, 0.0);
            assert!(most as f64 <= allowed, "{pattern}: {most} in a second at {bears}");
            let sent = times.iter().filter(|at| **at >= from).count() as f64;
            least = least.min(sent / seconds / bears);
        }
        least
    }

    /// The fraction of a server's limit that was used in the last two thirds of the time.
    fn used_fraction(&self, server: usize) -> f64 {
        let from = Time::ZERO + Duration::from_secs(self.scenario.seconds / 3);
        let sent = self.arrivals[server].iter().filter(|at| **at >= from).count() as f64;
        let seconds = (self.scenario.seconds - self.scenario.seconds / 3) as f64;
        sent / seconds / self.scenario.limits[server].unwrap_or(f64::INFINITY)
    }
}

struct Node {
    peer: Peer,
    started: Time,
    members: Members,
    table: Table,
    service: Service,
    servers: Vec<Server>,
    /// Heartbeats on their way: when they arrive, and from whom.
    inbox: VecDeque<(Time, IpAddr, Heartbeat)>,
    number: u64,
}

impl Node {
    fn new(now: Time, peer: &Peer, others: &[Peer], scenario: &Scenario) -> Self {
        let data_centre = DATA_CENTRES.iter().position(|(name, _)| *name == &*peer.data_centre);
        let mut table = Table::new(
            locality(data_centre.unwrap_or_default()),
            peer.rank().1.to_string().len() as u64,
        );
        let service = table.intern_service(&Arc::from("desk"));
        let time = scenario.cold.map_or(Duration::ZERO, |_| Duration::from_secs(3600));
        let per_second = scenario.cold.unwrap_or_default();
        table.set_warmup(Time::ZERO, service, Warmup { time, per_second });
        for number in 0..scenario.limits.len() {
            let entry = Entry {
                incarnation: Incarnation { id: Arc::from(format!("s{number}")), born: 1 },
                service: Arc::from("desk"),
                address: "10.9.0.1:80".parse().expect("an address"),
                data_centre: Arc::from(DATA_CENTRES[number % DATA_CENTRES.len()].0),
                slots: 64,
                draining: false,
                warmup: time,
            };
            table.apply(Time::ZERO, &Change::Up(entry));
        }
        let servers = table.servers_of(service).collect();
        let mut members = members(peer);
        others.iter().for_each(|other| members.add_peer(other.clone()));
        let inbox = VecDeque::new();
        Self {
            peer: peer.clone(),
            started: now,
            members,
            table,
            service,
            servers,
            inbox,
            number: 0,
        }
    }

    /// The node's own clock, which starts with it.
    fn clock(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.started)
    }

    fn divide(&mut self, now: Time) {
        let (members, own) = (&self.members, &self.peer);
        let quota = |server: u32, record: &Record, limit: &Limit| {
            let claim = Claim {
                ip: own.ip,
                is_near: own.data_centre == record.data_centre,
                is_present: true,
                demand: Some(limit.demand()),
            };
            let others = members.claims(now, server, &record.data_centre);
            part::serving(limit.per_second, server, claim, &others, 0)
        };
        let cold_quota = |key: u32, record: &Record, limit: &Limit| {
            let claim = Claim {
                ip: own.ip,
                is_near: own.data_centre == record.data_centre,
                is_present: true,
                demand: Some(limit.demand()),
            };
            cold::quota(limit, key, claim, &members.claims(now, key, &record.data_centre))
        };
        self.table.divide_limits(now, quota);
        self.table.divide_cold(now, cold_quota);
    }

    fn heartbeat(&self, now: Time) -> Heartbeat {
        let report = |server: u32, limit: &Limit| Report {
            server,
            per_second: limit.per_second as f32,
            demand: limit.demand() as f32,
            age_ms: limit.age(now).as_millis() as u32,
        };
        let named = self.table.limited().map(|(s, limit)| report(self.table.key(s), limit));
        let cold = self.table.cold(now).map(|(s, limit)| report(self.table.cold_key(s), limit));
        let limits = named.chain(cold).collect();
        Heartbeat { limits, ..heartbeat(&self.peer, self.started.micros()) }
    }

    fn receive(&mut self, now: Time) {
        let clock = self.clock(now);
        while self.inbox.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, from, heartbeat)) = self.inbox.pop_front() else { return };
            for report in &heartbeat.limits {
                let heard_at = clock.before(Duration::from_millis(u64::from(report.age_ms)));
                let per_second = f64::from(report.per_second);
                self.table.limit_reported(clock, report.server, heard_at, per_second);
            }
            self.members.on_heartbeat(clock, from, heartbeat);
        }
    }

    /// Sends a request if a server may be chosen for it; returns that server.
    fn request(&mut self, now: Time, limits: &[Option<f64>]) -> Option<usize> {
        let clock = self.clock(now);
        let choice = self.table.choose(clock, self.service, SERVICE_TIME, 0.0, &[])?;
        let server = self.servers.iter().position(|server| *server == choice.server)?;
        self.table.started(clock, choice.server);
        self.table.sent(clock, choice.server, false);
        let replied = clock + SERVICE_TIME;
        let stated = limits[server].map_or(Stated::Absent, Stated::PerSecond);
        let change = self.table.limit_stated(replied, choice.server, clock, stated);
        let observation = Observation::Replied { load: None };
        self.table.observe(replied, choice.server, clock, clock, SERVICE_TIME, observation);
        if change == replica::limit::Change::Named {
            self.divide(clock);
        }
        Some(server)
    }
}

fn simulate(scenario: Scenario) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let peers: Vec<Peer> =
        (0..scenario.nodes).map(|number| peer(number % 4, number, 500)).collect();
    let servers = scenario.limits.len();
    let start = |now, number: usize| Node::new(now, &peers[number], &peers, &scenario);
    let mut nodes: Vec<Option<Node>> =
        (0..peers.len()).map(|n| Some(start(Time::ZERO, n))).collect();
    let mut arrivals = vec![Vec::new(); servers];
    let mut now = Time::ZERO;
    while now < Time::ZERO + Duration::from_secs(scenario.seconds) {
        let seconds = now.since(Time::ZERO).as_secs_f64();
        for number in 0..nodes.len() {
            match (&nodes[number], (scenario.runs)(number, seconds)) {
                (None, true) => nodes[number] = Some(start(now, number)),
                (Some(_), false) => nodes[number] = None,
                _ => {}
            }
            let Some(node) = nodes[number].as_mut() else { continue };
            node.receive(now);
            let clock = node.clock(now);
            // Heartbeats of the nodes are not sent at the same time.
            let offset = STEP * (number as u32 * 7 % 80);
            let due = HEARTBEAT_INTERVAL * node.number as u32 + offset;
            if now.since(node.started) >= due {
                node.divide(clock);
                let beat = node.heartbeat(clock);
                let (ip, data_centre, beat_number) = (node.peer.ip, number % 4, node.number);
                node.number += 1;
                for (other, receiver) in nodes.iter_mut().enumerate() {
                    let is_far = (other % 4) / 2 != data_centre / 2;
                    let is_sent = other != number && (!is_far || beat_number.is_multiple_of(3));
                    if let Some(receiver) = receiver
                        && is_sent
                        && rng.random::<f64>() >= scenario.loss
                    {
                        let at = now + Duration::from_millis(if is_far { 8 } else { 1 });
                        receiver.inbox.push_back((at, ip, beat.clone()));
                    }
                }
            }
            let Some(node) = nodes[number].as_mut() else { continue };
            let expected = (scenario.demand)(number, seconds) * STEP.as_secs_f64();
            let requests = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
            for _ in 0..requests {
                if let Some(server) = node.request(now, &scenario.limits) {
                    arrivals[server].push(now);
                }
            }
        }
        now = now + STEP;
    }
    Outcome { scenario, arrivals }
}

/// Pattern: any number of nodes, each with more requests than the limit allows. Guards against
/// nodes that each keep to the limit alone.
#[test]
fn sum_of_all_nodes_keeps_to_the_limit() {
    for nodes in [1, 6, 60] {
        for limit in [1.0, 4.0, 34.0, 300.0, 3000.0] {
            let limits = vec![Some(limit), None];
            let outcome = simulate(Scenario { nodes, limits, ..Scenario::default() });
            outcome.assert_within_limits(&format!("{nodes} nodes"));
        }
    }
}

/// Pattern: a limit below one request a node a second. Guards against nodes that all use it at
/// once, and against a limit that no node uses.
#[test]
fn limit_below_one_request_a_node_is_kept_and_used() {
    for nodes in [6, 60] {
        for limit in [1.0, 2.5] {
            let limits = vec![Some(limit), None];
            let scenario = Scenario { nodes, limits, seconds: 60, ..Scenario::default() };
            let outcome = simulate(scenario);
            outcome.assert_within_limits(&format!("{nodes} nodes"));
            let used = outcome.used_fraction(0);
            assert!(used >= 0.9, "{nodes} nodes use {used} of {limit}");
        }
    }
}

/// Pattern: one node has nearly all of the load. Guards against a limit that is divided evenly,
/// so that the shares of the others are lost.
#[test]
fn limit_is_used_by_the_nodes_that_need_it() {
    let demand = |number, _| if number == 0 { 80.0 } else { 0.5 };
    let outcome = simulate(Scenario { demand, ..Scenario::default() });
    outcome.assert_within_limits("uneven load");
    let used = outcome.used_fraction(0);
    assert!(used >= 0.9, "used {used}");
}

/// Pattern: the load moves from some nodes to others and back. Guards against parts that several
/// nodes use at the same time while it moves.
#[test]
fn load_that_moves_between_nodes_keeps_to_the_limit() {
    let demand = |number: usize, seconds: f64| {
        let turn = (seconds / 3.0) as usize % 2;
        if number % 2 == turn { 60.0 } else { 0.0 }
    };
    for limit in [6.0, 40.0, 120.0] {
        let limits = vec![Some(limit), None];
        simulate(Scenario { demand, limits, ..Scenario::default() })
            .assert_within_limits("moving load");
    }
}

/// Pattern: all servers of a shard name limits. Guards against requests that are moved on to
/// other limited servers beyond their limits, and against limits that stay unused.
#[test]
fn all_servers_of_a_shard_are_limited() {
    let limits = vec![Some(20.0), Some(35.0), Some(10.0)];
    let outcome = simulate(Scenario { limits, ..Scenario::default() });
    outcome.assert_within_limits("all limited");
    for server in 0..3 {
        let used = outcome.used_fraction(server);
        assert!(used >= 0.9, "server {server}: used {used}");
    }
}

/// Pattern: nodes die while they hold parts, and start again. Guards against parts that are used
/// twice when the others take them over.
#[test]
fn nodes_that_die_and_restart_keep_to_the_limit() {
    let runs =
        |number: usize, seconds: f64| number.is_multiple_of(2) || !(9.0..12.0).contains(&seconds);
    for limit in [5.0, 60.0] {
        let limits = vec![Some(limit), None];
        simulate(Scenario { runs, limits, ..Scenario::default() })
            .assert_within_limits("deaths and restarts");
    }
}

/// Pattern: a third of the heartbeats is lost. Guards against parts of silent nodes that others
/// use.
#[test]
fn lost_heartbeats_keep_to_the_limit() {
    for limit in [5.0, 60.0] {
        let limits = vec![Some(limit), None];
        simulate(Scenario { loss: 0.33, limits, ..Scenario::default() })
            .assert_within_limits("lost heartbeats");
    }
}

/// Pattern: a data centre returns cold while each node has more requests than the servers bear.
/// Guards against nodes whose kept tokens add up to more than a cold server bears in a second, and
/// against a rate that stays unused.
#[test]
fn cold_servers_under_full_load_keep_to_their_rate_and_use_it() {
    for nodes in [6, 60, 300] {
        for bears in [4.0, 12.5, 60.0, 300.0] {
            let limits = vec![None, None];
            // Ten times what both servers bear, over all nodes.
            let demand = match nodes {
                6 => |_: usize, _: f64| 1000.0,
                60 => |_: usize, _: f64| 100.0,
                _ => |_: usize, _: f64| 20.0,
            };
            let cold = Some(bears);
            let scenario = Scenario { nodes, limits, demand, cold, ..Scenario::default() };
            let pattern = format!("{nodes} nodes");
            let used = simulate(scenario).assert_within_warmup(&pattern);
            assert!(used >= 0.8, "{pattern}: used {used} of {bears}");
        }
    }
}

/// Pattern: the load on cold servers moves between nodes, which also die and lose heartbeats.
/// Guards against parts that two nodes use at the same time.
#[test]
fn cold_servers_keep_to_their_rate_while_load_moves() {
    let demand = |number: usize, seconds: f64| {
        let turn = (seconds / 3.0) as usize % 2;
        if number % 2 == turn { 120.0 } else { 0.0 }
    };
    let runs = |number: usize, seconds: f64| number != 1 || !(9.0..12.0).contains(&seconds);
    for bears in [4.0, 12.5, 60.0, 300.0] {
        let (limits, cold) = (vec![None], Some(bears));
        let scenario = Scenario { demand, runs, limits, cold, loss: 0.2, ..Scenario::default() };
        simulate(scenario).assert_within_warmup("moving load");
    }
}

/// Pattern: many nodes, each with about as few requests as its part. Guards against a rate that
/// stays unused because only nodes with little demand have a part of it.
#[test]
fn cold_servers_use_their_rate_with_little_demand_a_node() {
    for bears in [4.0, 12.5] {
        let (limits, cold) = (vec![None, None], Some(bears));
        let demand = |_: usize, _: f64| 5.0;
        let scenario =
            Scenario { nodes: 300, limits, demand, cold, seconds: 12, ..Scenario::default() };
        let used = simulate(scenario).assert_within_warmup("300 nodes");
        assert!(used >= 0.8, "used {used} of {bears}");
    }
}
