//! Applies updates from the platform to this node.

use std::sync::Arc;
use std::time::Duration;

use crate::process::state::Process;
use conf::object::Object;
use store::watcher;
use wire::platform::Vms;

/// Passes updates from the platform to the process and its peers.
pub struct PlatformHandler(pub Arc<Process>);

impl watcher::Handler for PlatformHandler {
    fn is_watcher(&self) -> bool {
        self.0.mesh().is_some_and(|mesh| mesh.is_watcher())
    }

    fn highest_known_revision(&self) -> u64 {
        self.0.mesh().map_or(0, |mesh| mesh.highest_known_revision())
    }

    fn on_objects(&self, objects: Vec<Object>) {
        // The mesh calls `PeerHandler::on_objects` with the objects that are newer.
        if let Some(mesh) = self.0.mesh() {
            mesh.push(objects);
        }
    }

    fn on_synced(&self, _revision: u64) {
        if let Some(mesh) = self.0.mesh() {
            mesh.set_synced(true);
        }
    }

    fn on_vms(&self, vms: Vms) {
        self.0.upstreams.update(|table| table.update_vms(&vms.vms));
        if let Some(mesh) = self.0.mesh() {
            mesh.set_vms(&vms);
        }
    }

    fn on_outage(&self, span: Duration) {
        let reachable = span.is_zero();
        self.0.record_platform_check(reachable);
        if let Some(mesh) = self.0.mesh() {
            mesh.set_platform_reachable(reachable);
        }
    }
}
