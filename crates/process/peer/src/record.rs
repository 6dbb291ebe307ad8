//! What nodes tell each other about a node.
//!
//! Invariant: only the node itself raises its [`Record::sequence`]. Of two
//! records of one incarnation the higher sequence is right; of two with the same
//! sequence, the worse state.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wire::id::Incarnation;

/// Whether a node is reached, from better to worse.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs and is not ready yet.
    #[default]
    Joining,
    /// It answers.
    Alive,
    /// It did not answer, directly or through others; it may refute that.
    Suspect,
    /// It was suspected for too long, or another incarnation took its address.
    Dead,
}

/// Whether a node means to stay, in the order in which it changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Departure {
    /// It stays.
    #[default]
    Staying,
    /// It is to stop and waits until another node can be named; it is named only
    /// if no node stays.
    Holding,
    /// It stops; it is never named again.
    Going,
}

/// What is known about one life of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The node's name.
    pub name: Arc<str>,
    /// Its life.
    pub incarnation: Incarnation,
    /// Raised by the node at each change of its own record.
    pub sequence: u64,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Whether it is reached.
    pub state: State,
    /// Whether it means to stay.
    pub leave: Departure,
    /// Whether it holds a configuration that callers may be served from.
    pub fresh: bool,
    /// Whether it has reached the platform lately.
    pub platform: bool,
    /// The highest configuration revision that it applied.
    pub applied: u64,
    /// Its load, in percent of what it can serve.
    pub load: u32,
    /// The stopped nodes whose tickets it took over, the latest last.
    pub minters: Vec<Incarnation>,
}

impl Record {
    /// A record of a node that has just started.
    pub fn new(
        name: Arc<str>,
        incarnation: Incarnation,
        addresses: Addresses,
        data_centre: Arc<str>,
        region: Arc<str>,
    ) -> Self {
        Self {
            name,
            incarnation,
            sequence: 1,
            caller: addresses.caller,
            peer: addresses.peer,
            operator: addresses.operator,
            data_centre,
            region,
            state: State::Joining,
            leave: Departure::Staying,
            fresh: false,
            platform: false,
            applied: 0,
            load: 0,
            minters: Vec::new(),
        }
    }

    /// Whether this record goes before `other` of the same incarnation.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.sequence, self.state) > (other.sequence, other.state)
    }

    /// Whether the node is thought to answer.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Joining | State::Alive)
    }

    /// Whether the node serves from a configuration in force.
    pub fn is_ready(&self) -> bool {
        self.state == State::Alive && self.fresh
    }

    /// Whether callers may be told of the node while it stays.
    pub fn is_nameable(&self) -> bool {
        self.is_ready() && self.leave == Departure::Staying
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {:?} {:?}", self.name, self.incarnation, self.state, self.leave)?;
        write!(f, " fresh={} applied={} load={}%", self.fresh, self.applied, self.load)
    }
}

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}
