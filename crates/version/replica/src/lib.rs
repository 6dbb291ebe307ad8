//! Which server of a service gets a request: what this node has seen of each
//! server, the choice among them, and the budget of extra requests. No I/O.

#![deny(missing_docs)]

pub mod budget;
pub mod record;
pub mod service_time;
pub mod table;
