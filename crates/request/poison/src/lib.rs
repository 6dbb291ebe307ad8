//! Requests that end the servers that run them. No I/O.

#![deny(missing_docs)]

pub mod identity;
