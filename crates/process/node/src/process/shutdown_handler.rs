//! The planned stop of this node: carries out the steps that the state machine in
//! `peer` requests.

use std::sync::Arc;

use crate::connection::http_server::HttpServer;
use crate::process::state::Process;
use peer::shutdown_driver;

/// What a planned stop acts on.
pub struct ShutdownHandler {
    /// The process.
    pub process: Arc<Process>,
    /// The HTTP server for callers.
    pub http_server: Arc<HttpServer>,
}

impl shutdown_driver::Handler for ShutdownHandler {
    fn running(&self) -> usize {
        self.http_server.running_requests() + self.process.detached_requests.len()
    }

    fn close_idle(&self) {
        self.http_server.close_idle();
    }

    fn export_tickets(&self) -> Vec<u8> {
        let export = self.process.tickets.with(|table| table.export());
        rmp_serde::to_vec(&export).unwrap_or_else(|error| {
            log::error!(target: "once", "The tickets can't be serialized: {error}.");
            Vec::new()
        })
    }
}
