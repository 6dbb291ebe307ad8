//! Replica selection: the recorded state of the upstream servers, which of them
//! are leaving, and the policies that choose among the others.

#![deny(missing_docs)]

pub mod choice;
pub mod health;
pub mod latency;
pub mod leaving;
pub mod load;
pub mod locality;
pub mod observation;
pub mod quantile;
pub mod server;
pub mod settings;
pub mod shard_copy;
pub mod slow_start;
pub mod table;
pub mod withdrawal;

mod order;
