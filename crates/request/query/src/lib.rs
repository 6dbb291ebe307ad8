//! Executes one query: fan-out to shards, hedging, retries, and merging of the
//! replies into an answer.
//!
//! The state machine does no I/O. Its inputs and outputs can be recorded as a
//! trace, which can be printed, parsed, replayed and verified.

#![deny(missing_docs)]

mod attempt;
pub mod budget;
pub mod context;
pub mod event;
pub mod machine;
mod pin;
pub mod plan;
pub mod read;
pub mod record;
pub mod replay;
mod response;
pub mod state;
pub mod timers;
pub mod trace;
pub mod verify;
mod write;
