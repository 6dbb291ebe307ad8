//! The messages by which nodes pass on the registry's state: polls and their answers.
//!
//! During a rolling replacement, nodes of several builds exchange them. Structs are encoded with
//! their field names, which every build can read and of which it ignores the unknown ones; a
//! field that was added later has a default. What an earlier build writes without names is read
//! too, so fields are only added at the end.
//!
//! Invariant: a kind that an earlier build does not know is sent only to a node whose poll names
//! it, since an unknown variant makes the whole answer unreadable.

use std::net::IpAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::registry::Batch;
use crate::registry::Kind;
use crate::revision::Revision;
use site::register::Incarnation;

/// The format of the configuration that this build passes on whole: with customers, allowed
/// regions and cold servers. Builds before it state none, and drop these.
pub const CONFIG_FORMAT: u32 = 1;

/// The kinds that are passed on to every node.
pub const KINDS: [Kind; 2] = [Kind::Config, Kind::Servers];

/// A poll: what the asking node has.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Its IP address.
    pub ip: IpAddr,
    /// The revision of its configuration, if it has one.
    pub config: Option<Revision>,
    /// The revision of its servers, if it has them.
    pub servers: Option<Revision>,
    /// The version of the configuration that it uses.
    pub version: Option<u64>,
    /// The registry's newest era that it knows.
    pub era: u64,
    /// Whether it has just started, so that it doesn't know which servers leave.
    pub is_new: bool,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// Whether it knows evacuations; nodes of earlier builds don't.
    #[serde(default)]
    pub knows_evacuations: bool,
    /// The revision of its evacuations, if it has them.
    #[serde(default)]
    pub evacuations: Option<Revision>,
}

impl Poll {
    /// The kinds that the asking node can read.
    pub fn kinds(&self) -> impl Iterator<Item = Kind> {
        let kinds = KINDS.into_iter().chain([Kind::Evacuations]);
        kinds.filter(|kind| self.knows_evacuations || *kind != Kind::Evacuations)
    }

    /// The revision of its state of a kind.
    pub fn revision(&self, kind: Kind) -> Option<Revision> {
        match kind {
            Kind::Config => self.config,
            Kind::Servers => self.servers,
            Kind::Evacuations => self.evacuations,
            Kind::Nodes => None,
        }
    }
}

/// What the asking node misses of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The kind.
    pub kind: Kind,
    /// Whether [`Self::batch`] is a list; otherwise it holds changes.
    pub is_list: bool,
    /// The list or the changes.
    pub batch: Batch,
}

/// The answer to a poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// What the asking node misses.
    pub updates: Vec<Update>,
    /// How long ago the registry confirmed the answering node's state of each kind, in
    /// milliseconds, in the order of [`KINDS`].
    pub ages_ms: [u64; 2],
    /// How long ago the answering node saw the last outage of the registry end, in
    /// milliseconds.
    pub outage_age_ms: Option<u64>,
    /// The registry's newest era that the answering node knows.
    pub era: u64,
    /// Whether the registry's list of the nodes in that era has the asking node, if the
    /// answering node has such a list.
    pub is_registered: Option<bool>,
    /// The servers that leave or have left, for an asking node that is new.
    pub leaving: Vec<Incarnation>,
    /// How long ago the registry confirmed the answering node's evacuations, in milliseconds, if
    /// it has them.
    #[serde(default)]
    pub evacuations_age_ms: Option<u64>,
    /// The evacuations that a copy of the registry lacks and for how many milliseconds they are
    /// still held.
    #[serde(default)]
    pub held_evacuations: Vec<(Arc<str>, u64)>,
    /// The format of the configuration that the answering node can pass on whole.
    #[serde(default)]
    pub config_format: u32,
}

impl State {
    /// Whether a configuration in it may lack what an earlier build does not know.
    pub fn may_lack_fields(&self) -> bool {
        self.config_format < CONFIG_FORMAT
    }
}

/// Encodes a message with the names of its fields.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec_named(message)
}

/// Decodes a message with or without the names of its fields.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
