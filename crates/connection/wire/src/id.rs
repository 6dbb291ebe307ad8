//! Identifiers that appear in messages.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Identifies one run of a process: every start gets a new value, and no value is
/// reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The index content that an answer is computed from.
///
/// Shard numbers of different maps are not comparable, so the map is part of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index version; larger is newer.
    pub version: u64,
    /// The name of the shard map.
    pub map: Arc<str>,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.map, self.version)
    }
}

/// Identifies one attempt of one request of one node incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The node incarnation that made the attempt.
    pub node: Incarnation,
    /// The request's number within that incarnation.
    pub request: u64,
    /// The attempt's number within the request.
    pub attempt: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:x}", self.node, self.request, self.attempt)
    }
}

/// The error for text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not {expected}")]
pub struct Malformed {
    /// The text that was parsed.
    pub text: String,
    /// The kind of identifier that was expected.
    pub expected: &'static str,
}

impl FromStr for Attempt {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed { text: text.to_owned(), expected: "an attempt id" };
        let mut parts = text.split('-').map(|part| u64::from_str_radix(part, 16));
        let mut next = || parts.next().and_then(Result::ok).ok_or_else(malformed);
        let node = Incarnation(next()?);
        let request = next()?;
        let attempt = u32::try_from(next()?).map_err(|_| malformed())?;
        if parts.next().is_some() {
            return Err(malformed());
        }
        Ok(Self { node, request, attempt })
    }
}

/// Permission to run one non-idempotent request, issued by one node incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The node incarnation that issued it, the only one that may send the request
    /// to an upstream.
    pub minter: Incarnation,
    /// Its number within that incarnation.
    pub number: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.minter, self.number)
    }
}

impl FromStr for Ticket {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let malformed = || Malformed { text: text.to_owned(), expected: "a ticket" };
        let (minter, number) = text.split_once('.').ok_or_else(malformed)?;
        let minter = u64::from_str_radix(minter, 16).map_err(|_| malformed())?;
        let number = u64::from_str_radix(number, 16).map_err(|_| malformed())?;
        Ok(Self { minter: Incarnation(minter), number })
    }
}
