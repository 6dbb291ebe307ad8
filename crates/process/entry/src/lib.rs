//! The serving side of an entry node: callers' requests, the servers behind
//! them, the registry that says what there is, and the other nodes.
//!
//! One thread runs all of it; state is shared by reference count, and no borrow
//! is held across an await. What names and formats are spoken outside is behind
//! [`registry::Registry`] and [`protocol::Protocol`].

#![deny(missing_docs)]

pub mod clock;
pub mod members;
pub mod protocol;
pub mod registry;
pub mod run;
pub mod settings;

mod bootstrap;
mod drive;
mod exchange;
mod front;
mod heartbeat;
mod listener;
mod lookup;
mod metrics;
mod process;
mod read;
mod serve;
mod trace;
pub mod upstream;
mod watcher;
