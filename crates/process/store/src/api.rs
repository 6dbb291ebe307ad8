//! The border between a node and the platform's object API.
//!
//! Invariant: an [`Error`] says whether the call may have taken effect; only
//! [`Error::had_no_effect`] errors may ever be told as "not written".
//!
//! A deletion is a write of an envelope without a spec. So it carries an
//! operation id like any other write, can be read back when its answer is lost,
//! and stays in lists, where a node that missed the event learns of it.

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

/// The answer of a call, to come.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The state that a write must find to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Precondition {
    /// The object isn't there, or is a tombstone.
    Absent,
    /// The object's last change has this revision.
    Revision(u64),
}

impl Precondition {
    /// The revision that the write replaces; zero for none.
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
    /// The revision that the write replaced: zero for none, absent if unknown.
    #[serde(default)]
    pub after: Option<u64>,
    /// What the object says; absent in a tombstone.
    #[serde(default)]
    pub spec: Option<Spec>,
}

/// A stored object and the operation that wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The object or its tombstone.
    pub object: Object,
    /// The operation that wrote it; empty if the platform's own.
    pub operation: Arc<str>,
    /// The revision that the write replaced, if known; zero for none.
    pub after: Option<u64>,
}

impl Versioned {
    /// Reads one of the platform's items.
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

/// All objects of one kind, tombstones of our own included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The revision that the list is true at.
    pub revision: u64,
    /// The objects.
    pub items: Vec<Versioned>,
}

/// Changes after a revision, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The revision to go on from.
    pub revision: u64,
    /// The changes.
    pub items: Vec<Versioned>,
}

/// Why a call gave nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request never left this node.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The budget of calls is spent, so that the request was not sent.
    #[error("the budget of calls is spent")]
    RateLimited,
    /// The platform refused it for its rate; it had no effect.
    #[error("the platform refused the call for its rate")]
    Throttled,
    /// The condition failed; the object as the platform showed it.
    #[error("conflict")]
    Conflict(Option<Box<Versioned>>),
    /// The platform refused it as wrong, with this status; it had no effect.
    #[error("the platform refused the call with status {0}")]
    Rejected(u16),
    /// The request was sent and no usable answer came; it may take effect later.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer can't be read; the call may have taken effect.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Error {
    /// Whether the call certainly had no effect and will have none.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::NotSent(_)
            | Self::RateLimited
            | Self::Throttled
            | Self::Conflict(_)
            | Self::Rejected(_) => true,
            Self::Lost(_) | Self::Malformed(_) => false,
        }
    }
}

/// The platform's object API.
pub trait Store: Send + Sync {
    /// One object; `None` if the platform has none of that name.
    fn get<'a>(&'a self, key: &'a Key) -> Pending<'a, Option<Versioned>>;

    /// All objects of a kind.
    fn list(&self, kind: Kind) -> Pending<'_, Listing>;

    /// Writes `spec`, or a tombstone if it is `None`, if the object is as
    /// expected.
    fn put<'a>(
        &'a self,
        key: &'a Key,
        expected: Precondition,
        spec: Option<&'a Spec>,
        operation: &'a Arc<str>,
    ) -> Pending<'a, Versioned>;

    /// The changes after `since`; waits for one up to `wait`. Counts as one call.
    fn watch(&self, since: u64, wait: Duration) -> Pending<'_, Changes>;

    /// The VM list, which lags.
    fn vms(&self) -> Pending<'_, Vms>;
}
