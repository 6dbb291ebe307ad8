//! The timers of a query's shards, earliest first.
//!
//! Invariant: a shard has at most one active timer, whose time is stored in its
//! [`ShardState`]. Heap entries with another time are stale and are dropped when
//! they reach the top.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::state::ShardState;
use base::time::Time;

/// A heap of times and shard indices.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Time, u32)>>,
}

impl Timers {
    /// Creates an empty heap with room for `shard_count` timers.
    pub fn with_capacity(shard_count: usize) -> Self {
        Self { heap: BinaryHeap::with_capacity(shard_count) }
    }

    /// Sets the timer of the shard at `index`, replacing its previous one.
    pub fn set(&mut self, shard_states: &mut [ShardState], index: u32, at: Time) {
        shard_states[index as usize].timer = at;
        if at < Time::NEVER {
            self.heap.push(Reverse((at, index)));
        }
    }

    /// Removes all timers.
    pub fn clear(&mut self) {
        self.heap.clear();
    }

    /// The earliest active timer.
    pub fn peek(&mut self, shard_states: &[ShardState]) -> Option<(Time, u32)> {
        while let Some(&Reverse((at, index))) = self.heap.peek() {
            let state = &shard_states[index as usize];
            if state.is_pending() && state.timer == at {
                return Some((at, index));
            }
            self.heap.pop();
        }
        None
    }

    /// Removes the earliest active timer if it is due at `now`, and returns the
    /// index of its shard.
    pub fn pop_due(&mut self, shard_states: &mut [ShardState], now: Time) -> Option<u32> {
        let (at, index) = self.peek(shard_states)?;
        if at > now {
            return None;
        }
        self.heap.pop();
        shard_states[index as usize].timer = Time::NEVER;
        Some(index)
    }
}
