//! The division of a rate over the nodes of a fleet: the tokens of one node, and its part by
//! what each node would send. No I/O.

#![deny(missing_docs)]

pub mod bound;
pub mod limit;
pub mod part;
pub mod usage;
