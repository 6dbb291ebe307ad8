//! What lives as long as a caller's connection.

pub mod front;
pub mod respond;
