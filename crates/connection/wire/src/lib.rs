//! The messages that are exchanged with callers, upstream servers and the platform.

#![deny(missing_docs)]

pub mod caller;
pub mod id;
pub mod platform;
pub mod upstream;
