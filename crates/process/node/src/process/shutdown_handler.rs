//! The planned stop of this node: what the state machine of `peer` asks for.

use std::sync::Arc;

use crate::connection::http_server::Front;
use crate::process::state::Process;
use peer::shutdown_driver;

/// The node as its stop sees it.
pub struct Host {
    /// The node.
    pub process: Arc<Process>,
    /// Its listening side towards callers.
    pub front: Arc<Front>,
}

impl shutdown_driver::Handler for Host {
    fn running(&self) -> usize {
        self.front.busy() + self.process.requests.len()
    }

    fn close_idle(&self) {
        self.front.close_idle();
    }

    fn seal(&self) -> Vec<u8> {
        let sealed = self.process.tickets.with(|table| table.export());
        rmp_serde::to_vec(&sealed).unwrap_or_else(|error| {
            log::error!(target: "once", "The tickets can't be written: {error}.");
            Vec::new()
        })
    }
}
