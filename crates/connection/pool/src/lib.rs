//! Connection pool for upstream servers. A node uses its share of each server's
//! connection cap, keeps some connections open in advance, closes those that stop
//! responding, and never reuses a connection with an unread reply.

#![deny(missing_docs)]

pub mod client;
pub mod error;
pub mod pause;
pub mod reply;
pub mod request;
pub mod server;
pub mod settings;
pub mod share;
pub mod silence;

mod connect;
mod exchange;
mod lease;
mod state;
