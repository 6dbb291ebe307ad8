//! The other entry nodes, as their beats tell of them. No I/O.
//!
//! Invariant: a node that was heard leaving is named to no caller until it
//! starts anew.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::time::Time;

/// What a node tells the others, again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its name.
    pub name: Arc<str>,
    /// Drawn at the start of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where it serves callers.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it was asked to stop.
    pub leaving: bool,
    /// Nodes that it knows.
    pub known: Vec<IpAddr>,
}

/// Whether a node may be named to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It was heard lately and is ready.
    Ready,
    /// It was heard lately and is not ready, or is leaving.
    NotReady,
    /// It was not heard lately.
    Silent,
}

/// One other node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last beat.
    pub heartbeat: Heartbeat,
    /// When it came.
    pub heard: Time,
}

/// The other nodes by address.
#[derive(Debug)]
pub struct Members {
    own: IpAddr,
    members: HashMap<IpAddr, Member>,
    known: Vec<IpAddr>,
}

/// The time between two beats to each of few nodes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Beats a second that a node sends at most, whatever the number of nodes.
const BEATS_PER_SECOND: f64 = 30.0;
/// Beats missed in a row after which a node is silent.
const MISSED_BEATS: u32 = 4;
/// The nodes that one beat names.
const NAMED: usize = 8;

impl Members {
    /// The members seen from the node at `own`.
    pub fn new(own: IpAddr) -> Self {
        Self { own, members: HashMap::new(), known: Vec::new() }
    }

    /// Takes in the address of a node that may exist.
    pub fn learn(&mut self, ip: IpAddr) {
        if ip != self.own && !self.known.contains(&ip) {
            self.known.push(ip);
        }
    }

    /// Addresses of all nodes that may exist.
    pub fn known(&self) -> &[IpAddr] {
        &self.known
    }

    /// The time between two beats to each node.
    pub fn interval(&self) -> Duration {
        HEARTBEAT_INTERVAL.max(Duration::from_secs_f64(self.known.len() as f64 / BEATS_PER_SECOND))
    }

    /// Some known nodes to name in beat `number`, others each time.
    pub fn named(&self, number: usize) -> Vec<IpAddr> {
        let count = self.known.len().min(NAMED);
        let start = number * NAMED;
        (0..count).map(|at| self.known[(start + at) % self.known.len()]).collect()
    }

    /// Takes in a beat that came from `from`; gives the node's standing before.
    pub fn hear(&mut self, now: Time, from: IpAddr, beat: Heartbeat) -> Standing {
        let before = self.standing(now, from);
        self.learn(from);
        for ip in &beat.known {
            self.learn(*ip);
        }
        let known = self.members.get(&from);
        // A beat that was overtaken on the way does not bring a node back.
        if known.is_some_and(|old| {
            old.heartbeat.incarnation == beat.incarnation && old.heartbeat.leaving && !beat.leaving
        }) {
            return before;
        }
        self.members.insert(from, Member { heartbeat: beat, heard: now });
        before
    }

    /// How the node at `ip` stands.
    pub fn standing(&self, now: Time, ip: IpAddr) -> Standing {
        let Some(member) = self.members.get(&ip) else { return Standing::Silent };
        if now.since(member.heard) > self.interval() * MISSED_BEATS {
            Standing::Silent
        } else if member.heartbeat.ready && !member.heartbeat.leaving {
            Standing::Ready
        } else {
            Standing::NotReady
        }
    }

    /// The nodes that were heard lately.
    pub fn heard(&self, now: Time) -> impl Iterator<Item = (&Member, Standing)> {
        let standing = move |(ip, member): (&IpAddr, _)| (member, self.standing(now, *ip));
        self.members.iter().map(standing).filter(|(_, standing)| *standing != Standing::Silent)
    }

    /// The number of nodes that may be at work, this one included: silent ones
    /// count for a while, since they may only be cut off from this one.
    pub fn at_work(&self, now: Time) -> u32 {
        let lately =
            |member: &&Member| now.since(member.heard) < LATELY && !member.heartbeat.leaving;
        1 + self.members.values().filter(lately).count() as u32
    }
}

/// How long a silent node counts as being at work.
const LATELY: Duration = Duration::from_secs(20);
