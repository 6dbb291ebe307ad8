//! Messages between a node and the platform's object API: HTTP/1.1 with JSON.
//!
//! - `GET /v1/objects/{kind}`: [`List`].
//! - `GET /v1/objects/{kind}/{name}`: [`Item`], or 404.
//! - `PUT /v1/objects/{kind}/{name}` with the value as body and `If-Match: REV`
//!   or `If-None-Match: *`: the new [`Item`], or 412 with the present one.
//! - `DELETE` with `If-Match: REV`: the tombstone as an [`Item`], or 412.
//! - `GET /v1/watch?since=REV&wait_ms=MS`: [`Batch`]; waits for events, and
//!   returns empty after `wait_ms`. A waiting watch counts as a call.
//! - `GET /v1/vms`: [`Vms`]; lags.
//!
//! Invariant: revisions are given from one counter, so a higher one is later
//! whatever the object; a deleted object keeps its tombstone's revision.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Path of the objects.
pub const OBJECTS_PATH: &str = "/v1/objects";
/// Path of the watch.
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";
/// The largest value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// One stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The object's kind.
    pub kind: Arc<str>,
    /// Its name, unique within the kind.
    pub name: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// `None` marks a tombstone.
    pub value: Option<serde_json::Value>,
}

/// All objects of one kind, tombstones left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The revision that the list is true at.
    pub revision: u64,
    /// The objects.
    pub items: Vec<Item>,
}

/// Changes after a revision, in order, tombstones included.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The revision to go on from.
    pub revision: u64,
    /// The changes.
    pub items: Vec<Item>,
}

/// Whether a VM is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Life {
    /// It is to stay.
    Live,
    /// It is to go.
    Leaving,
}

/// One VM of the deployment, entry node or upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the node or server on it.
    pub name: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// `entry` or the name of a service.
    pub role: Arc<str>,
    /// Whether it is to stay.
    pub life: Life,
}

/// The VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// The VMs.
    pub vms: Vec<Vm>,
}
