//! Evacuated data centres: applies what the registry and other nodes say of them to the table.

use std::sync::Arc;
use std::time::Duration;

use crate::limits;
use crate::process::Process;
use crate::registry::Event;
use crate::registry::Item;
use crate::registry::Kind;
use crate::revision::Revision;
use site::evacuation::Change;
use site::evacuation::HOLD_TIME;
use site::evacuation::Origin;

/// The state of the registry in the terms of [`site::evacuation`].
pub(crate) fn origin(revision: Revision) -> Origin {
    Origin { era: revision.era, revision: revision.number }
}

/// Records that the registry has an object of `data_centre`.
pub(crate) fn put(process: &Process, origin: Origin, data_centre: &Arc<str>) {
    let now = process.clock.now();
    let change = process.evacuations.borrow_mut().put(now, origin, data_centre);
    apply(process, change.as_slice(), origin, "registry");
}

/// Records that the object of `data_centre` was removed.
pub(crate) fn removed(process: &Process, data_centre: &str) {
    let change = process.evacuations.borrow_mut().removed(data_centre);
    apply(process, change.as_slice(), Origin::default(), "registry");
}

/// Applies a list of all objects.
pub(crate) fn apply_list(process: &Process, origin: Origin, list: &[Arc<str>], is_copy: bool) {
    let now = process.clock.now();
    let changes = process.evacuations.borrow_mut().apply_list(now, origin, list, is_copy);
    apply(process, &changes, origin, "registry");
    let evacuations = process.evacuations.borrow();
    for (data_centre, left) in evacuations.held(now) {
        log::warn!(target: "registry", data_centre = data_centre.as_ref(), left_ms = left.as_millis() as u64; "The registry returned without the evacuation of a data centre; it is held for a while.");
    }
}

/// Ends the evacuations that were held for long enough.
pub(crate) fn expire(process: &Process) {
    let changes = process.evacuations.borrow_mut().expire(process.clock.now());
    apply(process, &changes, Origin::default(), "expiry of a held evacuation");
}

/// Takes over the evacuations that another node holds.
pub(crate) fn hold(process: &Process, held: &[(Arc<str>, u64)]) {
    if !process.has_evacuations() {
        return;
    }
    let now = process.clock.now();
    let origin = Origin { era: process.era.borrow().newest(), revision: 0 };
    for (data_centre, left_ms) in held {
        let left = Duration::from_millis(*left_ms);
        let change = process.evacuations.borrow_mut().hold(now, origin, data_centre, left);
        apply(process, change.as_slice(), origin, "another node");
    }
}

/// The evacuations that a copy of the registry lacks, with the milliseconds left. Until this node
/// has listed the objects of the newest era, the copy may lack any of those that it knows.
pub(crate) fn held(process: &Process) -> Vec<(Arc<str>, u64)> {
    let revision = process.feeds.borrow().of(Kind::Evacuations).revision();
    let is_outdated = revision.is_some_and(|known| process.is_outdated(known));
    let evacuations = process.evacuations.borrow();
    let registered = evacuations.registered().filter(|_| is_outdated);
    let all = registered.map(|name| (name, HOLD_TIME)).chain(evacuations.held(process.clock.now()));
    all.map(|(name, left)| (Arc::clone(name), left.as_millis() as u64)).collect()
}

/// The registry's objects, for other nodes.
pub(crate) fn list(process: &Process) -> Vec<Event> {
    let evacuations = process.evacuations.borrow();
    let put = |name: &Arc<str>| Event::Put(Item::Evacuation(Arc::clone(name)));
    evacuations.registered().map(put).collect()
}

fn apply(process: &Process, changes: &[Change], origin: Origin, source: &str) {
    for change in changes {
        match change {
            Change::Began(name) => {
                process.table.borrow_mut().set_evacuated(name, true);
                log::warn!(target: "servers", data_centre = name.as_ref(), era = origin.era, revision = origin.revision, source; "A data centre is evacuated; its servers get no requests.");
            }
            Change::Ended(name) => {
                let cold = limits::cold_servers(process);
                process.table.borrow_mut().set_evacuated(name, false);
                process.table.borrow_mut().returned(process.clock.now(), name);
                log::warn!(target: "servers", data_centre = name.as_ref(), source; "The evacuation of a data centre ended; its servers get requests again.");
                limits::log_new_cold(process, &cold, "return from an evacuation");
            }
        }
    }
    if !changes.is_empty() {
        process.metrics.record_evacuated(process.evacuations.borrow().len());
    }
}
