//! Stand-ins for the systems around the query tier: the platform, the upstream
//! servers and the callers. Tests start them in-process; the examples of this
//! crate run them as separate processes.

#![deny(missing_docs)]

pub mod caller;
pub mod crashing;
pub mod cutting;
pub mod doubling;
pub mod endless;
pub mod hits;
pub mod http;
pub mod instance;
pub mod link;
pub mod platform;
pub mod raw;
pub mod store;
pub mod upstream;
pub mod wait;
