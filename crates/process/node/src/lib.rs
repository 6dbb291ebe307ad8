//! The entry node: sockets, tasks and timers around the state machines of the other
//! crates.

#![deny(missing_docs)]

pub mod connection;
pub mod journal;
pub mod logging;
pub mod metrics;
pub mod options;
pub mod process;
pub mod request;
