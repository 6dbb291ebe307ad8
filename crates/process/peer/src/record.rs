//! The record that nodes exchange about each member.
//!
//! Invariant: only the node itself raises its [`Record::sequence`]. Of two records
//! of one incarnation the one with the higher sequence is newer; with equal
//! sequences, the worse state takes precedence.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wire::id::Incarnation;

/// The liveness of a node, from best to worse.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs and is not ready yet.
    #[default]
    Joining,
    /// It answers probes.
    Alive,
    /// It answered neither a direct nor an indirect probe. It may refute the
    /// suspicion.
    Suspect,
    /// It was suspected for too long, or another incarnation took its address.
    Dead,
}

/// How far a node is in leaving the deployment. It only ever moves forward.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Departure {
    /// It is not shutting down.
    #[default]
    Staying,
    /// It is about to shut down and waits until another node can take over. Lookups
    /// return it only if no node stays.
    Holding,
    /// It is shutting down; lookups never return it again.
    Going,
}

/// What is known about one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The node's name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Raised by the node at each change of its own record.
    pub sequence: u64,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for peers.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The node's data centre.
    pub data_centre: Arc<str>,
    /// The node's region.
    pub region: Arc<str>,
    /// Its liveness.
    pub state: State,
    /// Whether it is leaving.
    pub leave: Departure,
    /// Whether it holds a configuration that callers may be served from (see
    /// [`crate::freshness`]).
    pub fresh: bool,
    /// Whether it reached the platform recently.
    pub platform: bool,
    /// The highest configuration revision that it applied.
    pub applied: u64,
    /// Its load, in percent of its capacity.
    pub load: u32,
    /// The incarnations whose tickets it took over, most recent last.
    pub minters: Vec<Incarnation>,
}

impl Record {
    /// Creates the record of a node that has just started.
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

    /// Whether this record supersedes `other` of the same incarnation.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.sequence, self.state) > (other.sequence, other.state)
    }

    /// Whether the node is considered reachable.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Joining | State::Alive)
    }

    /// Whether the node is alive and serves from a configuration in force.
    pub fn is_ready(&self) -> bool {
        self.state == State::Alive && self.fresh
    }

    /// Whether lookups may return the node.
    pub fn is_lookup_eligible(&self) -> bool {
        self.is_ready() && self.leave == Departure::Staying
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {:?} {:?}", self.name, self.incarnation, self.state, self.leave)?;
        write!(f, " fresh={} applied={} load={}%", self.fresh, self.applied, self.load)
    }
}

/// The addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for peers.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
}
