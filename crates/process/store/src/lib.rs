//! The platform's object API as a node sees it: conditional writes, reads,
//! watches, and what may be said about each when the platform misbehaves.

#![deny(missing_docs)]

pub mod api;
pub mod budget;
pub mod client;
pub mod watch;
pub mod watcher;
pub mod write;
