//! What makes two requests the same: method, host, path and query, caller and body.
//!
//! Invariant: the identity is the same on all nodes and in all repeats of a request. It is a
//! cryptographic hash, so that no caller can construct a request that has the identity of
//! another one, and no body is kept.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Separates these hashes from all others.
const CONTEXT: &str = "heatherseam 2026-12-04 request identity";

/// The identity of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity(u64, u64);

/// The parts of a request that its repeats have in common.
#[derive(Clone, Copy, Debug)]
pub struct Parts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, as the caller wrote it.
    pub host: &'a [u8],
    /// The path and the query.
    pub path: &'a str,
    /// What identifies the caller; empty if nothing does.
    pub caller: &'a [&'a [u8]],
    /// The body.
    pub body: &'a [u8],
}

impl Identity {
    /// The identity of the request with these parts.
    pub fn new(parts: &Parts<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let mut add = |part: &[u8]| {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        };
        add(parts.method.as_bytes());
        add(parts.host);
        add(parts.path.as_bytes());
        add(parts.body);
        parts.caller.iter().for_each(|part| add(part));
        let mut words = [0; 16];
        hasher.finalize_xof().fill(&mut words);
        let word =
            |at: usize| words[at..at + 8].iter().fold(0, |word, b| word << 8 | u64::from(*b));
        Self(word(0), word(8))
    }
}

/// The first half, which logs use.
impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
