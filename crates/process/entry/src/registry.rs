//! The registry as a node sees it: lists and watches of what a deployment
//! consists of.

use std::future::Future;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use site::config::Config;
use site::register::Entry;

/// The answer of a call, to come.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + 'a>>;

/// What is listed and watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The operators' configuration.
    Config,
    /// Upstream servers.
    Servers,
    /// Entry nodes.
    Nodes,
}

/// An entry node as it registers itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: Arc<str>,
    /// Its address.
    pub ip: IpAddr,
    /// Where it serves callers.
    pub caller_address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// One object of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A version of the configuration.
    Config(Box<Config>),
    /// An upstream server.
    Server(Entry),
    /// An entry node.
    Node(Node),
}

/// One object as listed, or one change.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The object as it is now.
    Put(Item),
    /// The object of this name is not there.
    Removed(Arc<str>),
    /// The object of this name is of no use.
    Unreadable {
        /// Its name.
        name: Arc<str>,
        /// What is wrong with it.
        reason: String,
    },
}

/// A list or the changes since a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The objects or changes.
    pub events: Vec<Event>,
    /// The revision to go on from.
    pub revision: u64,
}

/// Why a call gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The changes since that revision are no longer kept.
    #[error("the history since that revision is gone")]
    Compacted,
    /// The registry refused the call.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The call was sent and no usable answer came.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer can't be read.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// The registry.
pub trait Registry {
    /// All objects of a kind.
    fn list(&self, kind: Kind) -> Pending<'_, Batch>;

    /// The changes of a kind since `revision`; waits for one up to `wait`.
    fn watch(&self, kind: Kind, revision: u64, wait: Duration) -> Pending<'_, Batch>;

    /// Registers an entry node, unless it is registered as it is.
    fn register<'a>(&'a self, node: &'a Node) -> Pending<'a, ()>;
}
