//! Connections to upstream servers: a share of each server's cap, kept warm,
//! watched for silence, and never used again after an unread reply.

#![deny(missing_docs)]

pub mod client;
pub mod error;
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
