//! What the node does with what the platform shows.

use std::sync::Arc;
use std::time::Duration;

use crate::process::state::Process;
use conf::object::Object;
use store::follow;
use wire::platform::Vms;

/// Passes the platform's changes to the process and its peers.
pub struct Host(pub Arc<Process>);

impl follow::Host for Host {
    fn holds_watch(&self) -> bool {
        self.0.mesh().is_some_and(|mesh| mesh.is_watcher())
    }

    fn heard(&self) -> u64 {
        self.0.mesh().map_or(0, |mesh| mesh.highest_known_revision())
    }

    fn offer(&self, objects: Vec<Object>) {
        // The mesh gives back what is newer, see `hub::Hub::on_objects`.
        if let Some(mesh) = self.0.mesh() {
            mesh.push(objects);
        }
    }

    fn synced(&self, _revision: u64) {
        if let Some(mesh) = self.0.mesh() {
            mesh.set_synced(true);
        }
    }

    fn vms(&self, vms: Vms) {
        self.0.upstreams.learn(|table| table.update_vms(&vms.vms));
        if let Some(mesh) = self.0.mesh() {
            mesh.set_vms(&vms);
        }
    }

    fn failing(&self, span: Duration) {
        let answers = span.is_zero();
        self.0.saw_platform(answers);
        if let Some(mesh) = self.0.mesh() {
            mesh.set_platform_reachable(answers);
        }
    }
}
