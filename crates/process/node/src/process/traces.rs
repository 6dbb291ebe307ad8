//! The traces of recent requests, for `explain`.
//!
//! Invariant: at most the configured number is kept; the oldest are evicted first.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;

use query::trace::Trace;

#[derive(Default)]
struct Ring {
    order: VecDeque<Arc<str>>,
    traces: HashMap<Arc<str>, Trace>,
}

/// The traces of the most recent requests.
pub struct Traces {
    capacity: usize,
    ring: Mutex<Ring>,
}

impl Traces {
    /// Creates an empty buffer for `capacity` traces; zero turns recording off.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ring: Mutex::new(Ring::default()) }
    }

    /// Whether requests are to be recorded.
    pub fn is_on(&self) -> bool {
        self.capacity > 0
    }

    /// Adds the trace of the request `id`.
    pub fn insert(&self, id: Arc<str>, trace: Trace) {
        let mut ring = self.ring.lock();
        while ring.order.len() >= self.capacity {
            let Some(oldest) = ring.order.pop_front() else { break };
            ring.traces.remove(&oldest);
        }
        ring.order.push_back(Arc::clone(&id));
        ring.traces.insert(id, trace);
    }

    /// Returns the trace of the request `id` as text.
    pub fn get(&self, id: &str) -> Option<String> {
        self.ring.lock().traces.get(id).map(ToString::to_string)
    }

    /// Returns the number of traces.
    pub fn len(&self) -> usize {
        self.ring.lock().order.len()
    }

    /// Whether no trace is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
