//! Messages between a caller and an entry node: HTTP/1.1 with JSON bodies.
//!
//! Invariant: an [`Answer`]'s `covered` and `missing` together are exactly the
//! shards that were asked of the map that its snapshot names.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Snapshot;

/// `GET`: which entry nodes to use ([`Entries`]).
pub const ENTRIES_PATH: &str = "/v1/entries";
/// `POST` a [`Query`]: answered by an [`Answer`] (200) or a [`Refusal`].
pub const QUERY_PATH: &str = "/v1/query";
/// `GET`: 200 while the process runs.
pub const HEALTH_PATH: &str = "/v1/health";
/// `GET`: metrics in the scrape format.
pub const METRICS_PATH: &str = "/metrics";
/// `GET`: the whole state of the process as JSON.
pub const DUMP_PATH: &str = "/debug/state";
/// `GET` with `?request=`: the recorded trace of one request, as text.
pub const EXPLAIN_PATH: &str = "/debug/explain";

/// How urgent a request is; smaller is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody waits for it now.
    Urgent,
    /// Ordinary work.
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

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The query service.
    pub service: Arc<str>,
    /// Who asks; fairness and experiment arms go by it.
    pub caller: Arc<str>,
    /// How urgent it is.
    #[serde(default)]
    pub priority: Priority,
    /// The caller's time limit in milliseconds; the service's own if absent.
    #[serde(default)]
    pub deadline_ms: Option<u32>,
    /// A ticket marks the request as non-idempotent: it runs at most once.
    #[serde(default)]
    pub ticket: Option<String>,
    /// Whether running it twice does harm; such a request needs a ticket.
    #[serde(default)]
    pub non_idempotent: bool,
    /// The shards to ask; all of the map if absent. A non-idempotent request
    /// goes to exactly one.
    #[serde(default)]
    pub shards: Option<Vec<u32>>,
    /// The lowest index version that the answer may come from.
    #[serde(default)]
    pub min_version: Option<u64>,
    /// What is searched, passed to the upstreams as it is.
    pub body: serde_json::Value,
}

/// Why a shard is not covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No replica is known to hold the pinned snapshot.
    NoReplica,
    /// Every replica that holds the snapshot is leaving.
    Leaving,
    /// No reply came before the deadline.
    Deadline,
    /// Every attempt was refused by the upstream.
    Refused,
    /// Connections could not be opened.
    Unreachable,
    /// A reply was cut, malformed or answered something else.
    BadReply,
    /// The retry budget was spent.
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

/// A shard that the answer lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The shard's number in the snapshot's map.
    pub shard: u32,
    /// Why it is missing.
    pub reason: Reason,
}

/// What one shard found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The shard's number in the snapshot's map.
    pub shard: u32,
    /// The upstream's reply as it was.
    pub body: serde_json::Value,
}

/// The one answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The request's id, for `hsctl explain`.
    pub request: Arc<str>,
    /// The service that was asked.
    pub service: Arc<str>,
    /// The one snapshot that every part comes from.
    pub snapshot: Snapshot,
    /// The shards that the parts cover, ascending.
    pub covered: Vec<u32>,
    /// The shards that were asked and are not covered, ascending.
    pub missing: Vec<Missing>,
    /// What was found, by shard, ascending.
    pub parts: Vec<Part>,
    /// Attempts that were sent to upstreams.
    pub sends: u32,
    /// The experiment arm that decided, if any.
    #[serde(default)]
    pub arm: Option<Arc<str>>,
}

/// What is known about a request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream ran any part of it.
    NotRun,
    /// An upstream may have run it.
    Unknown,
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The request is malformed or asks what can't be.
    Invalid,
    /// The service is not known here.
    NoService,
    /// A non-idempotent request came without a ticket.
    NoTicket,
    /// The ticket was used for another request, or its table entry is gone.
    BadTicket,
    /// Too much work is waiting.
    Overload,
    /// It can't be finished before its deadline.
    Deadline,
    /// No snapshot at or above the wanted version can be served.
    NoSnapshot,
    /// No upstream could be reached.
    Unreachable,
    /// The upstreams refused it.
    Refused,
    /// The node that holds the ticket can't be asked.
    MinterGone,
    /// The reply of the upstream was lost.
    LostReply,
    /// The node has no fresh configuration yet.
    NotReady,
    /// The caller left before the answer.
    Cancelled,
}

/// The final word on a request that got no answer; sent at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The request's id, for `hsctl explain`.
    pub request: Arc<str>,
    /// Whether it may have run.
    pub outcome: Outcome,
    /// Why.
    pub cause: Cause,
    /// The same in words.
    pub message: String,
    /// When to come back, in milliseconds; absent if coming back won't help.
    #[serde(default)]
    pub retry_after_ms: Option<u32>,
}

/// One entry node that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// `ip:port` for callers.
    pub address: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// A run of ticket numbers of the answering node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The tickets, in the form that [`Query::ticket`] takes.
    pub tickets: Vec<String>,
    /// How long they may be first used, in milliseconds.
    pub keep_ms: u32,
}

/// Which entry nodes to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The nodes, best first.
    pub entries: Vec<Entry>,
    /// How long this answer may be kept, in milliseconds.
    pub keep_ms: u32,
    /// Tickets for non-idempotent requests, if asked for with `?tickets=N`.
    #[serde(default)]
    pub block: Option<Block>,
}
