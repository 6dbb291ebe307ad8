//! The use of customers' rates: the messages and the book of all keys. No I/O.
//!
//! Invariant: over all nodes, no window admits more than [`Bound::requests`].

use std::collections::HashMap;
use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::bound::Bound;
use base::time::Time;

/// What a node reports of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// A stable hash of the customer's name.
    pub key: u32,
    /// The requests that the node's incarnation has admitted, without those that were given back;
    /// wraps around.
    pub used: u32,
    /// The requests per second that the node would admit without a limit.
    pub demand: f32,
    /// The tokens in the common bucket, as the node estimates them.
    pub level: f32,
}

/// What a customer may use over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub per_second: f64,
    /// The requests that may come at once.
    pub burst: f64,
}

/// Another node that serves, or that served a short time ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Its IP address.
    pub ip: IpAddr,
    /// Whether its heartbeats arrive.
    pub is_present: bool,
}

/// What the division needs to know of the nodes.
pub trait Fleet {
    /// This node's address.
    fn own(&self) -> IpAddr;
    /// Whether this node serves or stands by.
    fn is_serving(&self) -> bool;
    /// The number of standby nodes, this one included if it stands by.
    fn standby_nodes(&self) -> u32;
    /// The other serving nodes, also those that have been silent for less than 20 s.
    fn others(&self) -> Vec<Peer>;
}

#[derive(Clone, Debug)]
struct Entry {
    rate: Rate,
    tokens: f64,
    filled_at: Time,
}

impl Entry {
    fn fill(&mut self, now: Time) {
        let added = self.rate.per_second * now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + added).min(self.rate.burst.max(1.0));
        self.filled_at = now;
    }
}

/// The rates of all keys, and what is known of their use.
#[derive(Clone, Debug)]
pub struct Book {
    bound: Bound,
    entries: HashMap<u32, Entry>,
}

impl Book {
    /// A book without keys; `bound` holds for each key over all nodes.
    pub fn new(bound: Bound) -> Self {
        Self { bound, entries: HashMap::new() }
    }

    /// Sets the rate of a key, new or known.
    pub fn set_rate(&mut self, now: Time, key: u32, rate: Rate) {
        let start = self.bound.tolerance(rate.per_second, rate.burst) / 2.0;
        let entry = self.entries.entry(key).or_insert(Entry {
            rate,
            tokens: start.min(rate.burst),
            filled_at: now,
        });
        entry.fill(now);
        entry.rate = rate;
        entry.fill(now);
    }

    /// Removes a key; its requests are admitted without a limit.
    pub fn remove(&mut self, key: u32) {
        self.entries.remove(&key);
    }

    /// Lets a request in and takes its token, or says when there is room. A key without a rate
    /// has no limit.
    pub fn take(&mut self, now: Time, key: u32) -> Result<(), Time> {
        let Some(entry) = self.entries.get_mut(&key) else { return Ok(()) };
        entry.fill(now);
        if entry.tokens >= 1.0 {
            entry.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - entry.tokens) / entry.rate.per_second;
        Err(now + std::time::Duration::from_secs_f64(seconds.clamp(0.0, 60.0)))
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(&mut self, now: Time, key: u32) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.fill(now);
            entry.tokens += 1.0;
        }
    }

    /// Whether [`Self::report`] should be called now.
    pub fn is_report_due(&self, _now: Time) -> bool {
        false
    }

    /// What to tell the other nodes: at most as much as one datagram holds.
    pub fn report(&mut self, _now: Time) -> Vec<Usage> {
        Vec::new()
    }

    /// Takes in the report of another node; `incarnation` is a random number of its process.
    pub fn on_report(&mut self, _now: Time, _node: IpAddr, _incarnation: u64, _usage: &[Usage]) {}

    /// Decides this node's parts again; called with each heartbeat.
    pub fn divide(&mut self, _now: Time, _fleet: &dyn Fleet) {}
}
