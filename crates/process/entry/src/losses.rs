//! Tells a lost path from servers that end under requests.
//!
//! A request that ends servers breaks the connections to those that run it. If connections that
//! carried no request break at nearly all other servers at the same moment, this node has lost its
//! path, or all servers their power, and no request has caused it.

use std::time::Duration;

/// How long ago connections broke that count together. Below the time after which a request is
/// blocked for servers that end together.
pub const SPAN: Duration = Duration::from_millis(200);
/// The minimum number of servers to which idle connections broke.
const MIN_LOST: usize = 2;
/// The minimum number of these for each server to which a connection is still open. Requests that
/// other nodes send end some servers at which this node runs nothing.
const LOST_PER_KEPT: usize = 3;

/// The servers at which no request of this node broke off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Those to which all connections broke while idle.
    pub lost: usize,
    /// Those to which connections are open.
    pub kept: usize,
}

impl Count {
    /// Whether the path is lost rather than single servers.
    pub fn is_path(self) -> bool {
        self.lost >= MIN_LOST && self.lost >= self.kept * LOST_PER_KEPT
    }
}
