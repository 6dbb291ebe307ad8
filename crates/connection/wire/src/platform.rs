//! Messages between a node and the platform's object API: HTTP/1.1 with JSON.
//!
//! - `GET /v1/objects/{kind}`: [`List`].
//! - `GET /v1/objects/{kind}/{name}`: [`Object`], or 404.
//! - `PUT /v1/objects/{kind}/{name}` with the value as body and `If-Match: REV`
//!   or `If-None-Match: *`: the new [`Object`], or 412 with the current one.
//! - `DELETE` with `If-Match: REV`: the tombstone as an [`Object`], or 412.
//! - `GET /v1/watch?since=REV&wait_ms=MS`: [`Batch`]; waits for changes, and
//!   returns an empty batch after `wait_ms`. A pending watch counts as a call.
//! - `GET /v1/vms`: [`Vms`]; may be out of date.
//!
//! Invariant: all revisions come from one counter, so a higher revision is a
//! later change, also between objects; a deleted object keeps the revision of its
//! tombstone.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The path prefix of the objects.
pub const OBJECTS_PATH: &str = "/v1/objects";
/// The path of the watch.
pub const WATCH_PATH: &str = "/v1/watch";
/// The path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";
/// The largest accepted value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The object's kind.
    pub kind: Arc<str>,
    /// Its name, unique within the kind.
    pub name: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// `None` marks a tombstone.
    pub value: Option<serde_json::Value>,
}

/// All objects of one kind, without tombstones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The revision of the store that the list shows.
    pub revision: u64,
    /// The objects.
    pub items: Vec<Object>,
}

/// Changes after a revision in ascending order, including tombstones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The revision to resume the watch from.
    pub revision: u64,
    /// The changes.
    pub items: Vec<Object>,
}

/// Whether a VM is being removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// The VM stays in service.
    Live,
    /// The VM is being removed.
    Leaving,
}

/// One VM of the deployment: an entry node or an upstream server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the node or server that runs on it.
    pub name: Arc<str>,
    /// The address of the node or server, as `ip:port`.
    pub address: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// `entry` or the name of a service.
    pub role: Arc<str>,
    /// Whether it is being removed.
    #[serde(rename = "life")]
    pub lifecycle: Lifecycle,
}

/// The VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// The VMs.
    pub vms: Vec<Vm>,
}
