//! The model of the servers, the network and the faults, and the parameters of a run.
//!
//! Invariant: the random numbers of a run come from its seed alone.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use conf::object::Choice;

/// The number of groups in the map; a query goes to one server of each.
pub const GROUPS: u32 = 10;
/// The number of servers in a group.
pub const REPLICAS: u32 = 3;
/// The number of entry nodes.
pub const NODES: usize = 6;
/// The number of requests that a server runs at once.
pub const SLOTS: u32 = 2;
/// The number of requests queued at a server at which it refuses more.
pub const MAX_QUEUED: usize = 12;
/// Connections of one node to one server: 25 divided by 6 nodes and a reserve of 2.
pub const CONNECTIONS: u32 = 3;
/// The one-way network time within a region.
const NEAR_ONE_WAY: Duration = Duration::from_micros(500);
/// The one-way network time between regions.
const FAR_ONE_WAY: Duration = Duration::from_millis(8);
/// The data centres, each in its own region.
pub const SITES: [&str; 3] = ["luzon", "visayas", "mindanao"];
/// From closing a connection until the new one is open: settling and 6 ms to connect.
pub const RECONNECT_TIME: Duration = Duration::from_millis(26);
/// The shortest service time.
pub const MIN_SERVICE_US: f64 = 3000.0;
/// The mean of the exponential part of the service time.
pub const MEAN_EXTRA_US: f64 = 3000.0;
/// The factor on the service time of a straggling request.
pub const STRAGGLER_FACTOR: f64 = 10.0;
/// The factor on the service time of the slow server.
pub const SLOW_FACTOR: f64 = 4.0;
/// The deadline of a query.
pub const DEADLINE: Duration = Duration::from_millis(500);
/// The share of urgent queries.
pub const URGENT_SHARE: f64 = 0.1;

/// The fault in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// This many requests in a thousand are stragglers.
    Stragglers(u32),
    /// One server is several times slower.
    SlowServer,
    /// A slow server reports no load, and one that is not slow reports a high load.
    Misreports,
    /// One server refuses all connections.
    Unreachable,
}

/// The response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Response {
    Answer,
    Refusal,
    Failure,
}

impl Fault {
    pub const ALL: [Self; 5] = [
        Self::None,
        Self::Stragglers(10),
        Self::Stragglers(50),
        Self::SlowServer,
        Self::Misreports,
    ];

    pub fn name(self) -> String {
        match self {
            Self::None => "healthy".to_owned(),
            Self::Stragglers(per_mille) => format!("straggle {}%", per_mille / 10),
            Self::SlowServer => "slow server".to_owned(),
            Self::Misreports => "misreport".to_owned(),
            Self::Unreachable => "lost replica".to_owned(),
        }
    }

    /// The share of requests that are stragglers.
    pub fn straggler_share(self) -> f64 {
        match self {
            Self::Stragglers(per_mille) => f64::from(per_mille) / 1000.0,
            _ => 0.0,
        }
    }

    /// The factor on a server's service time.
    pub fn service_factor(self, server: usize) -> f64 {
        match (self, server) {
            (Self::SlowServer, 0) => SLOW_FACTOR,
            (Self::Misreports, 0) => 2.0,
            _ => 1.0,
        }
    }

    /// Whether a server can't be connected to.
    pub fn is_unreachable(self, server: usize) -> bool {
        self == Self::Unreachable && server == 0
    }

    /// The load that a server reports.
    pub fn reported_load(self, server: usize, load: u32) -> u32 {
        match (self, server) {
            (Self::Misreports, 0) => 0,
            (Self::Misreports, 1) => 100,
            _ => load,
        }
    }
}

/// One row of the comparison.
#[derive(Clone, Debug)]
pub struct Case {
    pub choice: Choice,
    pub fault: Fault,
    /// The offered load in percent of the capacity of healthy servers.
    pub load_percent: u32,
    pub admission: bool,
    pub hedge: Hedge,
    pub sites: Sites,
    pub seconds: u64,
}

/// The rule for hedges, the second attempts for a slow shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// The latency quantile after which a shard is hedged, in percent; 100 disables
    /// hedging.
    pub percent: f64,
    /// A shard is hedged only when at most this many shards are missing.
    pub max_missing: u32,
    /// The number of hedges that a full budget allows at once.
    pub burst: u32,
    /// A hedge without budget is tried again after the hedge delay divided by this.
    pub retry_divisor: u32,
}

impl Default for Hedge {
    fn default() -> Self {
        Self { percent: 95.0, max_missing: GROUPS, burst: 10, retry_divisor: 1 }
    }
}

impl fmt::Display for Hedge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.percent >= 100.0 {
            return f.pad("off");
        }
        let last = if self.max_missing < GROUPS {
            format!(" last {}", self.max_missing)
        } else {
            String::new()
        };
        f.pad(&format!("{} b{}/{}{last}", self.percent, self.burst, self.retry_divisor))
    }
}

/// The locations of the nodes and the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sites {
    /// All in one data centre.
    One,
    /// Three regions, each with two nodes and one server of each group; the nodes
    /// prefer near servers or not.
    Three { prefer_near: bool },
}

impl Sites {
    pub fn name(self) -> &'static str {
        match self {
            Self::One => "one site",
            Self::Three { prefer_near: true } => "3, near",
            Self::Three { prefer_near: false } => "3, any",
        }
    }

    /// The site of a node or of a replica.
    pub fn site(self, index: usize) -> &'static str {
        match self {
            Self::One => SITES[0],
            Self::Three { .. } => SITES[index % SITES.len()],
        }
    }
}

impl Default for Case {
    fn default() -> Self {
        Self {
            choice: Choice::default(),
            fault: Fault::None,
            load_percent: 70,
            admission: true,
            hedge: Hedge::default(),
            sites: Sites::One,
            seconds: 20,
        }
    }
}

impl Case {
    /// The capacity of healthy servers, in queries per second.
    pub fn capacity() -> f64 {
        f64::from(REPLICAS * SLOTS) / (MIN_SERVICE_US + MEAN_EXTRA_US) * 1e6
    }

    /// The one-way network time between a node and a server.
    pub fn one_way(&self, node: usize, server: usize) -> Duration {
        let replica = server % REPLICAS as usize;
        match self.sites.site(node) == self.sites.site(replica) {
            true => NEAR_ONE_WAY,
            false => FAR_ONE_WAY,
        }
    }

    /// The offered load, in queries per second.
    pub fn rate(&self) -> f64 {
        Self::capacity() * f64::from(self.load_percent) / 100.0
    }
}

/// A server: the attempts that it runs and the ones in its queue.
#[derive(Default)]
pub struct Server {
    pub running: Vec<usize>,
    pub queued: VecDeque<usize>,
}

impl Server {
    pub fn load(&self) -> u32 {
        (self.running.len() + self.queued.len()) as u32
    }
}
