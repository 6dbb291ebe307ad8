//! The HTTP server for callers.

pub mod http_server;
pub mod respond;
