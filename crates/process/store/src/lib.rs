//! A client of the platform's object API: reads, conditional writes and watches,
//! and what is certain about the effect of each call when the platform fails.

#![deny(missing_docs)]

pub mod api;
pub mod budget;
pub mod client;
pub mod watch;
pub mod watcher;
pub mod write;
