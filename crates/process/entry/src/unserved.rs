//! The requests that a connection must not carry again, since it has brought a reply to them that
//! was no success. No I/O.
//!
//! Invariant: a late second copy of such a reply is never taken for the reply to a further attempt
//! of its request, however many other requests the connection carries in between, because that
//! attempt uses another connection. The record lasts as long as the connection. A reply that was a
//! success ends its request, so it is not recorded.

use std::hash::BuildHasher;
use std::hash::RandomState;

use hyper::http::HeaderValue;

/// The maximum number of requests in a record; the connection is then replaced.
pub const MAX_REQUESTS: usize = 512;

/// The unserved requests of one connection, 8 bytes each.
#[derive(Debug, Default)]
pub struct Requests {
    hasher: RandomState,
    hashes: Vec<u64>,
}

impl Requests {
    /// An empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the request with the id `id`.
    pub fn add(&mut self, id: &HeaderValue) {
        self.hashes.push(self.hasher.hash_one(id));
    }

    /// Whether the request with the id `id` was added. Another id has the same hash in 1 of 2^64
    /// cases, and then uses another connection, too.
    pub fn contains(&self, id: &HeaderValue) -> bool {
        !self.hashes.is_empty() && self.hashes.contains(&self.hasher.hash_one(id))
    }

    /// Whether no further request can be added.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REQUESTS
    }
}
