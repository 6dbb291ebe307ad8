//! The interface between a node and the platform's object API.
//!
//! Invariant: an [`Error`] states whether the call may have taken effect; only
//! errors with [`Error::had_no_effect`] may be reported as "not written".
//!
//! A deletion writes a tombstone: an envelope without a spec. It therefore has an
//! operation id like any other write, can be read back if its answer is lost, and
//! stays in lists, so that a node that missed the event still finds the deletion.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use wire::platform;
use wire::platform::Vms;

/// The future of a call's result.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The state that the object must have for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Precondition {
    /// The object does not exist or is a tombstone.
    Absent,
    /// The last change of the object has this revision.
    Revision(u64),
}

impl Precondition {
    /// The revision that the write replaces; zero if there is none.
    pub fn revision(self) -> u64 {
        match self {
            Self::Absent => 0,
            Self::Revision(revision) => revision,
        }
    }
}

impl fmt::Display for Precondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => f.write_str("absent"),
            Self::Revision(revision) => write!(f, "revision {revision}"),
        }
    }
}

/// The value of a stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The operation that wrote it.
    #[serde(default)]
    pub operation: Arc<str>,
    /// The revision that the write replaced: zero if none, absent if unknown.
    #[serde(default)]
    pub after: Option<u64>,
    /// The content of the object; absent in a tombstone.
    #[serde(default)]
    pub spec: Option<Spec>,
}

/// A stored object and the operation that wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The object or its tombstone.
    pub object: Object,
    /// The operation that wrote it; empty if the platform wrote it.
    pub operation: Arc<str>,
    /// The revision that the write replaced, if known; zero if none.
    pub after: Option<u64>,
}

impl Versioned {
    /// Parses an object as the platform returns it.
    pub fn parse(item: &platform::Object) -> Result<Self, Error> {
        let malformed =
            |what: String| Error::Malformed(format!("{}/{}: {what}", item.kind, item.name));
        let kind = Kind::parse(&item.kind).ok_or_else(|| malformed("unknown kind".to_owned()))?;
        let envelope = match &item.value {
            Some(value) => {
                Envelope::deserialize(value).map_err(|error| malformed(error.to_string()))?
            }
            None => Envelope { operation: Arc::from(""), after: None, spec: None },
        };
        let key = Key { kind, name: item.name.clone() };
        let object = Object { key, revision: item.revision, spec: envelope.spec };
        Ok(Self { object, operation: envelope.operation, after: envelope.after })
    }
}

/// All objects of one kind, including the tombstones that nodes wrote.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The revision at which the list was taken.
    pub revision: u64,
    /// The objects and tombstones.
    pub objects: Vec<Versioned>,
}

/// The changes after a revision, in revision order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The revision from which the next watch continues.
    pub revision: u64,
    /// The changes.
    pub objects: Vec<Versioned>,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The node's own call budget is exhausted; the request was not sent.
    #[error("the call budget is exhausted")]
    RateLimited,
    /// The platform limits the rate of calls and refused this one; it had no effect.
    #[error("the platform throttled the call")]
    Throttled,
    /// The precondition failed; carries the object as the platform returned it.
    #[error("conflict")]
    Conflict(Option<Box<Versioned>>),
    /// The platform rejected the call with this HTTP status; it had no effect.
    #[error("the platform rejected the call with status {0}")]
    Rejected(u16),
    /// The request was sent without a usable answer; it may still take effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The answer can't be parsed; the call may have taken effect.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether it is certain that the call had no effect and will have none.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::NotSent(_)
            | Self::RateLimited
            | Self::Throttled
            | Self::Conflict(_)
            | Self::Rejected(_) => true,
            Self::NoAnswer(_) | Self::Malformed(_) => false,
        }
    }
}

/// The platform's object API.
pub trait Store: Send + Sync {
    /// Reads one object; `None` if the platform has no object with this key.
    fn get<'a>(&'a self, key: &'a Key) -> Pending<'a, Option<Versioned>>;

    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> Pending<'_, Listing>;

    /// Writes `spec`, or a tombstone if it is `None`, if the object is in the
    /// expected state.
    fn put<'a>(
        &'a self,
        key: &'a Key,
        expected: Precondition,
        spec: Option<&'a Spec>,
        operation: &'a Arc<str>,
    ) -> Pending<'a, Versioned>;

    /// Returns the changes after `since`; waits up to `wait` for the first one.
    /// Uses one call of the budget.
    fn watch(&self, since: u64, wait: Duration) -> Pending<'_, Changes>;

    /// Reads the list of VMs, which may be out of date.
    fn vms(&self) -> Pending<'_, Vms>;
}
