//! The use of customers' rates: the messages and the book of all keys. No I/O.
//!
//! A request is admitted from this node's share or from the common bucket, see
//! [`crate::common`]. Keys without recent use are in no queue, and their entries are brought up to
//! date only when they are used again.
//!
//! Invariant: over all nodes, no window admits more than [`Bound::requests`], also where nodes
//! don't hear each other: their shares add up to the rate.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::bound::Bound;
use crate::common::Access;
use crate::common::Common;
use crate::common::REPORT_DELAY;
use crate::limit::Limit;
use crate::limit::Quota;
use base::time::Time;

/// What a node reports of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// A stable hash of the customer's name.
    pub key: u32,
    /// The requests that the node's incarnation has admitted, without those that were given back;
    /// wraps around.
    pub used: u32,
    /// The requests per second that the node would admit without a limit.
    pub demand: f32,
    /// The tokens in the common bucket, as the node estimates them.
    pub level: f32,
}

/// What a customer may use over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_second: f64,
    /// The requests that may come at once.
    pub burst: f64,
}

/// What all nodes together would use of a key's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// The key.
    pub key: u32,
    /// The requests per second that all nodes would admit without the rate, as far as this one
    /// knows.
    pub per_second: f64,
    /// The rate, in requests per second.
    pub rate: f64,
    /// This node's share of it, in requests per second.
    pub share: f64,
}

/// Another node that serves, or that served a short time ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Its IP address.
    pub ip: IpAddr,
    /// Whether its heartbeats arrive.
    pub is_present: bool,
    /// Whether it reports its use; a node of an earlier build does not.
    pub reports: bool,
}

/// What the division needs to know of the nodes.
pub trait Fleet {
    /// This node's address.
    fn own(&self) -> IpAddr;
    /// Whether this node serves or stands by.
    fn is_serving(&self) -> bool;
    /// The number of standby nodes, this one included if it stands by.
    fn standby_nodes(&self) -> u32;
    /// The other serving nodes, also those that have been silent for less than 20 s.
    fn others(&self) -> Vec<Peer>;
}

/// The maximum number of keys in one report: each takes at most 21 bytes in MessagePack, and a
/// datagram has 1,400.
pub const MAX_USAGES: usize = 64;
/// The minimum interval between two reports.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The interval of reports that are not urgent: that of heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// How often a count is sent, since datagrams are lost.
const SENDS: u32 = 3;
/// Without a call of [`Book::divide`] for so long, the process was frozen: three heartbeats.
const MAX_DIVIDE_INTERVAL: Duration = Duration::from_millis(1200);
/// The others keep the share of a silent node for 20 s. A node that hears only a minority gives its
/// share up so long after it noticed that, which takes up to 1.6 s, so that none of the others has
/// forgotten it yet.
const LEASE: Duration = Duration::from_secs(17);
/// Nodes that were silent for so long when they were forgotten have not announced that they leave.
const MIN_SILENCE: Duration = Duration::from_secs(10);
/// How long forgotten nodes count for a node that hears less than half of the others: longer than
/// most partitions and than it takes to replace VMs.
const REMEMBERED_TIME: Duration = Duration::from_secs(600);
/// How long a node that has just started, or hears the others again, takes their levels.
const LEARNING_TIME: Duration = Duration::from_millis(1000);
/// How long a node counts as using a key after its last use.
const ACTIVE_TIME: Duration = Duration::from_millis(1500);
/// While the demand is above [`OVERLOAD`] times the rate, users report every 50 to 100 ms. The part of
/// one that was not heard for this time is reserved before its heartbeats are missed, which takes
/// up to 1.6 s: in a partition both sides would use the whole rate until then.
const OVERDUE_TIME: Duration = Duration::from_millis(800);
/// Load below the rate that moves between nodes counts twice for a moment, but not this often.
const OVERLOAD: f64 = 1.5;
/// How long a standby node is surely told of others' use after its own: somewhat less than the 20 s
/// for which they remember its reports.
const TOLD_TIME: Duration = Duration::from_secs(15);
/// How long the counts of a key are kept after its last use at any node.
const KEPT_TIME: Duration = Duration::from_secs(60);
/// A node that begins to use a key, while the fleet's demand is below the rate, may have the requests
/// of so much time unreported: twice the interval of reports, since requests come unevenly.
const NEW_USE: Duration = Duration::from_millis(100);
/// The maximum number of nodes whose counts of a key are kept.
const MAX_NODES: usize = 512;
/// The fraction of the tolerance that is granted as a higher rate.
const GRANTED_FRACTION: f64 = 0.3;
/// The shares of all nodes together keep the tokens of this fraction of the tolerance.
const SHARE_FRACTION: f64 = 0.3;
/// The tokens that a small share keeps, see [`crate::limit::burst`].
const MIN_SHARE_TOKENS: f64 = 2.0;
/// The unreported requests that a standby node may start with.
const STANDBY_LEVEL: f64 = 2.0;

/// How a key's bound is used: a part of the tolerance is granted as a higher rate, since a request
/// within the bound need not be refused; the rest is for what nodes don't know of each other.
#[derive(Clone, Copy, Debug)]
struct Grant {
    rate: Rate,
    tolerance: f64,
}

impl Grant {
    fn new(bound: &Bound, rate: Rate) -> Self {
        let tolerance = bound.tolerance(rate.per_second, rate.burst);
        let granted = tolerance * GRANTED_FRACTION;
        let per_second = rate.per_second + granted / bound.window.as_secs_f64();
        Self { rate: Rate { per_second, ..rate }, tolerance: tolerance - granted }
    }
}

/// What another node has reported of a key.
#[derive(Clone, Copy, Debug)]
struct Count {
    node: IpAddr,
    incarnation: u64,
    used: u32,
    demand: f64,
    /// When a report last had a new count.
    used_at: Time,
    /// When it began to use the key after a time without use.
    active_since: Time,
}

impl Count {
    fn is_active(&self, now: Time) -> bool {
        now.since(self.used_at) < ACTIVE_TIME
    }
}

/// What is known of one key.
#[derive(Clone, Debug)]
struct Entry {
    /// What is granted of the rate and the tolerance, see [`Grant`].
    rate: Rate,
    tolerance: f64,
    /// The rate alone, in requests per second.
    own_rate: f64,
    limit: Limit,
    /// This node's count, see [`Usage::used`].
    used: u32,
    /// When this node last admitted or refused a request, and since when it does so.
    used_at: Option<Time>,
    active_since: Time,
    counts: Vec<Count>,
    /// When a standby node, which is not told of others' use before it reports some, began to use
    /// it.
    learning_since: Option<Time>,
    /// The division that this entry's share and access are of.
    divided: Option<u64>,
    /// This node's share of the rate and that of all silent nodes, as fractions.
    fractions: (f64, f64),
    /// How often the present count is still to be sent.
    sends_left: u32,
    /// Whether it is in the queue of counts that were not sent yet, and of those to be repeated.
    is_queued: bool,
    is_repeated: bool,
}

impl Entry {
    fn new(now: Time, rate: Rate, tolerance: f64) -> Self {
        let common = Common::new(now, rate, tolerance);
        Self {
            rate,
            tolerance,
            own_rate: rate.per_second,
            limit: Limit::new(now, now, rate.per_second).with_common(common),
            used: 0,
            used_at: None,
            active_since: now,
            counts: Vec::new(),
            learning_since: None,
            divided: None,
            fractions: (0.0, 0.0),
            sends_left: 0,
            is_queued: false,
            is_repeated: false,
        }
    }

    fn is_active(&self, now: Time) -> bool {
        self.used_at.is_some_and(|at| now.since(at) < ACTIVE_TIME)
    }

    /// Marks a use by this node; returns whether it is the first one in a while.
    fn mark_use(&mut self, now: Time) -> bool {
        let is_first = !self.is_active(now);
        if is_first {
            self.active_since = now;
        }
        self.used_at = Some(now);
        is_first
    }

    fn is_learning(&self, now: Time) -> bool {
        self.learning_since.is_some_and(|since| now.since(since) < LEARNING_TIME)
    }

    /// When this node or another one last used it.
    fn last_use(&self) -> Option<Time> {
        self.counts.iter().map(|count| count.used_at).chain(self.used_at).max()
    }

    /// What other nodes that use it would admit without the rate, in requests per second, and how
    /// many nodes use it, this one included.
    fn others(&self, now: Time) -> (usize, f64) {
        let active = self.counts.iter().filter(|count| count.is_active(now));
        active.fold((1, 0.0), |(users, demand), count| (users + 1, demand + count.demand))
    }

    fn demand(&self, now: Time, key: u32) -> Demand {
        // The meter stands still while no request comes.
        let own = if self.is_active(now) { self.limit.demand() } else { 0.0 };
        let per_second = own + self.others(now).1;
        Demand { key, per_second, rate: self.own_rate, share: self.own_rate * self.fractions.0 }
    }

    fn lower(&mut self, now: Time, level: f64) {
        if let Some(common) = self.limit.common_mut() {
            common.lower(now, level);
        }
    }
}

/// The nodes, as of the last division.
#[derive(Clone, Debug, Default)]
struct Nodes {
    is_serving: bool,
    /// The hashes of this node's address, of those of all serving nodes and of those whose shares
    /// are reserved, since they are silent or don't report their use.
    own: u64,
    hashes: Vec<u64>,
    silent: Vec<u64>,
    /// The others, and since when each of them is silent.
    known: Vec<(IpAddr, Option<Time>)>,
    /// Whether this node hears half of the others.
    is_connected: bool,
    /// Since when it does not.
    lost_since: Option<Time>,
    /// Whether others may have divided its share among them, as they form a majority without it.
    is_lapsed: bool,
    divided_at: Option<Time>,
    /// Since when it hears them, or its start.
    learning_since: Time,
    /// The number of divisions.
    number: u64,
}

impl Nodes {
    /// Whether the common buckets may be used: always where there is no fleet.
    fn is_open(&self, now: Time) -> bool {
        self.divided_at.is_none_or(|at| self.is_connected && now.since(at) < MAX_DIVIDE_INTERVAL)
    }

    fn is_learning(&self, now: Time) -> bool {
        now.since(self.learning_since) < LEARNING_TIME
    }

    fn count(&self) -> usize {
        self.hashes.len().max(1)
    }

    /// Takes in the other nodes. Returns them with those that were forgotten after a long silence:
    /// they count while this node hears less than half of all, since it may be the one that is cut
    /// off.
    fn set_others(&mut self, now: Time, mut others: Vec<Peer>, is_serving: bool) -> Vec<Peer> {
        let present = others.iter().filter(|peer| peer.is_present).count();
        let frozen_at = self.divided_at.filter(|at| now.since(*at) >= MAX_DIVIDE_INTERVAL);
        let is_forgotten = |(ip, since): &(IpAddr, Option<Time>)| {
            let silence = since.or(frozen_at).map(|since| now.since(since));
            silence.is_some_and(|silence| (MIN_SILENCE..REMEMBERED_TIME).contains(&silence))
                && others.iter().all(|peer| peer.ip != *ip)
        };
        let forgotten: Vec<IpAddr> =
            self.known.iter().filter(|known| is_forgotten(known)).map(|(ip, _)| *ip).collect();
        self.is_connected = 2 * present >= others.len() + forgotten.len();
        if !self.is_connected {
            let peer = |ip| Peer { ip, is_present: false, reports: true };
            others.extend(forgotten.into_iter().map(peer));
        }
        let before: HashMap<IpAddr, Option<Time>> = self.known.drain(..).collect();
        let silent_since = |ip| before.get(&ip).copied().flatten().or(frozen_at).unwrap_or(now);
        let known = |peer: &Peer| (peer.ip, (!peer.is_present).then(|| silent_since(peer.ip)));
        self.known = others.iter().map(known).collect();
        let lost_since = self.lost_since.or(frozen_at).unwrap_or(now);
        self.lost_since = (!self.is_connected).then_some(lost_since);
        let own = usize::from(is_serving);
        let is_minority = 2 * (present + own) < others.len() + own;
        self.is_lapsed = is_minority && self.lost_since.is_some_and(|at| now.since(at) >= LEASE);
        others
    }

    /// The share of `own` in a key's rate, as a fraction, and that of all silent nodes.
    fn fractions(&self, key: u32, tolerance: f64) -> (f64, f64) {
        let most = (tolerance * SHARE_FRACTION / MIN_SHARE_TOKENS) as usize;
        let holders = self.count().min(most.max(1));
        let fraction = 1.0 / holders as f64;
        if holders == self.count() {
            return (fraction, fraction * self.silent.len() as f64);
        }
        let ranks = || self.hashes.iter().map(|hash| rank(*hash, key));
        let holds = |hash: u64| {
            let own = rank(hash, key);
            ranks().filter(|other| *other < own).count() < holders
        };
        let silent = self.silent.iter().filter(|hash| holds(**hash)).count();
        (if holds(self.own) { fraction } else { 0.0 }, fraction * silent as f64)
    }
}

/// The rates of all keys, and what is known of their use.
#[derive(Clone, Debug)]
pub struct Book {
    bound: Bound,
    entries: HashMap<u32, Entry>,
    nodes: Nodes,
    /// The keys that were used a short time ago, here or at other nodes.
    active: HashSet<u32>,
    /// The keys whose present count was not sent yet, and those whose count is to be repeated.
    fresh: VecDeque<u32>,
    repeated: VecDeque<u32>,
    is_urgent: bool,
    reported_at: Option<Time>,
    /// When the last report that was not urgent began, and what is left of it.
    round_at: Option<Time>,
    round_left: usize,
}

impl Book {
    /// A book without keys; `bound` holds for each key over all nodes.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            entries: HashMap::new(),
            nodes: Nodes::default(),
            active: HashSet::new(),
            fresh: VecDeque::new(),
            repeated: VecDeque::new(),
            is_urgent: false,
            reported_at: None,
            round_at: None,
            round_left: 0,
        }
    }

    /// Sets the rate of a key, new or known.
    pub fn set_rate(&mut self, now: Time, key: u32, rate: Rate) {
        let own_rate = rate.per_second;
        let Grant { rate, tolerance } = Grant::new(&self.bound, rate);
        let entry = self.entries.entry(key).or_insert_with(|| Entry::new(now, rate, tolerance));
        entry.rate = rate;
        entry.tolerance = tolerance;
        entry.own_rate = own_rate;
        entry.divided = None;
        entry.limit.per_second = rate.per_second;
        if let Some(common) = entry.limit.common_mut() {
            common.set_rate(now, rate, tolerance);
        }
        refresh(&self.nodes, now, key, entry);
    }

    /// Removes a key; its requests are admitted without a limit.
    pub fn remove(&mut self, key: u32) {
        // Reports pass over it in the queues.
        self.entries.remove(&key);
        self.active.remove(&key);
    }

    /// The keys that have a rate.
    pub fn keys(&self) -> impl Iterator<Item = u32> {
        self.entries.keys().copied()
    }

    /// The demand for each key that was used a short time ago, here or at other nodes.
    pub fn demands(&self, now: Time) -> impl Iterator<Item = Demand> {
        self.active.iter().filter_map(move |key| self.demand(now, *key))
    }

    /// The demand for a key; `None` if it has no rate.
    pub fn demand(&self, now: Time, key: u32) -> Option<Demand> {
        self.entries.get(&key).map(|entry| entry.demand(now, key))
    }

    /// Whether no key has a rate.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Lets a request in and takes its token, or says when there is room. A key without a rate
    /// has no limit.
    pub fn take(&mut self, now: Time, key: u32) -> Result<(), Time> {
        let Some(entry) = self.entries.get_mut(&key) else { return Ok(()) };
        let is_open = self.nodes.is_open(now);
        let is_told = entry.used_at.is_some_and(|at| now.since(at) < TOLD_TIME);
        let is_first = entry.mark_use(now);
        self.active.insert(key);
        if !is_told && !self.nodes.is_serving && self.nodes.divided_at.is_some() {
            entry.learning_since = Some(now);
            entry.lower(now, STANDBY_LEVEL);
        }
        // A frozen process may be called before `divide`.
        if is_first || entry.divided != Some(self.nodes.number) || !is_open {
            refresh(&self.nodes, now, key, entry);
        }
        entry.limit.ask();
        if !entry.limit.admits(now, false) {
            return Err(entry.limit.promise(now));
        }
        entry.limit.take(now);
        entry.used = entry.used.wrapping_add(1);
        let is_urgent = is_first
            || entry.limit.common().is_some_and(|common| common.is_urgent(now, REPORT_INTERVAL));
        self.queue(key, is_urgent);
        Ok(())
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(&mut self, now: Time, key: u32) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.limit.give_back(now);
        entry.used = entry.used.wrapping_sub(1);
        self.queue(key, false);
    }

    fn queue(&mut self, key: u32, is_urgent: bool) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.sends_left = SENDS;
        if !entry.is_queued {
            entry.is_queued = true;
            self.fresh.push_back(key);
        }
        self.is_urgent |= is_urgent;
    }

    /// Whether [`Self::report`] should be called now.
    pub fn is_report_due(&self, now: Time) -> bool {
        let is_after = |at: Option<Time>, span| at.is_none_or(|at| now.since(at) >= span);
        let has_counts = !self.fresh.is_empty() || !self.repeated.is_empty();
        has_counts
            && is_after(self.reported_at, MIN_REPORT_INTERVAL)
            && (self.is_urgent || self.round_left > 0 || is_after(self.round_at, REPORT_INTERVAL))
    }

    /// What to tell the other nodes: at most as much as one datagram holds.
    pub fn report(&mut self, now: Time) -> Vec<Usage> {
        if self.round_left == 0 && self.round_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL) {
            self.round_at = Some(now);
            self.round_left = self.fresh.len() + self.repeated.len();
        }
        self.reported_at = Some(now);
        let mut keys: Vec<u32> = Vec::new();
        let fresh = self.fresh.len().min(MAX_USAGES);
        keys.extend(self.fresh.drain(..fresh));
        let repeated = self.repeated.len().min(self.round_left).min(MAX_USAGES - fresh);
        for key in self.repeated.drain(..repeated) {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.is_repeated = false;
            }
            keys.push(key);
        }
        self.round_left = self.round_left.saturating_sub(keys.len());
        if self.fresh.is_empty() {
            self.is_urgent = false;
        }
        let mut usages = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            refresh(&self.nodes, now, key, entry);
            let demand = entry.limit.demand() as f32;
            let Some(common) = entry.limit.common_mut() else { continue };
            common.reported();
            let level = common.level(now) as f32;
            usages.push(Usage { key, used: entry.used, demand, level });
            entry.is_queued = false;
            entry.sends_left = entry.sends_left.saturating_sub(1);
            if entry.sends_left > 0 && !entry.is_repeated {
                entry.is_repeated = true;
                self.repeated.push_back(key);
            }
        }
        usages
    }

    /// Takes in the report of another node; `incarnation` is a random number of its process.
    pub fn on_report(&mut self, now: Time, node: IpAddr, incarnation: u64, usage: &[Usage]) {
        let is_learning = self.nodes.is_learning(now);
        for reported in usage {
            let Some(entry) = self.entries.get_mut(&reported.key) else { continue };
            self.active.insert(reported.key);
            let is_learning = is_learning || entry.is_learning(now);
            let level = f64::from(reported.level);
            let count = Count {
                node,
                incarnation,
                used: reported.used,
                demand: demand(reported),
                used_at: now,
                active_since: now,
            };
            let known = entry.counts.iter_mut().find(|known| known.node == node);
            let was_known = known.is_some();
            let tokens = match known {
                Some(known) => {
                    let before = if known.incarnation == incarnation { known.used } else { 0 };
                    let is_new = reported.used != before;
                    let (was_active, since) = (known.is_active(now), known.active_since);
                    let used_at = if is_new { now } else { known.used_at };
                    let active_since = if was_active { since } else { now };
                    *known = Count { used_at, active_since, ..count };
                    difference(reported.used, before)
                }
                None => {
                    if entry.counts.len() < MAX_NODES {
                        entry.counts.push(count);
                    }
                    // What the node used before this one knew it is in the level that it reports.
                    if is_learning { 0.0 } else { f64::from(reported.used).min(1.0) }
                }
            };
            if let Some(common) = entry.limit.common_mut() {
                common.take_reported(now, tokens);
                if level.is_finite() && (is_learning || !was_known) {
                    common.lower(now, level);
                }
            }
            refresh(&self.nodes, now, reported.key, entry);
        }
    }

    /// Decides this node's parts again; called with each heartbeat.
    pub fn divide(&mut self, now: Time, fleet: &dyn Fleet) {
        let nodes = &mut self.nodes;
        let was_open = nodes.is_open(now);
        let others = nodes.set_others(now, fleet.others(), fleet.is_serving());
        if nodes.divided_at.is_none() || nodes.is_connected && !was_open {
            nodes.learning_since = now;
            self.entries.values_mut().for_each(|entry| {
                if let Some(common) = entry.limit.common_mut() {
                    common.start_again(now);
                }
            });
        }
        let hash = |ip: IpAddr| base::hash::stable(0, &[&ip.to_string()]);
        nodes.own = hash(fleet.own());
        nodes.is_serving = fleet.is_serving();
        nodes.divided_at = Some(now);
        nodes.number += 1;
        nodes.hashes = others.iter().map(|peer| hash(peer.ip)).collect();
        if nodes.is_serving {
            nodes.hashes.push(nodes.own);
        }
        // A standby node hears of others' reports only after its own.
        let is_serving = nodes.is_serving;
        let is_silent = |peer: &&Peer| !peer.is_present || is_serving && !peer.reports;
        nodes.silent = others.iter().filter(is_silent).map(|peer| hash(peer.ip)).collect();
        let (nodes, entries) = (&self.nodes, &mut self.entries);
        self.active.retain(|key| {
            let Some(entry) = entries.get_mut(key) else { return false };
            entry.limit.meter(now);
            refresh(nodes, now, *key, entry);
            // Nodes that were replaced must leave room for those that use the key now.
            entry.counts.retain(|count| now.since(count.used_at) < KEPT_TIME);
            let is_kept = entry.last_use().is_some_and(|at| now.since(at) < KEPT_TIME);
            if !is_kept {
                entry.counts = Vec::new();
            }
            is_kept
        });
    }
}

/// The order in which nodes hold a share of a key; a finalizer that changes all bits.
fn rank(node: u64, key: u32) -> u64 {
    let mixed = (node ^ u64::from(key)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ mixed >> 32).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// The greatest demand that a report may state, in requests per second.
const MAX_DEMAND: f64 = 1e6;

/// The demand that a report states; zero if it is not a number.
fn demand(reported: &Usage) -> f64 {
    let demand = f64::from(reported.demand);
    if demand.is_nan() { 0.0 } else { demand.clamp(0.0, MAX_DEMAND) }
}

/// The requests between two counts, which wrap around and may fall.
fn difference(used: u32, before: u32) -> f64 {
    f64::from(used.wrapping_sub(before).cast_signed())
}

/// Decides again this node's share of a key and its access to the common bucket.
fn refresh(nodes: &Nodes, now: Time, key: u32, entry: &mut Entry) {
    let rate = entry.rate;
    if entry.divided != Some(nodes.number) {
        entry.fractions = nodes.fractions(key, entry.tolerance);
        entry.divided = Some(nodes.number);
    }
    let (own, silent) = entry.fractions;
    let has_share = nodes.is_serving && !nodes.is_learning(now) && !nodes.is_lapsed;
    let even = if has_share { rate.per_second * own } else { 0.0 };
    entry.limit.set_quota(now, Quota { even, most: even });
    let (users, others_demand) = entry.others(now);
    let is_new = now.since(entry.active_since) < REPORT_DELAY;
    let competitors = if is_new { nodes.count().max(users) } else { users };
    let demand = entry.limit.demand();
    let all = demand + others_demand;
    let is_overdue = |count: &&Count| now.since(count.used_at) >= OVERDUE_TIME;
    let active = entry.counts.iter().filter(|count| count.is_active(now));
    let overdue_demand: f64 = active.filter(is_overdue).map(|count| count.demand).sum();
    let is_overload = all > rate.per_second * OVERLOAD;
    let overdue = if is_overload { overdue_demand / all } else { 0.0 };
    let is_learning =
        nodes.divided_at.is_some() && (nodes.is_learning(now) || entry.is_learning(now));
    let is_calm = !is_learning && all <= rate.per_second;
    let least = if is_new && is_calm { 1.0 + rate.per_second * NEW_USE.as_secs_f64() } else { 1.0 };
    let access = Access {
        is_open: nodes.is_open(now),
        weight: 1.0 / competitors as f64,
        least,
        demand_fraction: if all > 0.0 { (demand / all).max(1.0 / users as f64 / 4.0) } else { 1.0 },
        others_demand,
        is_learning,
        refill: 1.0 - silent.max(overdue),
    };
    if let Some(common) = entry.limit.common_mut() {
        common.set_access(now, access);
    }
}
