//! Which replica gets an attempt: what is known of the upstream servers, which
//! of them are leaving, and the policies that choose among the rest.

#![deny(missing_docs)]

pub mod choice;
pub mod health;
pub mod holding;
pub mod latency;
pub mod leaving;
pub mod load;
pub mod mark;
pub mod observation;
pub mod place;
pub mod quantile;
pub mod ramp;
pub mod server;
pub mod settings;
pub mod table;

mod order;
