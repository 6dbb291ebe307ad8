//! Which nodes of a data centre serve callers, and which stand by. No I/O.
//!
//! Each node decides for itself from the heartbeats of the serving nodes of its data
//! centre and from the order of all its nodes: the larger VMs serve, as many as the load
//! needs. If serving nodes are missing, the next nodes in that order take their place; if
//! those don't, since they are down themselves, the ones after them do a step later. A node
//! whose VM runs slowly does not count.
//!
//! Invariant: a data centre with a live node has a serving node within a bounded time,
//! whichever nodes fail. A standby node answers requests too; only lookups don't name it.

use std::time::Duration;

use crate::members::Heartbeat;
use crate::members::Members;
use crate::members::Peer;
use crate::members::has_path;
use base::time::Time;

/// The minimum number of serving nodes of a data centre that has as many.
const MIN_SERVING: usize = 3;
/// The processor time that one request to an upstream server takes, reply included.
pub const SEND_COST: Duration = Duration::from_micros(80);
/// The fraction of the serving nodes' capacity that their load may use on average, so
/// that bursts and the loss of one of them are borne.
const MAX_UTILIZATION: f64 = 0.35;
/// How long the next nodes in the order have to start to serve.
const PROMOTION_STEP: Duration = Duration::from_millis(400);
/// The number of steps after which the number of nodes doubles with each further one.
const MAX_EVEN_STEPS: u32 = 8;
/// How long a node that is no longer needed goes on serving.
const DEMOTION_DELAY: Duration = Duration::from_secs(3);

/// This node's own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own {
    /// Whether it has the registry's state.
    pub ready: bool,
    /// The number of requests that it sends to upstream servers per second.
    pub sends_per_second: u32,
    /// Whether its VM runs much slower than usual.
    pub slow: bool,
    /// How many of the services that it has used it reaches, in percent.
    pub reach: u8,
    /// Whether trial connects have shown a short time ago that servers can be reached.
    pub path_proven: bool,
}

/// Whether this node serves.
#[derive(Debug, Default)]
pub struct Role {
    serving: bool,
    shortage_since: Option<Time>,
    surplus_since: Option<Time>,
    /// Whether it may be needed, but must first show that it reaches servers.
    needs_proof: bool,
}

/// A set of serving nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Supply {
    nodes: usize,
    capacity: u32,
}

impl Supply {
    fn with(self, capacity: u32) -> Self {
        Self { nodes: self.nodes + 1, capacity: self.capacity + capacity }
    }

    fn suffices(self, needed_capacity: f64) -> bool {
        self.nodes >= MIN_SERVING && f64::from(self.capacity) >= needed_capacity
    }
}

impl Role {
    /// Whether lookups name this node.
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// Whether this node is to open trial connections, so that it may serve: serving nodes of its
    /// data centre have lost their path, and it may have lost it too.
    pub fn needs_proof(&self) -> bool {
        self.needs_proof
    }

    /// Decides again; returns whether the role changed.
    pub fn update(&mut self, now: Time, members: &Members, own: &Own) -> bool {
        let before = self.serving;
        let best_reach = members.best_reach(now, own.reach);
        let (serving, cut): (Vec<&Heartbeat>, Vec<&Heartbeat>) = members
            .elected(now)
            .filter(|node| (node.ready || !own.ready) && !node.is_slow())
            .partition(|node| has_path(node.reach, best_reach));
        self.needs_proof = !self.serving && !cut.is_empty();
        let sends =
            own.sends_per_second + serving.iter().map(|node| node.sends_per_second).sum::<u32>();
        let needed = f64::from(sends) * SEND_COST.as_secs_f64() * 1000.0 / MAX_UTILIZATION;
        if self.serving {
            self.update_serving(now, members.own(), &serving, needed);
        } else if self.needs_proof && !own.path_proven {
            self.shortage_since = None;
        } else if !own.slow || serving.is_empty() {
            self.update_standby(now, members, &serving, needed);
        }
        self.serving != before
    }

    /// Stops serving once the nodes before this one have sufficed for a while.
    fn update_serving(&mut self, now: Time, own: &Peer, serving: &[&Heartbeat], needed: f64) {
        let is_before = |node: &&&Heartbeat| {
            let ip = node.caller_address.ip();
            let peer = Peer { ip, data_centre: node.data_centre.clone(), capacity: node.capacity };
            peer.rank() < own.rank()
        };
        let supply = supply(serving.iter().filter(is_before).map(|node| node.capacity));
        if !supply.suffices(needed) {
            self.surplus_since = None;
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.since(since) >= DEMOTION_DELAY {
            *self = Self::default();
        }
    }

    /// Starts to serve if serving nodes are missing and it is this node's turn.
    fn update_standby(
        &mut self,
        now: Time,
        members: &Members,
        serving: &[&Heartbeat],
        needed: f64,
    ) {
        let present = supply(serving.iter().map(|node| node.capacity));
        if present.suffices(needed) {
            self.shortage_since = None;
            return;
        }
        let own = members.own();
        let has_registered = members.peers().any(|peer| peer.data_centre == own.data_centre);
        if members.is_discovering(now) && (members.is_first_start() || !has_registered) {
            return;
        }
        let is_candidate = |peer: &&Peer| {
            peer.data_centre == own.data_centre
                && !members.is_down(now, peer.ip)
                && !serving.iter().any(|node| node.caller_address.ip() == peer.ip)
        };
        let mut candidates: Vec<&Peer> = members.peers().filter(is_candidate).collect();
        candidates.push(own);
        candidates.sort_by_key(|peer| peer.rank());
        let missing = missing_nodes(present, &candidates, needed);
        let since = *self.shortage_since.get_or_insert(now);
        let steps = (now.since(since).as_millis() / PROMOTION_STEP.as_millis()) as u32;
        let turn = candidates.iter().position(|peer| peer.ip == own.ip).unwrap_or_default();
        if turn < missing.saturating_mul(turns(steps)) {
            *self = Self { serving: true, ..Self::default() };
        }
    }
}

/// How many times as many nodes as are missing have had their turn after so many steps.
fn turns(steps: u32) -> usize {
    // The first in the order may all have been replaced long ago.
    let doublings = steps.saturating_sub(MAX_EVEN_STEPS);
    (steps as usize + 1).saturating_mul(1usize.checked_shl(doublings).unwrap_or(usize::MAX))
}

fn supply(capacities: impl Iterator<Item = u32>) -> Supply {
    capacities.fold(Supply::default(), Supply::with)
}

/// How many of the first candidates are needed in addition to those present.
fn missing_nodes(present: Supply, candidates: &[&Peer], needed: f64) -> usize {
    let mut supply = present;
    let enough = candidates.iter().position(|peer| {
        supply = supply.with(peer.capacity);
        supply.suffices(needed)
    });
    enough.map_or(candidates.len(), |index| index + 1).max(1)
}
