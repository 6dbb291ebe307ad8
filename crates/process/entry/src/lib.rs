//! The serving side of an entry node: callers' requests, connections to upstream
//! servers, the registry of servers and nodes, and heartbeats between nodes.
//!
//! All tasks run on one thread; state is shared by reference count, and no borrow
//! is held across an await. The names and formats of a deployment are defined by
//! implementations of [`registry::Registry`] and [`protocol::Protocol`].

#![deny(missing_docs)]

pub mod buffer;
pub mod clock;
pub mod delays;
pub mod departures;
pub mod era;
pub mod fairness;
pub mod feed;
pub mod homes;
pub mod inbound;
pub mod losses;
pub mod members;
pub mod message;
pub mod pace;
pub mod placement;
pub mod protocol;
pub mod registry;
pub mod reply_memory;
pub mod revision;
pub mod run;
pub mod serving;
pub mod settings;
pub mod shares;
pub mod source;
pub mod stop;
pub mod timeouts;
pub mod unreadable;
pub mod unserved;
pub mod usage;

mod admin;
mod breaks;
mod customers;
mod drive;
mod evacuations;
mod exchange;
mod forward;
mod front;
mod heartbeat;
mod in_flight;
mod limits;
mod listener;
mod loans;
mod lookup;
mod metered;
mod metrics;
mod notices;
mod path;
mod process;
mod read;
mod relay;
mod serve;
mod trace;
pub mod upstream;
mod watcher;
