//! The interface to the registry: lists and watches of a deployment's
//! configuration, servers and nodes.

use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::revision::Revision;
use site::config::Config;
use site::register::Entry;

/// The timeout of a call, in addition to the time that a watch waits: a slow registry takes up to
/// a hundred times its usual 4 ms.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// The pending result of a call.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + 'a>>;

/// A kind of objects that can be listed and watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Versions of the configuration.
    Config,
    /// Upstream servers.
    Servers,
    /// Entry nodes.
    Nodes,
    /// Evacuations of data centres; watched only where the settings have a bound for them.
    Evacuations,
}

impl Kind {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Servers => "servers",
            Self::Nodes => "nodes",
            Self::Evacuations => "evacuations",
        }
    }
}

/// The registered data of an entry node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Its unique name.
    pub name: Arc<str>,
    /// Its IP address.
    pub ip: IpAddr,
    /// The address that serves callers.
    pub caller_address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its share of a processor core, in thousandths.
    pub capacity: u32,
}

/// One object of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A version of the configuration.
    Config(Box<Config>),
    /// An upstream server.
    Server(Entry),
    /// An entry node.
    Node(Node),
    /// The evacuation of the data centre of this name.
    Evacuation(Arc<str>),
}

/// An object of a list, or a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The object was created, changed or listed; its present content.
    Put(Item),
    /// The object of this name was deleted.
    Removed(Arc<str>),
    /// The object of this name can't be parsed.
    Unreadable {
        /// Its name.
        name: Arc<str>,
        /// The parse error.
        reason: String,
    },
}

/// A list, or the changes since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The objects or changes.
    pub events: Vec<Event>,
    /// The revision of the state that they lead to.
    pub revision: Revision,
}

/// The registry's answer to a list or a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// The objects or changes.
    pub events: Vec<Event>,
    /// The registry's era, if the answer states one.
    pub era: Option<u64>,
    /// The number of the revision that the next watch continues from.
    pub number: u64,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The registry no longer keeps the changes since that revision.
    #[error("the changes since that revision are no longer kept")]
    Compacted,
    /// The registry refused the call with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The call was not sent: no connection could be opened, or the request could not be
    /// built.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The call was sent, but no complete answer was received.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The registry returned from a copy while a list of several pages was read.
    #[error("the registry returned from a copy between two pages of a list")]
    EraChanged,
    /// The answer can't be parsed.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// How recent the state of a list must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It must contain all changes that were made before the call.
    Current,
    /// It may be some seconds old; this costs the registry less.
    Recent,
}

/// A client of the registry.
pub trait Registry {
    /// Lists all objects of a kind. The revision is at most that of the oldest object of the
    /// list, so that a watch from there misses no change.
    fn list(&self, kind: Kind, freshness: Freshness) -> Pending<'_, Reading>;

    /// Returns the changes of a kind since revision `number` of the registry's present era;
    /// waits up to `wait` if there are none yet.
    fn watch(&self, kind: Kind, number: u64, wait: Duration) -> Pending<'_, Reading>;

    /// Registers an entry node; does nothing if it is registered with the same data.
    fn register<'a>(&'a self, node: &'a Node) -> Pending<'a, ()>;
}
