//! What lives as long as the process: one [`Process`] and its background work.

pub mod follow;
pub mod state;
pub mod upstreams;
