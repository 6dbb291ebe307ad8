//! The entry nodes: all that are known, and the state of those whose heartbeats
//! arrive. No I/O.
//!
//! Serving nodes send heartbeats to every node of their region, and to the serving
//! nodes of other regions. A standby node announces itself when it starts and rarely
//! after that. So the cost of a standby node does not depend on the size of the fleet,
//! and that of a serving node depends on its region's size only.
//!
//! Invariant: once a node has reported that it is leaving, its present incarnation is
//! never returned to callers again.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::time::Time;
use replica::record::Distance;
use replica::table::Locality;
use share::part::Claim;
use share::part::Report;
use share::part::Reports;
use site::register::Incarnation;

/// An entry node, whether it runs or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its IP address.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its share of a processor core, in thousandths.
    pub capacity: u32,
}

/// The order in which the nodes of a data centre take up work: larger VMs first.
pub type Rank = (Reverse<u32>, IpAddr);

impl Peer {
    /// Its rank among the nodes of its data centre, which is the same on all nodes.
    pub fn rank(&self) -> Rank {
        (Reverse(self.capacity), self.ip)
    }
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    /// Its share of a processor core, in thousandths.
    pub capacity: u32,
    /// Whether it is ready to serve callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether callers are sent to it; otherwise it stands by.
    pub serving: bool,
    /// Whether its last call to the registry succeeded; `true` if it makes none.
    pub registry_answers: bool,
    /// The number of requests that it sends to upstream servers per second.
    pub sends_per_second: u32,
    /// How slow its VM runs at present, in percent of its usual time for the same work.
    pub slowness: u32,
    /// Some of the nodes that it knows.
    pub known: Vec<Peer>,
    /// Some of the servers that have told the sender that they leave.
    #[serde(default)]
    pub departures: Vec<Incarnation>,
    /// Some of the limits of servers that the sender knows.
    #[serde(default)]
    pub limits: Vec<Report>,
    /// Whether [`Self::limits`] holds all of them.
    #[serde(default)]
    pub has_all_limits: bool,
    /// How many of the services that it has used it reaches, in percent.
    #[serde(default = "whole_reach")]
    pub reach: u8,
}

fn whole_reach() -> u8 {
    WHOLE_REACH
}

/// The reach of a node that reaches all services, or has used none.
pub const WHOLE_REACH: u8 = 100;
/// A node that reaches less than this fraction of what the best node reaches has lost its path.
/// Nodes differ a little while servers fail, since they notice it one after the other.
const MIN_REACH_FRACTION: f64 = 0.75;

/// The slowness, in percent, from which a VM counts as slow.
const MIN_SLOWNESS: u32 = 350;

impl Heartbeat {
    /// Whether its VM runs much slower than usual.
    pub fn is_slow(&self) -> bool {
        is_slow(self.slowness)
    }

    /// Its capacity at its present pace.
    pub fn present_capacity(&self) -> u32 {
        present_capacity(self.capacity, self.slowness)
    }
}

/// Whether a VM that runs at `slowness` percent of its usual time counts as slow.
pub fn is_slow(slowness: u32) -> bool {
    slowness >= MIN_SLOWNESS
}

/// The capacity of a VM that runs at `slowness` percent of its usual time.
pub fn present_capacity(capacity: u32, slowness: u32) -> u32 {
    if is_slow(slowness) { (capacity * 100 / slowness).max(1) } else { capacity }
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

/// Another node whose heartbeats arrive or have arrived.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When that was received.
    pub received_at: Time,
    /// The limits of servers that it reports.
    pub limits: Reports,
}

/// All nodes, as this one knows them.
#[derive(Debug)]
pub struct Members {
    own: Peer,
    locality: Locality,
    /// Addresses of which nothing else is known.
    seeds: BTreeSet<IpAddr>,
    peers: BTreeMap<IpAddr, Peer>,
    members: HashMap<IpAddr, Member>,
    last_tick: Time,
    /// No node is silent until then.
    grace_until: Time,
    discovery_time: Duration,
}

/// The interval between the heartbeats of a serving node to the nodes of its region.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Heartbeats to other regions are sent once in so many intervals.
const FAR_INTERVALS: u32 = 3;
/// The number of consecutive missed heartbeats after which a node is silent.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// A node whose last heartbeat is older than this is not named, whatever this node was paused for.
/// Above the time after which a node of another region is silent, and below the 9 s within which a
/// node that has ended must be out of lookups.
const MAX_NAMED_AGE: Duration = Duration::from_millis(8000);
/// The number of heartbeats by which a node announces itself to its region.
const ANNOUNCEMENTS: u64 = 3;
/// A standby node repeats its announcement to the serving nodes of its data centre once
/// in so many intervals.
const STANDBY_INTERVALS: u64 = 25;
/// Seeds that have not sent a heartbeat are contacted once in so many intervals.
const SEED_INTERVALS: u64 = 5;
/// A node that has not been heard for longer may have been replaced: nothing removes its entry.
/// Standby nodes of other data centres are not heard either.
const QUIET_TIME: Duration = Duration::from_secs(60);
/// The maximum number of such nodes that one heartbeat is sent to; successive ones go through all.
const MAX_QUIET_TARGETS: usize = 128;
/// The number of nodes of each other data centre that get heartbeats before any of them
/// is known to serve.
const FAR_CONTACTS: usize = 3;
/// The number of further nodes that get one while none is heard.
const MORE_FAR_CONTACTS: usize = 8;
/// The maximum number of nodes in [`Heartbeat::known`].
const MAX_KNOWN: usize = 8;
/// A gap between two heartbeats above this means that this node was paused, not the
/// others.
const MAX_TICK_GAP: Duration = Duration::from_millis(1000);
/// How long a node waits to find others after its start, if none is registered.
const DISCOVERY_TIME: Duration = Duration::from_millis(1200);
/// The same while all nodes start and register: until the second list of the nodes.
const FIRST_DISCOVERY_TIME: Duration = Duration::from_millis(4500);
/// How long a node counts as active after its last heartbeat.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a node that leaves counts after its last heartbeat.
const LEAVING_TIMEOUT: Duration = Duration::from_millis(1600);
/// The time after its start in which a node hears of the others.
const ACQUAINTANCE_TIME: Duration = Duration::from_secs(2);

impl Members {
    /// The state of a node that knows no others yet; `first_start` tells whether the others
    /// start at the same time and are not registered yet.
    pub fn new(own: Peer, locality: Locality, first_start: bool) -> Self {
        let discovery_time = if first_start { FIRST_DISCOVERY_TIME } else { DISCOVERY_TIME };
        Self {
            own,
            locality,
            seeds: BTreeSet::new(),
            peers: BTreeMap::new(),
            members: HashMap::new(),
            last_tick: Time::ZERO,
            grace_until: Time::ZERO,
            discovery_time,
        }
    }

    /// This node.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Adds the address of a node that may exist.
    pub fn add_seed(&mut self, ip: IpAddr) {
        if ip != self.own.ip && !self.peers.contains_key(&ip) {
            self.seeds.insert(ip);
        }
    }

    /// Adds a node, or updates what is known of it.
    pub fn add_peer(&mut self, peer: Peer) {
        if peer.ip != self.own.ip {
            self.seeds.remove(&peer.ip);
            self.peers.insert(peer.ip, peer);
        }
    }

    /// All other nodes that are known.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The number of nodes of this node's data centre that come before it in the order.
    pub fn nodes_before_own(&self) -> usize {
        let is_before = |peer: &&Peer| {
            peer.data_centre == self.own.data_centre && peer.rank() < self.own.rank()
        };
        self.peers.values().filter(is_before).count()
    }

    /// The number of nodes of this node's data centre, itself included, except those that are
    /// known to be down.
    pub fn nodes_of_own_data_centre(&self, now: Time) -> usize {
        let is_up =
            |peer: &&Peer| peer.data_centre == self.own.data_centre && !self.is_down(now, peer.ip);
        self.peers.values().filter(is_up).count() + 1
    }

    /// The addresses of all other nodes, those of this node's data centre first.
    pub fn addresses(&self) -> Vec<IpAddr> {
        let mut peers: Vec<&Peer> = self.peers.values().collect();
        peers.sort_by_key(|peer| (self.distance(&peer.data_centre), peer.rank()));
        peers.iter().map(|peer| peer.ip).chain(self.seeds.iter().copied()).collect()
    }

    /// The distance from this node to a data centre.
    pub fn distance(&self, data_centre: &str) -> Distance {
        self.locality.distance(data_centre)
    }

    /// The nodes that heartbeat `number` of this node is sent to.
    pub fn targets(&self, now: Time, number: u64, serving: bool, leaving: bool) -> Vec<IpAddr> {
        let in_region = |peer: &&Peer| self.distance(&peer.data_centre) < Distance::Far;
        let mut targets: Vec<IpAddr> = Vec::new();
        if number < ANNOUNCEMENTS {
            targets.extend(self.peers.values().filter(in_region).map(|peer| peer.ip));
        } else if serving || leaving {
            let in_region = self.peers.values().filter(in_region).map(|peer| peer.ip);
            let (quiet, heard): (Vec<IpAddr>, Vec<IpAddr>) =
                in_region.partition(|ip| self.is_quiet(now, *ip));
            targets = heard;
            let start = (number as usize).wrapping_mul(MAX_QUIET_TARGETS);
            let count = quiet.len().min(MAX_QUIET_TARGETS);
            targets.extend((0..count).map(|at| quiet[start.wrapping_add(at) % quiet.len()]));
        } else if number.is_multiple_of(STANDBY_INTERVALS) {
            let own_data_centre =
                self.serving(now).filter(|m| m.heartbeat.data_centre == self.own.data_centre);
            targets.extend(own_data_centre.map(|member| member.heartbeat.caller_address.ip()));
        }
        if (serving && number.is_multiple_of(u64::from(FAR_INTERVALS))) || leaving {
            targets.extend(self.far_contacts(now, number));
        }
        if number.is_multiple_of(SEED_INTERVALS) {
            targets.extend(self.seeds.iter().copied());
        }
        targets
    }

    /// Whether the node at `ip` has not been heard for long.
    fn is_quiet(&self, now: Time, ip: IpAddr) -> bool {
        let member = self.members.get(&ip);
        member.is_none_or(|member| now.since(member.received_at) > QUIET_TIME)
    }

    /// The serving nodes of other regions, and the first nodes of each data centre there. While no
    /// node of a data centre is heard, heartbeat `number` goes to further ones too: the first may
    /// all have been replaced.
    fn far_contacts(&self, now: Time, number: u64) -> BTreeSet<IpAddr> {
        let mut by_data_centre: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
        for peer in self.peers.values() {
            if self.distance(&peer.data_centre) == Distance::Far {
                by_data_centre.entry(&*peer.data_centre).or_default().push(peer);
            }
        }
        let serving = self.serving(now).map(|member| member.heartbeat.caller_address.ip());
        let mut contacts: BTreeSet<IpAddr> = serving
            .filter(|ip| {
                self.peers.get(ip).is_some_and(|p| self.distance(&p.data_centre) == Distance::Far)
            })
            .collect();
        for peers in by_data_centre.values_mut() {
            peers.sort_by_key(|peer| peer.rank());
            contacts.extend(peers.iter().take(FAR_CONTACTS).map(|peer| peer.ip));
            if peers.iter().all(|peer| self.is_quiet(now, peer.ip)) {
                let start = (number / u64::from(FAR_INTERVALS)) as usize * MORE_FAR_CONTACTS;
                let count = peers.len().min(MORE_FAR_CONTACTS);
                contacts.extend((0..count).map(|at| peers[(start + at) % peers.len()].ip));
            }
        }
        contacts
    }

    /// The nodes to include in heartbeat `number`; successive heartbeats go through all.
    pub fn known_to_send(&self, number: u64) -> Vec<Peer> {
        let count = self.peers.len().min(MAX_KNOWN);
        let start = number as usize * MAX_KNOWN;
        let peers: Vec<&Peer> = self.peers.values().collect();
        (0..count).map(|at| peers[(start + at) % peers.len()].clone()).collect()
    }

    /// Records that this node runs. After a pause, the heartbeats that arrived meanwhile are
    /// read first, before other nodes can count as silent.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.last_tick) > MAX_TICK_GAP {
            self.grace_until = now + HEARTBEAT_INTERVAL * 2;
        }
        self.last_tick = now;
    }

    /// Whether this process was paused and has resumed a short time ago.
    pub fn was_paused(&self, now: Time) -> bool {
        now.since(self.last_tick) > MAX_TICK_GAP || now < self.grace_until
    }

    /// Processes a heartbeat from the node at `from`; returns the node's previous
    /// status.
    pub fn on_heartbeat(&mut self, now: Time, from: IpAddr, heartbeat: Heartbeat) -> Status {
        let before = self.status(now, from);
        let (data_centre, capacity) = (Arc::clone(&heartbeat.data_centre), heartbeat.capacity);
        self.add_peer(Peer { ip: from, data_centre, capacity });
        for peer in &heartbeat.known {
            if !self.peers.contains_key(&peer.ip) {
                self.add_peer(peer.clone());
            }
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
        let known = self.members.remove(&from);
        let same_process =
            known.filter(|known| known.heartbeat.incarnation == heartbeat.incarnation);
        let mut limits = same_process.map(|known| known.limits).unwrap_or_default();
        limits.update(now, &heartbeat.limits, heartbeat.has_all_limits);
        self.members.insert(from, Member { heartbeat, received_at: now, limits });
        before
    }

    /// The status of the node at `ip`.
    pub fn status(&self, now: Time, ip: IpAddr) -> Status {
        self.members.get(&ip).map_or(Status::Silent, |member| self.member_status(now, member))
    }

    fn member_status(&self, now: Time, member: &Member) -> Status {
        let heartbeat = &member.heartbeat;
        let intervals = match self.distance(&heartbeat.data_centre) {
            Distance::Far => FAR_INTERVALS,
            Distance::DataCentre | Distance::Region => 1,
        };
        let silent_after = HEARTBEAT_INTERVAL * intervals * MAX_MISSED_HEARTBEATS;
        if now.since(member.received_at) > silent_after && now >= self.grace_until {
            Status::Silent
        } else if heartbeat.ready && !heartbeat.leaving {
            Status::Ready
        } else {
            Status::NotReady
        }
    }

    /// The other nodes that callers may be sent to.
    pub fn serving(&self, now: Time) -> impl Iterator<Item = &Member> {
        let is_serving = move |member: &&Member| {
            member.heartbeat.serving && self.member_status(now, member) == Status::Ready
        };
        self.members.values().filter(is_serving)
    }

    /// The other nodes that lookups may name: the serving ones, but none that may have ended long
    /// ago, while this node was paused.
    pub fn named(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.serving(now).filter(move |member| now.since(member.received_at) <= MAX_NAMED_AGE)
    }

    /// The other serving nodes of this node's data centre, whether or not they have the
    /// registry's state yet.
    pub fn elected(&self, now: Time) -> impl Iterator<Item = &Heartbeat> {
        self.members
            .values()
            .filter(move |member| self.member_status(now, member) != Status::Silent)
            .map(|member| &member.heartbeat)
            .filter(|node| {
                node.serving && !node.leaving && node.data_centre == self.own.data_centre
            })
    }

    /// Whether all nodes start for the first time.
    pub fn is_first_start(&self) -> bool {
        self.discovery_time == FIRST_DISCOVERY_TIME
    }

    /// Whether this node may still find others after its start.
    pub fn is_discovering(&self, now: Time) -> bool {
        now < Time::ZERO + self.discovery_time
    }

    /// The greatest reach of the other serving nodes and of this one, which reaches `own`
    /// percent.
    pub fn best_reach(&self, now: Time, own: u8) -> u8 {
        self.serving(now).map(|member| member.heartbeat.reach).fold(own, u8::max)
    }

    /// Whether the node at `ip` is known to be unable to serve: it is leaving, or its
    /// heartbeats stopped while it served.
    pub fn is_down(&self, now: Time, ip: IpAddr) -> bool {
        self.members.get(&ip).is_some_and(|member| {
            let heartbeat = &member.heartbeat;
            heartbeat.leaving
                || (heartbeat.serving && self.member_status(now, member) == Status::Silent)
        })
    }

    /// The claims of the other serving nodes to the limit of `server`, which is in
    /// `data_centre`. Nodes that have gone silent count for a while, and those that leave until
    /// then. Shortly after its start, this node has not heard of all others yet: those that it
    /// knows otherwise count too.
    pub fn claims(&self, now: Time, server: u32, data_centre: &str) -> Vec<Claim> {
        let claim = |member: &Member| {
            let is_silent = self.member_status(now, member) == Status::Silent;
            let heartbeat = &member.heartbeat;
            let lifetime = if heartbeat.leaving { LEAVING_TIMEOUT } else { ACTIVE_TIMEOUT };
            let counts = heartbeat.serving && now.since(member.received_at) < lifetime;
            counts.then(|| Claim {
                ip: heartbeat.caller_address.ip(),
                is_near: *heartbeat.data_centre == *data_centre,
                is_present: !is_silent,
                demand: member.limits.demand(now, server),
            })
        };
        let mut claims: Vec<Claim> = self.members.values().filter_map(claim).collect();
        if now < Time::ZERO + ACQUAINTANCE_TIME {
            let unheard = self.peers.values().filter(|peer| !self.members.contains_key(&peer.ip));
            claims.extend(unheard.map(|peer| Claim {
                ip: peer.ip,
                is_near: *peer.data_centre == *data_centre,
                is_present: true,
                demand: None,
            }));
        }
        claims
    }

    /// The number of other nodes that serve or served a short time ago. A silent one counts
    /// for a while, since only the network between the two may have failed.
    pub fn recently_serving(&self, now: Time) -> u32 {
        let is_active = |member: &&Member| {
            member.heartbeat.serving
                && now.since(member.received_at) < ACTIVE_TIMEOUT
                && !member.heartbeat.leaving
        };
        self.members.values().filter(is_active).count() as u32
    }
}

/// Whether a node that reaches `reach` percent of the services has a path to the servers, if the
/// best one reaches `best`. If the servers are down for all nodes, none has lost its path.
pub fn has_path(reach: u8, best: u8) -> bool {
    f64::from(reach) >= f64::from(best) * MIN_REACH_FRACTION
}
