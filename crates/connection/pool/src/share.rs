//! A node's share of the connection cap of a server.
//!
//! A server limits its connections from all nodes together, but the nodes have no
//! agreed membership. Shares that were computed from each node's own member list
//! would exceed the cap as soon as one node is missing from another's list. So the
//! share is computed from the largest fleet that may exist: the configured VMs and
//! a reserve for nodes that are being replaced. A node with more members in its
//! list uses that number, which only makes its share smaller.
//!
//! Invariant: as long as no more processes run than the largest fleet that any
//! of them is configured with, the shares of all processes sum to at most the
//! cap, whatever their member lists. Before VMs are added, the larger fleet
//! must be set on the running nodes.
//!
//! An alternative is to assign each server a home node, which uses the whole cap.
//! That wastes fewer connections, but two nodes that disagree about the home would
//! exceed the cap together. A fixed share requires no agreement; home nodes are
//! only used to choose a replica, where a disagreement breaks no guarantee. If the
//! cap is smaller than the fleet, the share is zero, and the server can only be
//! reached through other nodes.

/// The processes that may share the upstreams at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// The number of configured entry VMs.
    pub vms: u32,
    /// The number of additional processes that may run while VMs are replaced.
    pub reserve: u32,
}

impl Fleet {
    /// The number of processes to divide a cap by, given the node's member count.
    pub fn largest(self, members: u32) -> u32 {
        self.vms.saturating_add(self.reserve).max(members).max(1)
    }

    /// The connections that one node may have to a server with the cap `cap`.
    pub fn share(self, cap: u32, members: u32) -> u32 {
        cap / self.largest(members)
    }
}
