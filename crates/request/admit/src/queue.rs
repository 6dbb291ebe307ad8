//! The queue of waiting requests: by priority, and fair between callers.
//!
//! Within a priority, callers are served by deficit round robin, so that fairness
//! is measured by the cost of requests and not by their number. If the queue is
//! full, the newest request of the caller with the highest queued cost in the lowest
//! priority is evicted.
//!
//! Invariant: a routine request is only taken if no urgent one waits.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::request::Id;
use crate::request::Request;
use base::time::Time;
use wire::caller::Priority;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The id of the request.
    pub id: Id,
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub since: Time,
    /// When it must be rejected if it still waits.
    pub expires_at: Time,
}

#[derive(Debug, Default)]
struct CallerQueue {
    requests: VecDeque<Waiting>,
    cost: u64,
    deficit: u64,
}

#[derive(Debug, Default)]
struct PriorityClass {
    callers: BTreeMap<Arc<str>, CallerQueue>,
    /// The callers with waiting requests, in round-robin order.
    round_robin: VecDeque<Arc<str>>,
}

/// The queue of one controller.
#[derive(Debug)]
pub struct Queue {
    urgent: PriorityClass,
    routine: PriorityClass,
    quantum: u64,
    len: usize,
    cost: u64,
}

impl Queue {
    /// Creates an empty queue. `quantum` is the cost that is added to a caller's
    /// deficit in each round.
    pub fn new(quantum: u32) -> Self {
        Self {
            urgent: PriorityClass::default(),
            routine: PriorityClass::default(),
            quantum: u64::from(quantum.max(1)),
            len: 0,
            cost: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The cost of the requests ahead of a new one of this priority, disregarding
    /// fairness between callers.
    pub fn cost_ahead(&self, priority: Priority) -> u64 {
        match priority {
            Priority::Urgent => self.urgent.cost(),
            Priority::Routine => self.cost,
        }
    }

    /// Adds a waiting request.
    pub fn push(&mut self, waiting: Waiting) {
        self.len += 1;
        self.cost += u64::from(waiting.request.cost);
        self.class(waiting.request.priority).push(waiting);
    }

    /// Removes the next request to run.
    pub fn pop(&mut self) -> Option<Waiting> {
        let quantum = self.quantum;
        let waiting = self.urgent.pop(quantum).or_else(|| self.routine.pop(quantum))?;
        Some(self.account_removal(waiting))
    }

    /// Removes a request because the queue is full; never an urgent one while a
    /// routine one waits.
    pub fn evict(&mut self) -> Option<Waiting> {
        let waiting = self.routine.evict().or_else(|| self.urgent.evict())?;
        Some(self.account_removal(waiting))
    }

    /// Removes a request by its id.
    pub fn remove(&mut self, id: Id) -> Option<Waiting> {
        let waiting = self.urgent.remove(id).or_else(|| self.routine.remove(id))?;
        Some(self.account_removal(waiting))
    }

    /// Removes the requests that have expired at `now`.
    pub fn expire(&mut self, now: Time) -> Vec<Waiting> {
        let expired: Vec<Id> = self.iter().filter(|w| w.expires_at <= now).map(|w| w.id).collect();
        expired.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// When the next request expires.
    pub fn next_expiry(&self) -> Time {
        self.iter().map(|waiting| waiting.expires_at).min().unwrap_or(Time::NEVER)
    }

    fn iter(&self) -> impl Iterator<Item = &Waiting> {
        let callers = self.urgent.callers.values().chain(self.routine.callers.values());
        callers.flat_map(|queue| queue.requests.iter())
    }

    fn class(&mut self, priority: Priority) -> &mut PriorityClass {
        match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Routine => &mut self.routine,
        }
    }

    fn account_removal(&mut self, waiting: Waiting) -> Waiting {
        self.len -= 1;
        self.cost -= u64::from(waiting.request.cost);
        waiting
    }
}

impl PriorityClass {
    fn cost(&self) -> u64 {
        self.callers.values().map(|queue| queue.cost).sum()
    }

    fn push(&mut self, waiting: Waiting) {
        let caller = Arc::clone(&waiting.request.caller);
        let queue = self.callers.entry(Arc::clone(&caller)).or_default();
        if queue.requests.is_empty() {
            queue.deficit = 0;
            self.round_robin.push_back(caller);
        }
        queue.cost += u64::from(waiting.request.cost);
        queue.requests.push_back(waiting);
    }

    fn pop(&mut self, quantum: u64) -> Option<Waiting> {
        loop {
            let caller = self.round_robin.front()?;
            let queue = self.callers.get_mut(caller)?;
            let cost = u64::from(queue.requests.front()?.request.cost);
            if queue.deficit >= cost {
                queue.deficit -= cost;
                queue.cost -= cost;
                let waiting = queue.requests.pop_front()?;
                self.remove_if_empty(&waiting.request.caller);
                return Some(waiting);
            }
            queue.deficit += quantum;
            self.round_robin.rotate_left(1);
        }
    }

    fn evict(&mut self) -> Option<Waiting> {
        let largest = self.callers.values_mut().max_by_key(|queue| queue.cost)?;
        let waiting = largest.requests.pop_back()?;
        largest.cost -= u64::from(waiting.request.cost);
        self.remove_if_empty(&waiting.request.caller);
        Some(waiting)
    }

    fn remove(&mut self, id: Id) -> Option<Waiting> {
        let has = |queue: &&mut CallerQueue| queue.requests.iter().any(|waiting| waiting.id == id);
        let queue = self.callers.values_mut().find(has)?;
        let index = queue.requests.iter().position(|waiting| waiting.id == id)?;
        let waiting = queue.requests.remove(index)?;
        queue.cost -= u64::from(waiting.request.cost);
        self.remove_if_empty(&waiting.request.caller);
        Some(waiting)
    }

    /// Removes a caller that has no waiting requests.
    fn remove_if_empty(&mut self, caller: &Arc<str>) {
        if self.callers.get(caller).is_some_and(|queue| queue.requests.is_empty()) {
            self.callers.remove(caller);
            self.round_robin.retain(|waiting| waiting != caller);
        }
    }
}
