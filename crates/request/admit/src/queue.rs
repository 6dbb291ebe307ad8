//! The waiting requests: urgent ones first, and fair between callers.
//!
//! Within a priority the callers take turns by deficit round robin, so that a
//! caller's part goes by the cost of its requests and not by their number. When
//! the queue is full, the newest request of the caller that waits with the most
//! cost in the lowest priority makes room.
//!
//! Invariant: a routine request is only taken when no urgent one waits.

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
    /// Its name.
    pub id: Id,
    /// What it asks.
    pub ask: Request,
    /// When it came.
    pub since: Time,
    /// When waiting has no more point.
    pub until: Time,
}

#[derive(Debug, Default)]
struct Line {
    requests: VecDeque<Waiting>,
    cost: u64,
    deficit: u64,
}

#[derive(Debug, Default)]
struct Class {
    lines: BTreeMap<Arc<str>, Line>,
    /// The callers that wait, in the order of their turns.
    turns: VecDeque<Arc<str>>,
}

/// The waiting requests of one controller.
#[derive(Debug)]
pub struct Queue {
    urgent: Class,
    routine: Class,
    quantum: u64,
    len: usize,
    cost: u64,
}

impl Queue {
    /// An empty queue; `quantum` is the cost that a caller may take in a turn.
    pub fn new(quantum: u32) -> Self {
        Self {
            urgent: Class::default(),
            routine: Class::default(),
            quantum: u64::from(quantum.max(1)),
            len: 0,
            cost: 0,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The cost of the requests that a new one of this priority would wait for,
    /// if all callers were one.
    pub fn ahead(&self, priority: Priority) -> u64 {
        match priority {
            Priority::Urgent => self.urgent.cost(),
            Priority::Routine => self.cost,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        self.len += 1;
        self.cost += u64::from(waiting.ask.cost);
        self.class(waiting.ask.priority).push(waiting);
    }

    /// Takes the next request to run.
    pub fn pop(&mut self) -> Option<Waiting> {
        let quantum = self.quantum;
        let waiting = self.urgent.pop(quantum).or_else(|| self.routine.pop(quantum))?;
        Some(self.out(waiting))
    }

    /// Takes the request that makes room when the queue is full: never an urgent
    /// one while a routine one waits.
    pub fn evict(&mut self) -> Option<Waiting> {
        let waiting = self.routine.evict().or_else(|| self.urgent.evict())?;
        Some(self.out(waiting))
    }

    /// Takes a request out by its name.
    pub fn remove(&mut self, id: Id) -> Option<Waiting> {
        let waiting = self.urgent.remove(id).or_else(|| self.routine.remove(id))?;
        Some(self.out(waiting))
    }

    /// Takes the requests whose waiting has no more point at `now`.
    pub fn expire(&mut self, now: Time) -> Vec<Waiting> {
        let past: Vec<Id> = self.iter().filter(|w| w.until <= now).map(|w| w.id).collect();
        past.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// When [`Queue::expire`] has something to take next.
    pub fn next_expiry(&self) -> Time {
        self.iter().map(|waiting| waiting.until).min().unwrap_or(Time::NEVER)
    }

    fn iter(&self) -> impl Iterator<Item = &Waiting> {
        let lines = self.urgent.lines.values().chain(self.routine.lines.values());
        lines.flat_map(|line| line.requests.iter())
    }

    fn class(&mut self, priority: Priority) -> &mut Class {
        match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Routine => &mut self.routine,
        }
    }

    fn out(&mut self, waiting: Waiting) -> Waiting {
        self.len -= 1;
        self.cost -= u64::from(waiting.ask.cost);
        waiting
    }
}

impl Class {
    fn cost(&self) -> u64 {
        self.lines.values().map(|line| line.cost).sum()
    }

    fn push(&mut self, waiting: Waiting) {
        let caller = Arc::clone(&waiting.ask.caller);
        let line = self.lines.entry(Arc::clone(&caller)).or_default();
        if line.requests.is_empty() {
            line.deficit = 0;
            self.turns.push_back(caller);
        }
        line.cost += u64::from(waiting.ask.cost);
        line.requests.push_back(waiting);
    }

    fn pop(&mut self, quantum: u64) -> Option<Waiting> {
        loop {
            let caller = self.turns.front()?;
            let line = self.lines.get_mut(caller)?;
            let cost = u64::from(line.requests.front()?.ask.cost);
            if line.deficit >= cost {
                line.deficit -= cost;
                line.cost -= cost;
                let waiting = line.requests.pop_front()?;
                self.tidy(&waiting.ask.caller);
                return Some(waiting);
            }
            line.deficit += quantum;
            self.turns.rotate_left(1);
        }
    }

    fn evict(&mut self) -> Option<Waiting> {
        let longest = self.lines.values_mut().max_by_key(|line| line.cost)?;
        let waiting = longest.requests.pop_back()?;
        longest.cost -= u64::from(waiting.ask.cost);
        self.tidy(&waiting.ask.caller);
        Some(waiting)
    }

    fn remove(&mut self, id: Id) -> Option<Waiting> {
        let has = |line: &&mut Line| line.requests.iter().any(|waiting| waiting.id == id);
        let line = self.lines.values_mut().find(has)?;
        let index = line.requests.iter().position(|waiting| waiting.id == id)?;
        let waiting = line.requests.remove(index)?;
        line.cost -= u64::from(waiting.ask.cost);
        self.tidy(&waiting.ask.caller);
        Some(waiting)
    }

    /// Forgets a caller of whom nothing waits.
    fn tidy(&mut self, caller: &Arc<str>) {
        if self.lines.get(caller).is_some_and(|line| line.requests.is_empty()) {
            self.lines.remove(caller);
            self.turns.retain(|turn| turn != caller);
        }
    }
}
