//! The messages that cross a connection: with callers, upstreams, the platform.

#![deny(missing_docs)]

pub mod caller;
pub mod id;
pub mod platform;
pub mod upstream;
