//! What lives as long as one request.

pub mod admission;
pub mod answer;
mod core;
pub mod drive;
pub mod plan;
mod right;
pub mod serve;
pub mod ticket;
