//! The faults of the servers.
//!
//! Invariant: `heal` undoes all that an action may have set, but for a kill
//! (undone by `restart`), a drain and what is held.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wire::upstream::ShardCopy;

/// What is to happen to which servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// A server's name; `*` for all, `text*` for all that begin with the text.
    pub server: Arc<str>,
    /// What happens.
    #[serde(flatten)]
    pub action: Action,
}

/// What happens to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Ends all faults of replies, reports and freezing.
    Heal,
    /// The next replies come later, after the work is done.
    Late {
        /// By how many milliseconds.
        ms: u64,
        /// How many replies; all if absent.
        #[serde(default)]
        replies: Option<u32>,
    },
    /// The next replies are those of the request before.
    Swap {
        /// How many.
        replies: u32,
    },
    /// The next replies end half-way, with a length that says more.
    Cut {
        /// How many.
        replies: u32,
    },
    /// The next replies come from a newer version than the wanted one.
    Newer {
        /// How many.
        replies: u32,
    },
    /// The next requests are refused as not run.
    Shed {
        /// How many.
        requests: u32,
    },
    /// The next requests run, but their connections close without a reply.
    Lose {
        /// How many.
        replies: u32,
    },
    /// Open connections go on reading and never answer; new ones work.
    Silent,
    /// Open connections are forgotten without a close; new ones work.
    Drop,
    /// Nothing is accepted, read or sent until [`Action::Heal`].
    Freeze,
    /// Stops listening and closes all connections; work is lost.
    Kill,
    /// Starts anew on the same port with a new incarnation, cold, after a kill
    /// if it was not killed.
    Restart,
    /// Takes no new work and finishes what it has; until a restart.
    Drain,
    /// Service times are multiplied.
    Slow {
        /// By this.
        factor: f64,
    },
    /// Reports a load that is not its own.
    Misreport {
        /// The load.
        load: u32,
    },
    /// Reports its state and load as they were a while ago.
    Lag {
        /// The age in milliseconds.
        ms: u64,
    },
    /// Holds exactly these shards from now on.
    Hold {
        /// The shards.
        holds: Vec<ShardCopy>,
    },
    /// Holds its present shards at another version, too.
    AddVersion {
        /// The version.
        version: u64,
    },
    /// No longer holds a version.
    DropVersion {
        /// The version.
        version: u64,
    },
}

impl Fault {
    /// `action` for the servers that `server` names.
    pub fn new(server: &str, action: Action) -> Self {
        Self { server: Arc::from(server), action }
    }

    /// Whether it is for the server of this name.
    pub fn names(&self, server: &str) -> bool {
        match self.server.strip_suffix('*') {
            Some(prefix) => server.starts_with(prefix),
            None => &*self.server == server,
        }
    }
}
