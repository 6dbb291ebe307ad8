//! Settings of the pool, fixed at the start of the process.
//!
//! Invariant: the settings do not change while the process runs, so a node's share
//! of a server's cap changes only with its member count.

use std::time::Duration;

use crate::share::Fleet;
use crate::silence;

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The maximum number of processes that share the upstreams.
    pub fleet: Fleet,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long a closed connection still counts towards the share, so that the
    /// server sees the close before a new connection arrives.
    pub close_delay: Duration,
    /// The maximum number of requests queued for a connection to one server.
    pub max_waiting: usize,
    /// How many connections to one server are opened in advance, up to the share.
    pub max_warm: u32,
    /// How long no connection is opened in advance after one could not be opened.
    pub connect_backoff: Duration,
    /// The maximum size of a reply body.
    pub max_body_bytes: usize,
    /// The interval at which [`crate::client::Pool::run`] checks the connections.
    pub tick_interval: Duration,
    /// When a connection is considered silent.
    pub silence: silence::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fleet: Fleet { vms: 6, reserve: 2 },
            connect_timeout: Duration::from_millis(250),
            close_delay: Duration::from_millis(20),
            max_waiting: 64,
            max_warm: 3,
            connect_backoff: Duration::from_millis(500),
            max_body_bytes: 8 << 20,
            tick_interval: Duration::from_millis(10),
            silence: silence::Settings::default(),
        }
    }
}
