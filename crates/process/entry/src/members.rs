//! The state of the other entry nodes, from their heartbeats. No I/O.
//!
//! Invariant: once a node has reported that it is leaving, its present incarnation is
//! never returned to callers again.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::time::Time;

/// A heartbeat, which each node sends to all others periodically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The name of the sender.
    pub name: Arc<str>,
    /// A random number that the sender draws when its process starts. Unlike a server's
    /// incarnation, it contains no start time.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The address at which it serves callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it is ready to serve callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Addresses of some of the nodes that it has found.
    pub known: Vec<IpAddr>,
}

/// Whether callers may be sent to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Its heartbeats arrive, and it is ready.
    Ready,
    /// Its heartbeats arrive, but it is not ready or is leaving.
    NotReady,
    /// Its heartbeats don't arrive.
    Silent,
}

/// Another node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When that was received.
    pub received_at: Time,
}

/// The other nodes, by address.
#[derive(Debug)]
pub struct Members {
    own: IpAddr,
    members: HashMap<IpAddr, Member>,
    addresses: Vec<IpAddr>,
}

/// The minimum interval between heartbeats to a node. It is longer in a large deployment,
/// where the rate of heartbeats that a node sends is at its maximum.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum rate of heartbeats that a node sends, whatever the number of nodes.
const MAX_HEARTBEATS_PER_SECOND: f64 = 30.0;
/// The number of consecutive missed heartbeats after which a node is silent.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// The maximum number of addresses in a heartbeat.
const MAX_ADDRESSES_PER_HEARTBEAT: usize = 8;

impl Members {
    /// The state of the node at `own`, which has found no other nodes yet.
    pub fn new(own: IpAddr) -> Self {
        Self { own, members: HashMap::new(), addresses: Vec::new() }
    }

    /// Adds the address of a node that may exist.
    pub fn add_address(&mut self, ip: IpAddr) {
        if ip != self.own && !self.addresses.contains(&ip) {
            self.addresses.push(ip);
        }
    }

    /// The addresses of all other nodes that may exist.
    pub fn addresses(&self) -> &[IpAddr] {
        &self.addresses
    }

    /// The interval between heartbeats to each node.
    pub fn heartbeat_interval(&self) -> Duration {
        MIN_HEARTBEAT_INTERVAL
            .max(Duration::from_secs_f64(self.addresses.len() as f64 / MAX_HEARTBEATS_PER_SECOND))
    }

    /// The addresses to include in heartbeat `number`; successive heartbeats go through
    /// all addresses.
    pub fn addresses_to_send(&self, number: usize) -> Vec<IpAddr> {
        let count = self.addresses.len().min(MAX_ADDRESSES_PER_HEARTBEAT);
        let start = number * MAX_ADDRESSES_PER_HEARTBEAT;
        (0..count).map(|at| self.addresses[(start + at) % self.addresses.len()]).collect()
    }

    /// Processes a heartbeat from the node at `from`; returns the node's previous
    /// status.
    pub fn on_heartbeat(&mut self, now: Time, from: IpAddr, heartbeat: Heartbeat) -> Status {
        let before = self.status(now, from);
        self.add_address(from);
        for ip in &heartbeat.known {
            self.add_address(*ip);
        }
        let last = self.members.get(&from);
        // A heartbeat that arrives out of order doesn't make a leaving node ready again.
        if last.is_some_and(|last| {
            last.heartbeat.incarnation == heartbeat.incarnation
                && last.heartbeat.leaving
                && !heartbeat.leaving
        }) {
            return before;
        }
        self.members.insert(from, Member { heartbeat, received_at: now });
        before
    }

    /// The status of the node at `ip`.
    pub fn status(&self, now: Time, ip: IpAddr) -> Status {
        let Some(member) = self.members.get(&ip) else { return Status::Silent };
        if now.since(member.received_at) > self.heartbeat_interval() * MAX_MISSED_HEARTBEATS {
            Status::Silent
        } else if member.heartbeat.ready && !member.heartbeat.leaving {
            Status::Ready
        } else {
            Status::NotReady
        }
    }

    /// The nodes whose heartbeats arrive.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&Member, Status)> {
        let with_status = move |(ip, member): (&IpAddr, _)| (member, self.status(now, *ip));
        self.members.iter().map(with_status).filter(|(_, status)| *status != Status::Silent)
    }

    /// The number of nodes that may be serving, including this one. A silent node
    /// counts for a while, since only the network between the two may have failed.
    pub fn active_nodes(&self, now: Time) -> u32 {
        let is_active = |member: &&Member| {
            now.since(member.received_at) < ACTIVE_TIMEOUT && !member.heartbeat.leaving
        };
        1 + self.members.values().filter(is_active).count() as u32
    }
}

/// How long a node counts as active after its last heartbeat.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(20);
