//! What is modelled: the servers, the network and the faults.
//!
//! Invariant: the random numbers of a run come from its seed alone.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use conf::object::Choice;

/// Groups of the map; a query asks one server of each.
pub const GROUPS: u32 = 10;
/// Servers of a group.
pub const REPLICAS: u32 = 3;
/// Entry nodes.
pub const NODES: usize = 6;
/// Requests that a server runs at once.
pub const SLOTS: u32 = 2;
/// Requests that wait at a server before it sheds.
pub const SHED: usize = 12;
/// Connections of one node to one server: 25 over 6 nodes and a reserve of 2.
pub const CONNECTIONS: u32 = 3;
/// One way between a node and a server of the same region.
const NEAR: Duration = Duration::from_micros(500);
/// One way between regions.
const FAR: Duration = Duration::from_millis(8);
/// Data centres, each in its own region, when the fleet is spread.
pub const SITES: [&str; 3] = ["luzon", "visayas", "mindanao"];
/// From closing a connection until a new one is open: settling and 6 ms.
pub const REOPEN: Duration = Duration::from_millis(26);
/// The shortest service time.
pub const LEAST_US: f64 = 3000.0;
/// The mean of the exponential part of the service time.
pub const SPREAD_US: f64 = 3000.0;
/// How much longer a straggling request takes.
pub const STRAGGLE: f64 = 10.0;
/// How much slower the slow server is.
pub const SLOW: f64 = 4.0;
/// The time limit of a query.
pub const DEADLINE: Duration = Duration::from_millis(500);
/// The part of queries that are urgent.
pub const URGENT: f64 = 0.1;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// This many requests in a thousand straggle.
    Stragglers(u32),
    /// One server takes several times as long.
    SlowServer,
    /// One server reports no load although it is slow, another one a high load
    /// although it is not.
    Misreports,
    /// One server refuses all connections.
    Lost,
}

/// What comes back to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Back {
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
            Self::Lost => "lost replica".to_owned(),
        }
    }

    pub fn straggle(self) -> f64 {
        match self {
            Self::Stragglers(per_mille) => f64::from(per_mille) / 1000.0,
            _ => 0.0,
        }
    }

    /// How much slower a server is.
    pub fn factor(self, server: usize) -> f64 {
        match (self, server) {
            (Self::SlowServer, 0) => SLOW,
            (Self::Misreports, 0) => 2.0,
            _ => 1.0,
        }
    }

    /// Whether a server can't be connected to.
    pub fn is_lost(self, server: usize) -> bool {
        self == Self::Lost && server == 0
    }

    /// The load that a server reports.
    pub fn reported(self, server: usize, load: u32) -> u32 {
        match (self, server) {
            (Self::Misreports, 0) => 0,
            (Self::Misreports, 1) => 100,
            _ => load,
        }
    }
}

/// One cell of the comparison.
#[derive(Clone, Debug)]
pub struct Case {
    pub choice: Choice,
    pub fault: Fault,
    /// Offered load in percent of what healthy servers can do.
    pub load_percent: u32,
    pub admission: bool,
    pub hedge: Hedge,
    pub sites: Sites,
    pub seconds: u64,
}

/// When a shard is asked a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// The quantile after which a shard is hedged, in percent; 100 is never.
    pub percent: f64,
    /// Only when at most this many shards are missing.
    pub last: u32,
    /// Hedges that an idle budget allows at once.
    pub burst: u32,
    /// A hedge that found no budget asks again after the delay over this.
    pub again: u32,
}

impl Default for Hedge {
    fn default() -> Self {
        Self { percent: 95.0, last: GROUPS, burst: 10, again: 1 }
    }
}

impl fmt::Display for Hedge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.percent >= 100.0 {
            return f.pad("off");
        }
        let last = if self.last < GROUPS { format!(" last {}", self.last) } else { String::new() };
        f.pad(&format!("{} b{}/{}{last}", self.percent, self.burst, self.again))
    }
}

/// Where nodes and servers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sites {
    /// All in one data centre.
    One,
    /// Two nodes and one server of each group in each region; the nodes prefer
    /// near servers or not.
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
    /// Queries a second that healthy servers can do.
    pub fn capacity() -> f64 {
        f64::from(REPLICAS * SLOTS) / (LEAST_US + SPREAD_US) * 1e6
    }

    /// One way between a node and a server.
    pub fn one_way(&self, node: usize, server: usize) -> Duration {
        let replica = server % REPLICAS as usize;
        match self.sites.site(node) == self.sites.site(replica) {
            true => NEAR,
            false => FAR,
        }
    }

    /// Queries a second that are offered.
    pub fn rate(&self) -> f64 {
        Self::capacity() * f64::from(self.load_percent) / 100.0
    }
}

/// A server: its slots and its waiting line, by attempts.
#[derive(Default)]
pub struct Server {
    pub running: Vec<usize>,
    pub waiting: VecDeque<usize>,
}

impl Server {
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }
}
