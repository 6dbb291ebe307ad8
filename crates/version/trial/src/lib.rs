//! Experiments: which arm a request goes to, what is counted for each arm, and
//! which arm wins or has to be stopped. No I/O.

#![deny(missing_docs)]

pub mod assign;
pub mod guard;
pub mod interval;
pub mod plot;
pub mod report;
pub mod tally;
