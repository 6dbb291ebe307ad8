//! At-most-once execution of non-idempotent requests, without I/O.

#![deny(missing_docs)]

pub mod entry;
pub mod export;
pub mod response;
pub mod table;
