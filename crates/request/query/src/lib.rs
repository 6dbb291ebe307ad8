//! The life of one query: fan-out, coverage, merge, hedging and retries,
//! without I/O.

#![deny(missing_docs)]

pub mod alarm;
pub mod budget;
pub mod context;
pub mod event;
mod last;
pub mod machine;
pub mod plan;
pub mod slot;
