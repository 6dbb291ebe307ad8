//! The protocol between nodes, and the trait through which a mesh uses its node.
//!
//! Invariant: every call is idempotent: records, objects and withdrawals are
//! merged, and a forwarded query carries a ticket.

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

/// The outcome of a forwarded query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The query was answered.
    Answer(Answer),
    /// The query was refused.
    Refusal(Refusal),
}

/// The services that a mesh requires of its node.
pub trait Handler: Send + Sync {
    /// Returns the configuration in force on this node.
    fn catalog(&self) -> Arc<Catalog>;

    /// Applies objects received from peers. Of each object the highest revision
    /// must be kept.
    fn on_objects(&self, objects: Vec<Object>);

    /// Applies withdrawals of upstream servers received from peers.
    fn on_withdrawals(&self, withdrawals: Vec<Withdrawal>);

    /// Runs a query whose ticket this node minted or took over.
    fn run_query(&self, query: Query) -> BoxFuture<'static, Response>;

    /// Imports the exported tickets of nodes that shut down. Returns false if that
    /// fails.
    fn import_tickets(&self, tickets: Vec<u8>) -> bool;

    /// Returns this node's encoded contribution to the experiments' results.
    fn contribution(&self) -> Vec<u8>;

    /// Returns this node's load, in percent of its capacity.
    fn load(&self) -> u32 {
        0
    }
}

/// A liveness probe that also carries membership changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// The record of the sending node.
    pub from: Record,
    /// Records in which the sender has the probed node as suspect or dead, so that
    /// the node can refute them.
    #[serde(rename = "opinions")]
    pub suspicions: Vec<Record>,
    /// Recent changes of other members.
    pub rumors: Vec<Record>,
}

/// The answer to a [`Probe`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// The record of the answering node.
    pub record: Record,
    /// Recent changes of other members.
    pub rumors: Vec<Record>,
    /// The longest lifetime that the answering node ever gave a lookup, in
    /// milliseconds.
    #[serde(rename = "longest_keep_ms")]
    pub longest_lookup_ttl_ms: u32,
}

/// Changes that are pushed to peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Configuration objects.
    pub objects: Vec<Object>,
    /// Upstream servers that are leaving.
    #[serde(rename = "marks")]
    pub withdrawals: Vec<Withdrawal>,
}

/// The answer to a digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The answering node's digest.
    pub root: Root,
    /// Whether the answering node has been fresh since it started or last resumed.
    pub fresh: bool,
    /// The digests of its buckets, if the objects differ.
    pub buckets: Vec<u64>,
    /// Its withdrawals, if they differ.
    #[serde(rename = "marks")]
    pub withdrawals: Vec<Withdrawal>,
}

/// The asking node's object versions in the buckets that differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The buckets.
    pub buckets: Vec<u8>,
    /// All object versions that the asking node has in these buckets.
    pub versions: Vec<Version>,
}

/// The answer to an [`Exchange`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Objects that the asking node lacks or has in an older revision, up to the
    /// size limit of one message.
    pub objects: Vec<Object>,
    /// Whether there are more.
    pub more: bool,
    /// Hashes of the keys of objects that the answering node lacks or has in an
    /// older revision.
    #[serde(rename = "wanted")]
    pub requested: Vec<u64>,
}

/// The tickets of nodes that shut down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandOver {
    /// The incarnations that minted the tickets.
    pub minters: Vec<Incarnation>,
    /// The exported ticket tables.
    pub tickets: Vec<u8>,
}

/// The RPC interface between nodes.
#[tarpc::service]
pub(crate) trait Link {
    /// Checks that the node is alive and exchanges membership changes.
    async fn probe(probe: Probe) -> Ack;
    /// Probes `target` on behalf of the caller; `None` if it did not answer.
    async fn relay(target: std::net::SocketAddr, probe: Probe) -> Option<Ack>;
    /// Returns all members; none if `digest` is the same here.
    async fn members(digest: u64) -> Vec<Record>;
    /// Delivers changes.
    async fn push(news: Update);
    /// Compares the state of the caller with that of the node.
    async fn digest(root: Root) -> Digest;
    /// Compares object versions and returns the newer objects.
    async fn exchange(exchange: Exchange) -> ExchangeReply;
    /// Asks the node to grant the shutdown of `asker` by staying available to lookups.
    async fn stay(asker: Record) -> bool;
    /// Runs a forwarded query.
    async fn act(query: Query) -> Response;
    /// Hands tickets over; false if the node did not accept them.
    async fn hand_over(hand_over: HandOver) -> bool;
    /// Returns the node's contribution to the experiments' results.
    async fn tallies() -> Vec<u8>;
}
