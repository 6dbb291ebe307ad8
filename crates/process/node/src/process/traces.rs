//! The traces of recent requests, for `explain`.
//!
//! Invariant: at most the configured number is kept; the oldest go first.

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

/// A bounded store of traces.
pub struct Traces {
    capacity: usize,
    ring: Mutex<Ring>,
}

impl Traces {
    /// An empty store of up to `capacity` traces; zero turns recording off.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ring: Mutex::new(Ring::default()) }
    }

    /// Whether requests are to be recorded.
    pub fn is_on(&self) -> bool {
        self.capacity > 0
    }

    /// Keeps the trace of the request `id`.
    pub fn keep(&self, id: Arc<str>, trace: Trace) {
        let mut ring = self.ring.lock();
        while ring.order.len() >= self.capacity {
            let Some(oldest) = ring.order.pop_front() else { break };
            ring.traces.remove(&oldest);
        }
        ring.order.push_back(Arc::clone(&id));
        ring.traces.insert(id, trace);
    }

    /// The trace of the request `id` as text.
    pub fn get(&self, id: &str) -> Option<String> {
        self.ring.lock().traces.get(id).map(ToString::to_string)
    }

    /// The number of traces kept.
    pub fn len(&self) -> usize {
        self.ring.lock().order.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
