//! What lives as long as one request.

pub mod admission;
pub mod answer;
pub mod drive;
pub mod plan;
pub mod serve;
pub mod ticket;
