//! State and logic of a single request.

pub mod admission;
pub mod answer;
mod core;
pub mod driver;
mod permit;
pub mod plan;
pub mod serve;
pub mod ticket;
