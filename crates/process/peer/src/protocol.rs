//! The messages between nodes, and what a node gives to its mesh.
//!
//! Invariant: every call may be made twice without harm: records, objects and
//! marks merge, and a query that is forwarded carries a ticket.

use std::sync::Arc;

use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::gossip::Root;
use crate::gossip::Version;
use crate::gossip::Withdrawal;
use crate::record::Record;
use conf::catalog::Catalog;
use conf::object::Object;
use wire::caller::Answer;
use wire::caller::Query;
use wire::caller::Refusal;
use wire::id::Incarnation;

/// The final word on a forwarded query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// It was answered.
    Answer(Answer),
    /// It was refused.
    Refusal(Refusal),
}

/// What a node gives to its mesh.
pub trait Handler: Send + Sync {
    /// The configuration in force on this node.
    fn catalog(&self) -> Arc<Catalog>;

    /// Objects from peers; the highest revision of each must be kept.
    fn on_objects(&self, objects: Vec<Object>);

    /// Upstreams that peers know to be leaving.
    fn on_withdrawals(&self, withdrawals: Vec<Withdrawal>);

    /// Runs a query whose ticket this node minted or took over.
    fn run_query(&self, query: Query) -> BoxFuture<'static, Response>;

    /// Takes the sealed tickets of nodes that stop; false if it can't.
    fn take_over(&self, tickets: Vec<u8>) -> bool;

    /// This node's share of the experiments' results.
    fn tallies(&self) -> Vec<u8>;

    /// This node's load, in percent of what it can serve.
    fn load(&self) -> u32 {
        0
    }
}

/// Asks whether a node is there, and tells what changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// Who asks.
    pub from: Record,
    /// What is thought of the node that is asked, for it to refute.
    pub opinions: Vec<Record>,
    /// What changed of other members.
    pub rumors: Vec<Record>,
}

/// The answer to a [`Probe`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// Who answers.
    pub record: Record,
    /// What changed of other members.
    pub rumors: Vec<Record>,
    /// The longest lifetime that it ever gave a lookup, in milliseconds.
    pub longest_keep_ms: u32,
}

/// What is new, sent without being asked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Configuration objects.
    pub objects: Vec<Object>,
    /// Upstreams that are leaving.
    pub marks: Vec<Withdrawal>,
}

/// The answer to a digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The answering node's digest.
    pub root: Root,
    /// Whether the answering node is fresh.
    pub fresh: bool,
    /// Its buckets, if the objects differ.
    pub buckets: Vec<u64>,
    /// Its marks, if they differ.
    pub marks: Vec<Withdrawal>,
}

/// The asking node's side of parts that differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The parts.
    pub buckets: Vec<u8>,
    /// All versions that it holds in them.
    pub versions: Vec<Version>,
}

/// The answering node's side.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchanged {
    /// Objects that the asking node lacks, as many as one message takes.
    pub objects: Vec<Object>,
    /// Whether there are more.
    pub more: bool,
    /// Hashes of the keys of objects that the answering node lacks.
    pub wanted: Vec<u64>,
}

/// The tickets of nodes that stop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandOver {
    /// The incarnations that minted them.
    pub minters: Vec<Incarnation>,
    /// The sealed tables.
    pub tickets: Vec<u8>,
}

/// The calls between nodes.
#[tarpc::service]
pub(crate) trait Link {
    async fn probe(probe: Probe) -> Ack;
    async fn relay(target: std::net::SocketAddr, probe: Probe) -> Option<Ack>;
    async fn members(digest: u64) -> Vec<Record>;
    async fn push(news: News);
    async fn digest(root: Root) -> Digest;
    async fn exchange(exchange: Exchange) -> Exchanged;
    async fn stay(asker: Record) -> bool;
    async fn act(query: Query) -> Response;
    async fn hand_over(hand_over: HandOver) -> bool;
    async fn tallies() -> Vec<u8>;
}
