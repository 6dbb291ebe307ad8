//! The alarms of a query's slots, earliest first.
//!
//! Invariant: a slot has at most one alarm in force, the time in the slot;
//! entries that differ from it are stale and dropped when they surface.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::state::Slot;
use base::time::Time;

/// A heap of (time, slot index).
#[derive(Debug, Default)]
pub struct Alarms {
    heap: BinaryHeap<Reverse<(Time, u32)>>,
}

impl Alarms {
    /// Room for one alarm of each of `slots` slots.
    pub fn with_capacity(slots: usize) -> Self {
        Self { heap: BinaryHeap::with_capacity(slots) }
    }

    /// Sets the alarm of the slot at `index`, in place of its former one.
    pub fn set(&mut self, slots: &mut [Slot], index: u32, at: Time) {
        slots[index as usize].alarm = at;
        if at < Time::NEVER {
            self.heap.push(Reverse((at, index)));
        }
    }

    /// Forgets all alarms.
    pub fn clear(&mut self) {
        self.heap.clear();
    }

    /// The earliest alarm in force.
    pub fn next(&mut self, slots: &[Slot]) -> Option<(Time, u32)> {
        while let Some(&Reverse((at, index))) = self.heap.peek() {
            let slot = &slots[index as usize];
            if slot.is_open() && slot.alarm == at {
                return Some((at, index));
            }
            self.heap.pop();
        }
        None
    }

    /// Takes an alarm in force that is due at `now`.
    pub fn due(&mut self, slots: &mut [Slot], now: Time) -> Option<u32> {
        let (at, index) = self.next(slots)?;
        if at > now {
            return None;
        }
        self.heap.pop();
        slots[index as usize].alarm = Time::NEVER;
        Some(index)
    }
}
