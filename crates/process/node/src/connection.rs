//! What lives as long as a caller's connection.

pub mod http_server;
pub mod respond;
