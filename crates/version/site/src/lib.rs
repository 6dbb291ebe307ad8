//! The deployment as one node currently knows it: the routes of the newest
//! configuration and the registered servers. No I/O.

#![deny(missing_docs)]

pub mod config;
pub mod evacuation;
pub mod fleet;
pub mod register;
pub mod router;
