//! How many connections of a server's cap one node may have.
//!
//! A server caps its connections over all nodes, and the nodes never agree on
//! who the nodes are. A share that is worked out from the members that a node
//! sees would pass the cap as soon as one node misses another. So the share
//! comes from the largest fleet that may exist: the configured VMs and a
//! reserve for nodes that are being replaced. A node that sees more members
//! than that counts those, which only makes its share smaller.
//!
//! Invariant: as long as no more processes run than the largest fleet that any
//! of them is configured with, the shares of all processes sum to at most the
//! cap, whatever members each of them sees. When the fleet is to grow, the
//! settings of the running nodes are raised before the new VMs start.
//!
//! The other way, a home node for each server which alone holds the whole cap,
//! uses the cap better, but two nodes that disagree on the home would both open
//! all of it. A fixed share needs no agreement; the home node is used for the
//! choice of the replica only, where a disagreement costs no promise. A cap
//! smaller than the fleet gives a share of zero: such a server can only be
//! reached through other nodes.

/// The processes that may share the upstreams at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// The configured entry VMs.
    pub vms: u32,
    /// Further processes that may run while VMs are being replaced.
    pub reserve: u32,
}

impl Fleet {
    /// The largest number of processes that may be believed to run, given the
    /// `seen` members.
    pub fn largest(self, seen: u32) -> u32 {
        self.vms.saturating_add(self.reserve).max(seen).max(1)
    }

    /// The connections that one node may have to a server of the cap `cap`.
    pub fn share(self, cap: u32, seen: u32) -> u32 {
        cap / self.largest(seen)
    }
}
