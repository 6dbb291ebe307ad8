//! The memory that the replies in progress may use, for the whole node. No I/O.
//!
//! Invariant: all replies together hold at most the limit, and [`SMALL_REPLY_BYTES`] each beyond
//! that. A reply without end asks for more most often, and so is the one that is given up.

use std::cell::Cell;
use std::rc::Rc;

/// The fraction of the node's memory that replies may use. A reply exists twice while its buffer
/// grows.
const MEMORY_FRACTION: f64 = 0.2;
/// The limit of a node whose memory is not known.
const DEFAULT_LIMIT: usize = 64 << 20;
/// A reply may always hold so much, so that usual ones don't fail beside large ones.
const SMALL_REPLY_BYTES: usize = 32 << 10;

/// The memory of all replies.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    used: Cell<usize>,
}

impl Memory {
    /// The memory for replies of a node that may use `memory` bytes.
    pub fn new(memory: Option<u64>) -> Self {
        let limit = memory.map_or(DEFAULT_LIMIT, |bytes| (bytes as f64 * MEMORY_FRACTION) as usize);
        Self { limit, used: Cell::new(0) }
    }

    /// The bytes that all replies hold.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// The memory that one reply holds, until it is dropped.
#[derive(Debug)]
pub struct Held {
    memory: Rc<Memory>,
    bytes: usize,
}

impl Held {
    /// A reply that holds nothing yet.
    pub fn new(memory: &Rc<Memory>) -> Self {
        Self { memory: Rc::clone(memory), bytes: 0 }
    }

    /// Adds `bytes`; returns `false` if there is no room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.memory.used.get() + bytes;
        if used > self.memory.limit && self.bytes + bytes > SMALL_REPLY_BYTES {
            return false;
        }
        self.memory.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get().saturating_sub(self.bytes));
    }
}
