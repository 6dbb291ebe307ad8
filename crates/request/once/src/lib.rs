//! At-most-once runs of non-idempotent requests, without I/O.

#![deny(missing_docs)]

pub mod entry;
pub mod outcome;
pub mod sealed;
pub mod table;
