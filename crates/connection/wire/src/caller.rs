//! Messages between a caller and an entry node: HTTP/1.1 with JSON bodies.
//!
//! Invariant: `covered` and `missing` of an [`Answer`] together are exactly the
//! requested shards of the snapshot's map.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Snapshot;

/// `GET`: the entry nodes to use ([`EntryNodes`]).
pub const ENTRIES_PATH: &str = "/v1/entries";
/// `POST` a [`Query`]: returns an [`Answer`] (200) or a [`Refusal`].
pub const QUERY_PATH: &str = "/v1/query";
/// `GET`: 200 while the process runs.
pub const HEALTH_PATH: &str = "/v1/health";
/// `GET`: metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// `GET`: the state of the process as JSON.
pub const DUMP_PATH: &str = "/debug/state";
/// `GET` with `?request=`: the recorded trace of one request, as text.
pub const EXPLAIN_PATH: &str = "/debug/explain";

/// The priority of a request; smaller values are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A user is waiting for the answer.
    Urgent,
    /// All other requests.
    #[default]
    Routine,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
        })
    }
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The name of the service to query.
    pub service: Arc<str>,
    /// The caller's name; fair queueing and experiment arms are assigned by it.
    pub caller: Arc<str>,
    /// The priority.
    #[serde(default)]
    pub priority: Priority,
    /// The caller's deadline in milliseconds; the service's default if absent.
    #[serde(default)]
    pub deadline_ms: Option<u32>,
    /// The ticket of a non-idempotent request, which is run at most once.
    #[serde(default)]
    pub ticket: Option<String>,
    /// Whether it must not be run twice; such a request requires a ticket.
    #[serde(default)]
    pub non_idempotent: bool,
    /// The shards to query; all shards of the map if absent. A non-idempotent
    /// request must name exactly one.
    #[serde(default)]
    pub shards: Option<Vec<u32>>,
    /// The lowest acceptable index version.
    #[serde(default)]
    pub min_version: Option<u64>,
    /// The search, passed to the upstreams unchanged.
    pub body: serde_json::Value,
}

/// Why a shard is not covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No known replica holds the snapshot that the request uses.
    NoReplica,
    /// Every replica that holds the snapshot is shutting down.
    Leaving,
    /// No reply arrived before the deadline.
    Deadline,
    /// The upstream servers refused every attempt.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// A reply was truncated, malformed or belonged to another attempt.
    BadReply,
    /// The retry budget was exhausted.
    Budget,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoReplica => "no_replica",
            Self::Leaving => "leaving",
            Self::Deadline => "deadline",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::BadReply => "bad_reply",
            Self::Budget => "budget",
        })
    }
}

/// A shard that the answer does not cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard's number in the snapshot's map.
    pub shard: u32,
    /// Why it is missing.
    pub reason: Reason,
}

/// The result of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardResult {
    /// The shard's number in the snapshot's map.
    pub shard: u32,
    /// The body of the upstream's reply, unchanged.
    pub body: serde_json::Value,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The request's id, for `hsctl explain`.
    pub request: Arc<str>,
    /// The service that was queried.
    pub service: Arc<str>,
    /// The snapshot that all results come from.
    pub snapshot: Snapshot,
    /// The covered shards, ascending.
    pub covered: Vec<u32>,
    /// The requested shards that are not covered, ascending.
    pub missing: Vec<MissingShard>,
    /// The results, ascending by shard.
    pub parts: Vec<ShardResult>,
    /// The number of attempts that were sent to upstreams.
    pub sends: u32,
    /// The experiment arm whose policy was used, if any.
    #[serde(default)]
    pub arm: Option<Arc<str>>,
}

/// Whether a request that got no answer may have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream ran any part of it.
    NotRun,
    /// An upstream may have run it.
    Unknown,
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request is malformed or cannot be satisfied.
    Invalid,
    /// The node has no such service.
    NoService,
    /// A non-idempotent request has no ticket.
    NoTicket,
    /// The ticket was used for another request, or its entry was removed.
    BadTicket,
    /// Too many requests are queued.
    Overload,
    /// The request cannot be finished before its deadline.
    Deadline,
    /// No snapshot at or above the requested version can be served.
    NoSnapshot,
    /// No upstream could be reached.
    Unreachable,
    /// The upstreams refused the request.
    Refused,
    /// The node that issued the ticket cannot be reached.
    MinterGone,
    /// The reply of the upstream was lost.
    LostReply,
    /// The node has no current configuration yet.
    NotReady,
    /// The caller closed its connection before the answer.
    Cancelled,
}

/// The response to a request that gets no answer, sent as soon as that is decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The request's id, for `hsctl explain`.
    pub request: Arc<str>,
    /// Whether it may have been run.
    pub outcome: Execution,
    /// Why it got no answer.
    pub cause: Cause,
    /// The cause as a readable message.
    pub message: String,
    /// The time to wait before a retry, in milliseconds; absent if a retry is
    /// pointless.
    #[serde(default)]
    pub retry_after_ms: Option<u32>,
}

/// One entry node that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryNode {
    /// The address for callers, as `ip:port`.
    pub address: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// Tickets that the responding node issued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketBlock {
    /// The tickets, in the text form of [`Query::ticket`].
    pub tickets: Vec<String>,
    /// The time until they must be first used, in milliseconds.
    pub keep_ms: u32,
}

/// The entry nodes that a caller is to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryNodes {
    /// The nodes in order of preference.
    pub entries: Vec<EntryNode>,
    /// How long this response may be cached, in milliseconds.
    pub keep_ms: u32,
    /// Tickets for non-idempotent requests, if requested with `?tickets=N`.
    #[serde(default)]
    pub block: Option<TicketBlock>,
}
