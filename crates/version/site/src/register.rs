//! What servers say of themselves in the registry.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// One life of a server: a server that starts again under the same id has a
/// later birth.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The server's id.
    pub id: Arc<str>,
    /// When it started, in Unix milliseconds; zero if it did not say.
    pub born: u64,
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.born)
    }
}

/// One entry of the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The server and its present life.
    pub life: Life,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
}
