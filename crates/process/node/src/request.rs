//! What lives as long as one request.

pub mod admission;
pub mod answer;
mod core;
pub mod driver;
mod permit;
pub mod plan;
pub mod serve;
pub mod ticket;
