//! Keys of customers.
//!
//! Invariants: a key is kept only as a hash under a random salt, so that who reads a dump or a
//! message between nodes can't use it, and comparing takes the same time whatever the key. Neither
//! a key nor its hash appears in any `Debug` output.

use std::fmt;

use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

/// The secret under which the keys of one configuration are hashed; drawn by the node that
/// reads them.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Salt([u8; 32]);

impl Salt {
    /// A random salt.
    pub fn random() -> Self {
        Self(rand::rng().random())
    }
}

impl fmt::Debug for Salt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(salt)")
    }
}

/// The keyed hash of a key.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct Hash([u8; 32]);

impl Hash {
    /// The hash of `key` under `salt`.
    pub fn new(salt: &Salt, key: &[u8]) -> Self {
        Self(*blake3::keyed_hash(&salt.0, key).as_bytes())
    }

    /// The first bytes, by which hashes may be looked up: without the salt, nobody can choose
    /// keys by them.
    pub fn prefix(&self) -> u64 {
        self.0.iter().take(8).fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }
}

/// Compares in constant time.
impl PartialEq for Hash {
    fn eq(&self, other: &Self) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl Eq for Hash {}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hash)")
    }
}

/// The key of a request in progress.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// The key that a caller sent.
    pub fn new(key: &[u8]) -> Self {
        Self(key.to_vec())
    }

    /// The key itself, to be compared, or passed on to another node.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}
