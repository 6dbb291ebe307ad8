//! Failure detection with killed, frozen and partitioned nodes, including one-way loss.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use peer::member::INDIRECT_PROBES;
use peer::member::Settings;
use peer::member::Table;
use peer::record::Addresses;
use peer::record::Departure;
use peer::record::Record;
use peer::record::State;
use wire::id::Incarnation;

const NODES: usize = 6;
const PERIOD: Duration = Duration::from_millis(500);
/// Enough periods to probe every member, for suspicions to time out, and for both
/// changes to spread.
const SETTLE_PERIODS: u32 = 30;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Killed,
    Frozen,
    /// Messages from it are lost.
    LosesSent,
    /// Messages to it are lost.
    LosesReceived,
    /// Partitioned from one other node, both ways.
    Pair,
}

const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::Killed,
    Fault::Frozen,
    Fault::LosesSent,
    Fault::LosesReceived,
    Fault::Pair,
];

struct Net {
    tables: Vec<Table>,
    faults: Vec<Fault>,
    probes: BTreeMap<usize, u32>,
    /// Whether the two halves of the nodes are partitioned from each other.
    split: bool,
    now: Time,
}

fn record(number: usize) -> Record {
    let at = SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16));
    let addresses = Addresses { caller: at, peer: at, operator: at };
    let name = format!("node-{number}").into();
    let mut record =
        Record::new(name, Incarnation(number as u64), addresses, "dc".into(), "region".into());
    record.state = State::Alive;
    record.fresh = true;
    record
}

impl Net {
    fn new(seed: u64) -> Self {
        let all: Vec<Record> = (0..NODES).map(record).collect();
        let mut tables = Vec::new();
        for own in &all {
            let mut table = Table::new(own.clone(), Settings::default(), seed ^ own.incarnation.0);
            table.merge(all.clone(), Time::ZERO);
            tables.push(table);
        }
        let (faults, probes) = (vec![Fault::None; NODES], BTreeMap::new());
        Self { tables, faults, probes, split: false, now: Time::ZERO }
    }

    fn is_running(&self, node: usize) -> bool {
        !matches!(self.faults[node], Fault::Killed | Fault::Frozen)
    }

    fn delivers(&self, from: usize, to: usize) -> bool {
        let pair = |a: usize, b: usize| self.faults[a] == Fault::Pair && b == (a + 1) % NODES;
        let halves = self.split && (from < NODES / 2) != (to < NODES / 2);
        let cut = pair(from, to) || pair(to, from) || halves;
        let lost = self.faults[from] == Fault::LosesSent || self.faults[to] == Fault::LosesReceived;
        self.is_running(from) && self.is_running(to) && !cut && !lost
    }

    /// Sends one probe. The receiver handles it even if its answer is lost.
    fn probe(&mut self, from: usize, to: usize) -> bool {
        let peer = self.tables[to].own().peer;
        let mut sent = self.tables[from].suspicions(peer);
        sent.push(self.tables[from].own().clone());
        sent.extend(self.tables[from].rumors());
        if !self.delivers(from, to) {
            return false;
        }
        self.tables[to].merge(sent, self.now);
        if !self.delivers(to, from) {
            return false;
        }
        let answer = self.tables[to].own().clone();
        let asker = self.tables[from].own().peer;
        let mut rumors = self.tables[to].suspicions(asker);
        rumors.extend(self.tables[to].rumors());
        self.tables[from].on_ack(Incarnation(to as u64), answer, self.now);
        self.tables[from].merge(rumors, self.now);
        true
    }

    fn run_period(&mut self) {
        self.now = self.now + PERIOD;
        for node in (0..NODES).filter(|node| self.is_running(*node)).collect::<Vec<usize>>() {
            self.tables[node].tick(self.now);
            let Some(target) = self.tables[node].next_probe() else { continue };
            *self.probes.entry(node).or_default() += 1;
            let to = target.incarnation.0 as usize;
            let direct = self.probe(node, to);
            let relays = self.tables[node].sample(INDIRECT_PROBES, Some(target.incarnation));
            let relayed = relays.iter().map(|relay| relay.incarnation.0 as usize).any(|relay| {
                self.delivers(node, relay)
                    && self.delivers(relay, to)
                    && self.delivers(to, relay)
                    && self.delivers(relay, node)
            });
            if !direct && !relayed {
                self.tables[node].on_probe_failed(target.incarnation, self.now);
            }
        }
    }

    fn states_of(&self, node: usize) -> Vec<State> {
        let known =
            |other: &usize| self.tables[*other].get(Incarnation(node as u64)).map(|r| r.state);
        let others =
            (0..NODES).filter(|other| *other != node && self.faults[*other] == Fault::None);
        others.filter_map(|other| known(&other)).collect()
    }
}

#[test]
fn pairs_of_faults_are_detected_and_healthy_nodes_stay() {
    for first in FAULTS {
        for second in FAULTS {
            for seed in 0..10 {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                let mut net = Net::new(seed);
                (0..random.random_range(1..10)).for_each(|_| net.run_period());
                net.faults[1] = first;
                net.faults[4] = second;
                (0..SETTLE_PERIODS).for_each(|_| net.run_period());
                let what = format!("{first:?} {second:?} seed {seed}");
                for (node, fault) in [(1, first), (4, second)] {
                    let gone = !matches!(fault, Fault::None | Fault::Pair);
                    let expected = if gone { State::Dead } else { State::Alive };
                    assert!(
                        net.states_of(node).iter().all(|s| *s == expected),
                        "{what}: {:?}",
                        net.states_of(node)
                    );
                }
                for node in [0, 2, 3, 5] {
                    assert!(
                        net.states_of(node).iter().all(|s| *s == State::Alive),
                        "{what}: node {node}"
                    );
                }
            }
        }
    }
}

#[test]
fn frozen_node_resumes_not_fresh_and_rejoins() {
    for seed in 0..20 {
        let mut net = Net::new(seed);
        net.run_period();
        net.faults[1] = Fault::Frozen;
        (0..SETTLE_PERIODS).for_each(|_| net.run_period());
        net.faults[1] = Fault::None;
        let outcome = net.tables[1].tick(net.now);
        assert!(outcome.resumed);
        assert!(!net.tables[1].own().fresh, "its objects may be out of date");
        assert!(!net.tables[1].peers_before_pause().is_empty(), "it has addresses to join through");
        assert!(net.probe(1, 0), "it joins through a peer that it knew");
        net.tables[1].update(|own| own.state = State::Alive);
        (0..SETTLE_PERIODS).for_each(|_| net.run_period());
        assert!(
            net.states_of(1).iter().all(|state| *state == State::Alive),
            "seed {seed}: {:?}",
            net.states_of(1)
        );
    }
}

#[test]
fn partitioned_halves_merge_again() {
    let mut net = Net::new(1);
    net.split = true;
    (0..SETTLE_PERIODS).for_each(|_| net.run_period());
    assert!(net.states_of(0).contains(&State::Dead));
    net.split = false;
    for node in 0..NODES {
        // The task that joins tries the addresses of dead members, too.
        let dead = |r: &&Record| r.state == State::Dead;
        let dead: Vec<u64> =
            net.tables[node].others().filter(dead).map(|r| r.incarnation.0).collect();
        for other in dead {
            net.probe(node, other as usize);
        }
    }
    (0..SETTLE_PERIODS).for_each(|_| net.run_period());
    for node in 0..NODES {
        assert!(
            net.states_of(node).iter().all(|s| *s == State::Alive),
            "{:?}",
            net.states_of(node)
        );
    }
}

#[test]
fn each_node_probes_once_a_period() {
    let mut net = Net::new(1);
    (0..40).for_each(|_| net.run_period());
    assert!(net.probes.values().all(|count| *count == 40), "{:?}", net.probes);
}

#[test]
fn old_records_change_nothing() {
    let mut net = Net::new(1);
    let old = net.tables[1].own().clone();
    net.tables[1].update(|own| own.leave = Departure::Going);
    let leaving = net.tables[1].own().clone();
    let (table, now) = (&mut net.tables[0], Time::ZERO);
    table.merge(vec![leaving, old.clone()], now);
    let known = |table: &Table| table.get(Incarnation(1)).cloned().expect("a member");
    assert_eq!(known(table).leave, Departure::Going);
    let mut forged = old;
    forged.sequence += 5;
    table.merge(vec![forged], now);
    assert_eq!(known(table).leave, Departure::Going, "a departure is never undone");
}

#[test]
fn new_incarnation_at_an_address_ends_the_old_one() {
    let mut net = Net::new(1);
    let mut restarted = record(1);
    restarted.incarnation = Incarnation(77);
    net.tables[0].on_ack(Incarnation(1), restarted, Time::ZERO);
    let state = |incarnation| net.tables[0].get(Incarnation(incarnation)).map(|r| r.state);
    assert_eq!(state(1), Some(State::Dead));
    assert_eq!(state(77), Some(State::Alive));
}

/// A node that was suspected while it was frozen, however briefly, is not fresh when it
/// resumes: changes were not pushed to it meanwhile.
#[test]
fn frozen_node_that_was_suspected_is_not_fresh() {
    for periods in 2..=8 {
        for seed in 0..20 {
            let mut net = Net::new(seed);
            (0..4).for_each(|_| net.run_period());
            net.faults[1] = Fault::Frozen;
            (0..periods).for_each(|_| net.run_period());
            let suspected = net.states_of(1).iter().any(|state| *state != State::Alive);
            net.faults[1] = Fault::None;
            net.tables[1].tick(net.now);
            let claims = net.tables[1].own().is_lookup_eligible();
            assert!(!suspected || !claims, "seed {seed}, {periods} periods");
        }
    }
}

#[test]
fn node_that_refutes_a_suspicion_is_not_fresh() {
    let mut net = Net::new(1);
    let mut claim = net.tables[1].own().clone();
    claim.state = State::Suspect;
    net.tables[1].merge(vec![claim], net.now);
    assert!(!net.tables[1].own().fresh);
    assert!(net.tables[1].tick(net.now).suspected, "it must compare with a peer");
    assert!(!net.tables[1].tick(net.now).suspected, "once");
}
