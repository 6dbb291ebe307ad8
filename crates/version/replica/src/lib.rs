//! Server selection: what this node has observed of each server, the choice among
//! the servers of a service, and the budget of extra sends. No I/O.

#![deny(missing_docs)]

pub mod budget;
pub mod cold;
pub mod limit;
pub mod reach;
pub mod record;
pub mod service_time;
pub mod table;
