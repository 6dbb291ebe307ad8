//! Collects a body of unknown length. No I/O.
//!
//! Invariant: the memory of a buffer is known before it is taken, and is at most twice the bytes in
//! it, whatever the sizes of the parts that a body arrives in. Segments are never moved, so that
//! bodies which are given up leave no gaps of many sizes in the heap.

use bytes::Bytes;

/// The size of the smallest segment, in bytes.
const MIN_SEGMENT_BYTES: usize = 512;
/// The size of the largest segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 16 << 10;

/// The beginning of a body.
#[derive(Debug)]
pub struct Buffer {
    /// All of them are full but the last one.
    segments: Vec<Vec<u8>>,
    length: usize,
    capacity: usize,
    max: usize,
}

impl Buffer {
    /// A buffer for a body of at most `max` bytes, which holds no memory yet.
    pub fn with_max(max: usize) -> Self {
        Self { segments: Vec::new(), length: 0, capacity: 0, max }
    }

    /// How much more memory it needs for `more` bytes; `None` if the body becomes too large.
    pub fn growth(&self, more: usize) -> Option<usize> {
        let length = self.length.checked_add(more).filter(|length| *length <= self.max)?;
        let mut capacity = self.capacity;
        while capacity < length {
            capacity += next_segment(capacity);
        }
        Some(capacity - self.capacity)
    }

    /// Appends a part of the body, which must fit into it.
    pub fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.length == self.capacity {
                let size = next_segment(self.capacity);
                self.segments.push(Vec::with_capacity(size));
                self.capacity += size;
            }
            let (now, later) = data.split_at(data.len().min(self.capacity - self.length));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            self.length += now.len();
            data = later;
        }
    }

    /// The whole body, in one piece.
    pub fn into_bytes(mut self) -> Bytes {
        match self.segments.len() {
            0 | 1 => Bytes::from(self.segments.pop().unwrap_or_default()),
            _ => Bytes::from(self.segments.concat()),
        }
    }
}

/// The size of the segment that follows those with `capacity` bytes together.
fn next_segment(capacity: usize) -> usize {
    capacity.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
}
