//! Nodes that divide one customer's rate, with a network that loses and delays datagrams. Time
//! goes in steps of 5 ms.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use share::bound::Bound;
use share::usage::Book;
use share::usage::Fleet;
use share::usage::Peer;
use share::usage::Rate;
use share::usage::Usage;

pub const KEY: u32 = 7;
pub const STEP: Duration = Duration::from_millis(5);
pub const BOUND: Bound = Bound { window: Duration::from_secs(5), factor: 1.1, slack: 20.0 };
const HEARTBEAT: Duration = Duration::from_millis(400);
const SILENT_AFTER: Duration = Duration::from_millis(1200);
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

pub struct Node {
    pub book: Book,
    incarnation: u64,
    heard: Vec<Option<Time>>,
    next_heartbeat: Time,
    /// It runs from then on; until then it is frozen or has crashed.
    pub runs_at: Time,
    starts: bool,
    reports_use_at: Option<Time>,
}

/// What one node knows of the others.
struct View<'a> {
    own: usize,
    serving: usize,
    heard: &'a [Option<Time>],
    now: Time,
}

pub fn address(node: usize) -> IpAddr {
    Ipv4Addr::from_bits(0x0a00_0001 + node as u32).into()
}

impl Fleet for View<'_> {
    fn own(&self) -> IpAddr {
        address(self.own)
    }

    fn is_serving(&self) -> bool {
        self.own < self.serving
    }

    fn standby_nodes(&self) -> u32 {
        (self.heard.len() - self.serving) as u32
    }

    fn others(&self) -> Vec<Peer> {
        let peer = |node: usize| {
            let silence = self.now.since(self.heard[node]?);
            (node != self.own && silence < FORGOTTEN_AFTER).then(|| Peer {
                ip: address(node),
                is_present: silence <= SILENT_AFTER,
                reports: true,
            })
        };
        (0..self.serving).filter_map(peer).collect()
    }
}

type Message = (usize, usize, u64, Vec<(u32, u32, u32, u32)>);

pub struct Net {
    pub now: Time,
    pub rate: Rate,
    pub nodes: Vec<Node>,
    pub serving: usize,
    /// The first nodes, which the others don't hear, and until when.
    pub cut: (usize, Time),
    pub random: ChaCha8Rng,
    messages: BinaryHeap<Reverse<(Time, u64, Message)>>,
    sent: u64,
}

impl Net {
    pub fn new(seed: u64, nodes: usize, serving: usize, rate: Rate) -> Self {
        let mut net = Self {
            now: Time::ZERO,
            rate,
            nodes: Vec::new(),
            serving,
            cut: (0, Time::ZERO),
            random: ChaCha8Rng::seed_from_u64(seed),
            messages: BinaryHeap::new(),
            sent: 0,
        };
        for _ in 0..nodes {
            let node = net.new_node(nodes);
            net.nodes.push(node);
        }
        net
    }

    fn new_node(&mut self, nodes: usize) -> Node {
        let mut book = Book::new(BOUND);
        book.set_rate(self.now, KEY, self.rate);
        Node {
            book,
            incarnation: self.random.random(),
            heard: vec![None; nodes],
            next_heartbeat: self.now + STEP * self.random.random_range(0..80),
            runs_at: self.now,
            starts: false,
            reports_use_at: None,
        }
    }

    pub fn crash(&mut self, node: usize, down: Duration) {
        self.nodes[node].runs_at = self.now + down;
        self.nodes[node].starts = true;
    }

    pub fn freeze(&mut self, node: usize, span: Duration) {
        self.nodes[node].runs_at = self.now + span;
    }

    pub fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
        self.nodes.iter_mut().for_each(|node| node.book.set_rate(self.now, KEY, rate));
    }

    pub fn runs(&self, node: usize) -> bool {
        self.nodes[node].runs_at <= self.now
    }

    /// Lets a request in at `node`, unless it refuses or is down.
    pub fn take(&mut self, node: usize) -> Option<Result<(), Time>> {
        self.runs(node).then(|| self.nodes[node].book.take(self.now, KEY))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (first, until) = self.cut;
        self.now >= until || (from < first) == (to < first)
    }

    /// Starts nodes that return; before this, frozen nodes have had their requests.
    pub fn begin_step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.nodes.len() {
            if self.nodes[index].starts && self.runs(index) {
                self.nodes[index] = self.new_node(self.nodes.len());
            }
        }
    }

    /// Delivers datagrams and heartbeats, and sends reports.
    pub fn end_step(&mut self) {
        while self.messages.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, _, message))) = self.messages.pop() else { break };
            let (from, to, incarnation, usages) = message;
            if self.runs(to) {
                let usage = |(key, used, demand, level)| Usage {
                    key,
                    used,
                    demand: f32::from_bits(demand),
                    level: f32::from_bits(level),
                };
                let usages: Vec<Usage> = usages.into_iter().map(usage).collect();
                self.nodes[to].book.on_report(self.now, address(from), incarnation, &usages);
                self.nodes[to].heard[from] = Some(self.now);
                if from >= self.serving {
                    self.nodes[from].reports_use_at = Some(self.now);
                }
            }
        }
        for index in 0..self.nodes.len() {
            if !self.runs(index) {
                continue;
            }
            if self.nodes[index].next_heartbeat <= self.now {
                self.heartbeat(index);
            }
            if self.nodes[index].book.is_report_due(self.now) {
                self.report(index);
            }
        }
    }

    fn heartbeat(&mut self, index: usize) {
        if index < self.serving {
            for to in 0..self.nodes.len() {
                if self.runs(to) && self.reaches(index, to) && self.random.random_bool(0.97) {
                    self.nodes[to].heard[index] = Some(self.now);
                }
            }
        }
        let (now, serving) = (self.now, self.serving);
        let node = &mut self.nodes[index];
        node.next_heartbeat = now + HEARTBEAT;
        node.book.divide(now, &View { own: index, serving, heard: &node.heard, now });
    }

    fn report(&mut self, index: usize) {
        let usages = self.nodes[index].book.report(self.now);
        assert!(usages.len() <= share::usage::MAX_USAGES);
        let bits = |u: &Usage| (u.key, u.used, u.demand.to_bits(), u.level.to_bits());
        let usages: Vec<_> = usages.iter().map(bits).collect();
        let incarnation = self.nodes[index].incarnation;
        for to in 0..self.nodes.len() {
            let hears = to < self.serving
                || self.nodes[to]
                    .reports_use_at
                    .is_some_and(|at| self.now.since(at) < FORGOTTEN_AFTER);
            if to == index || !hears || !self.reaches(index, to) || self.random.random_bool(0.03) {
                continue;
            }
            let most = if self.random.random_bool(0.02) { 300 } else { 40 };
            let delay = Duration::from_millis(self.random.random_range(10..=most));
            self.sent += 1;
            let message = (index, to, incarnation, usages.clone());
            self.messages.push(Reverse((self.now + delay, self.sent, message)));
        }
    }
}
