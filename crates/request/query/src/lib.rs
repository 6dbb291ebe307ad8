//! The life of one query: fan-out, coverage, merge, hedging and retries,
//! without I/O; and its trace: recorded, printed, replayed and verified.

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
