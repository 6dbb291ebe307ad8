//! Faults of upstream servers.
//!
//! Invariant: `heal` clears every fault that an action sets, except a kill
//! (`restart` reverts it), a drain and changes of the shards that a server holds.
//! Connections that were made silent or dropped stay so.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wire::upstream::ShardCopy;

/// An action and the servers that it applies to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// A server's name, `*` for all servers, or `prefix*` for all names with this
    /// prefix.
    pub server: Arc<str>,
    /// What happens to them.
    #[serde(flatten)]
    pub action: Action,
}

/// What happens to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Clears all faults of replies, reports and freezing.
    Heal,
    /// Delays the next replies: those of finished work, and refusals.
    Late {
        /// The delay in milliseconds.
        ms: u64,
        /// The number of replies; all if absent.
        #[serde(default)]
        replies: Option<u32>,
    },
    /// Sends, instead of each of the next replies, the reply to the request before.
    Swap {
        /// The number of replies.
        replies: u32,
    },
    /// Cuts the next replies off half-way, although their content length is that
    /// of the whole body.
    Cut {
        /// The number of replies.
        replies: u32,
    },
    /// Sends the next replies from a newer version than the requested one.
    Newer {
        /// The number of replies.
        replies: u32,
    },
    /// Refuses the next requests as not run.
    Shed {
        /// The number of requests.
        requests: u32,
    },
    /// Runs the next requests, but closes their connections without a reply.
    Lose {
        /// The number of replies.
        replies: u32,
    },
    /// Keeps reading from open connections, but never answers on them; new
    /// connections work.
    Silent,
    /// Abandons open connections without closing them; new connections work.
    Drop,
    /// Accepts, reads and sends nothing until [`Action::Heal`].
    Freeze,
    /// Stops listening and closes all connections; requests that run are lost.
    Kill,
    /// Starts a new, cold incarnation on the same port; kills the server first if
    /// it still runs.
    Restart,
    /// Refuses new requests and finishes the accepted ones, until a restart.
    Drain,
    /// Multiplies service times.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Reports this load instead of the actual one.
    Misreport {
        /// The reported load.
        load: u32,
    },
    /// Reports the state and load of some time ago.
    Lag {
        /// The age of the reports in milliseconds.
        ms: u64,
    },
    /// Replaces the shards that the server holds.
    Hold {
        /// The shards.
        holds: Vec<ShardCopy>,
    },
    /// Holds its current shards at one more version.
    AddVersion {
        /// The version.
        version: u64,
    },
    /// Stops holding a version.
    DropVersion {
        /// The version.
        version: u64,
    },
}

impl Fault {
    /// `action` for the servers that `server` matches.
    pub fn new(server: &str, action: Action) -> Self {
        Self { server: Arc::from(server), action }
    }

    /// Whether the fault applies to the server of this name.
    pub fn matches(&self, server: &str) -> bool {
        match self.server.strip_suffix('*') {
            Some(prefix) => server.starts_with(prefix),
            None => &*self.server == server,
        }
    }
}
