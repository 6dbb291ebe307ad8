//! The division of limits over the nodes of a fleet: the tokens of one node, its part by what each
//! node would send, the tokens that all nodes have in common, and loans of connections. No I/O.

#![deny(missing_docs)]

pub mod bound;
pub mod common;
pub mod limit;
pub mod loan;
pub mod part;
pub mod usage;
