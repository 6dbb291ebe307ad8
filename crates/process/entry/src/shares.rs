//! How the limits that all nodes share are divided among them. No I/O.
//!
//! The serving nodes get most of each limit in equal parts. The rest is left to the
//! standby nodes, of which few are in use at a time.

/// The nodes that share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Whether this node serves.
    pub serving: bool,
    /// The number of serving nodes, including this one if it serves.
    pub serving_nodes: u32,
    /// The number of standby nodes, including this one if it stands by.
    pub standby_nodes: u32,
}

/// The maximum number of connections to a server, whatever its limit.
const MAX_CONNECTIONS: u32 = 12;
/// The connections of a standby node to a server.
const STANDBY_CONNECTIONS: u32 = 2;
/// The fraction of a server's connections that standby nodes may use together.
const STANDBY_CONNECTION_FRACTION: f64 = 0.25;
/// The fraction of the slack of extra sends that standby nodes may use together.
const STANDBY_SLACK_FRACTION: f64 = 0.15;
/// The number of serving nodes that may have joined without being known yet.
const SPARE_NODES: u32 = 1;

impl Shares {
    /// This node's share of a server's `limit` of connections.
    pub fn connections(&self, limit: u32) -> u32 {
        let for_standby = (f64::from(limit) * STANDBY_CONNECTION_FRACTION) as u32;
        let for_standby = for_standby.min(self.standby_nodes * STANDBY_CONNECTIONS);
        if self.serving {
            let nodes = self.serving_nodes.max(1) + SPARE_NODES;
            ((limit - for_standby) / nodes).clamp(1, MAX_CONNECTIONS)
        } else {
            STANDBY_CONNECTIONS.min(for_standby).max(1)
        }
    }

    /// This node's fraction of the slack of extra sends.
    pub fn slack_fraction(&self) -> f64 {
        let for_standby = if self.standby_nodes > 0 { STANDBY_SLACK_FRACTION } else { 0.0 };
        if self.serving {
            (1.0 - for_standby) / f64::from(self.serving_nodes.max(1))
        } else {
            for_standby / f64::from(self.standby_nodes.max(1))
        }
    }
}
