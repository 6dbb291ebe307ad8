//! What the pool is told at the start of the process.
//!
//! Invariant: nothing here is changed while the process runs, so a node's
//! share of a server's cap changes only with the members it sees.

use std::time::Duration;

use crate::share::Fleet;
use crate::silence;

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The largest fleet that shares the upstreams.
    pub fleet: Fleet,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long a closed connection keeps its place in the share, so that the
    /// server has seen the close before a new connection arrives.
    pub settle: Duration,
    /// The most requests that wait for a connection of one server.
    pub most_waiting: usize,
    /// The most connections of one server that are kept open without a
    /// request; the share is the upper bound.
    pub most_warm: u32,
    /// How long a server whose connection failed is not tried for warmth.
    pub back_off: Duration,
    /// The longest reply body, in bytes.
    pub body_limit: usize,
    /// How often [`crate::client::Pool::run`] looks after the connections.
    pub tick: Duration,
    /// When a connection counts as silent.
    pub silence: silence::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fleet: Fleet { vms: 6, reserve: 2 },
            connect_timeout: Duration::from_millis(250),
            settle: Duration::from_millis(20),
            most_waiting: 64,
            most_warm: 3,
            back_off: Duration::from_millis(500),
            body_limit: 8 << 20,
            tick: Duration::from_millis(10),
            silence: silence::Settings::default(),
        }
    }
}
