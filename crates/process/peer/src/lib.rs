//! How entry nodes act together: who is there, what each must learn, who watches
//! the platform, whom callers are told of, and how a node stops.

#![deny(missing_docs)]

mod connect;
pub mod freshness;
pub mod gossip;
pub mod lookup;
mod loops;
pub mod member;
pub mod mesh;
pub mod meter;
pub mod protocol;
pub mod record;
mod serve;
mod shared;
pub mod shutdown;
pub mod shutdown_driver;
pub mod summary;
pub mod watcher;
