//! Experiments: the assignment of requests to arms, the counters of each arm, and
//! the decisions which arm wins and which has to be stopped. No I/O.

#![deny(missing_docs)]

pub mod assign;
pub mod guard;
pub mod interval;
pub mod plot;
pub mod report;
pub mod tally;
