//! What servers publish about themselves in the registry.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// One run of a server process: the server's id and start time. A server that
/// restarts under the same id has a later start time.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The server's id.
    pub id: Arc<str>,
    /// When it started, in Unix milliseconds; zero if the entry does not say.
    pub born: u64,
}

/// Log lines contain this form, so it keeps the name `Life`.
impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Life").field("id", &self.id).field("born", &self.born).finish()
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born)
    }
}

/// A server's entry in the registry.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The server and its current incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it is about to shut down and must get no more requests.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
}

/// Log lines contain this form, so the incarnation keeps the name `life`.
impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("life", &self.incarnation)
            .field("service", &self.service)
            .field("address", &self.address)
            .field("data_centre", &self.data_centre)
            .field("slots", &self.slots)
            .field("draining", &self.draining)
            .field("warmup", &self.warmup)
            .finish()
    }
}
