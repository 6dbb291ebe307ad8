//! The division of a rate over the nodes of a fleet: the tokens of one node, its part by what each
//! node would send, and the tokens that all nodes have in common. No I/O.

#![deny(missing_docs)]

pub mod bound;
pub mod common;
pub mod limit;
pub mod part;
pub mod usage;
