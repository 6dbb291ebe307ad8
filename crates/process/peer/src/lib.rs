//! Coordination of entry nodes: membership, dissemination of configuration,
//! selection of the nodes that watch the platform, lookups by callers, and graceful
//! shutdown.

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
