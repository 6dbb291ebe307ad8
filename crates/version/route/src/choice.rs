//! The policies that choose one of several replicas.
//!
//! Invariant: a policy only sees replicas that may get the attempt, so a bad
//! choice costs latency but never correctness.

use cranelift_entity::PrimaryMap;
use rand_chacha::ChaCha8Rng;

use crate::server::Record;
use base::entity::Server;
use base::time::Time;
use conf::object::Choice;

pub(crate) mod home;
mod latency;
mod least_of_two;
mod random;
mod round_robin;

/// Chooses a replica.
pub trait Policy: Send {
    /// Returns the index of the chosen one of `replicas`, which must not be empty.
    fn pick(&self, view: &View<'_>, replicas: &[Server], rng: &mut ChaCha8Rng) -> usize;
}

/// Creates the policy of a configured choice.
pub fn new(choice: Choice) -> Box<dyn Policy> {
    match choice {
        Choice::Random => Box::new(random::Random),
        Choice::RoundRobin => Box::new(round_robin::RoundRobin),
        Choice::LeastOfTwo => Box::new(least_of_two::LeastOfTwo),
        Choice::Latency => Box::new(latency::Latency),
        Choice::Home => Box::new(home::Home),
    }
}

/// The data that a policy chooses by.
pub struct View<'a> {
    /// The time of the choice.
    pub now: Time,
    /// The home server of this node in the group, if it has one.
    pub home: Option<Server>,
    /// The number of this node's requests in flight at which a server counts as full:
    /// this node's share of the slots of all replicas.
    pub in_flight_limit: u32,
    pub(crate) servers: &'a PrimaryMap<Server, Record>,
}

impl View<'_> {
    /// This node's requests in flight at a server.
    pub fn in_flight(&self, server: Server) -> u32 {
        self.servers[server].in_flight()
    }

    /// The estimated number of requests at a server, from this node's requests and
    /// the server's reports, which count less as they age.
    pub fn estimated_load(&self, server: Server) -> f64 {
        self.servers[server].estimated_load(self.now)
    }

    /// The expected latency in microseconds. A server without samples is taken to be
    /// as fast as the fastest of `replicas`.
    pub fn expected_us(&self, server: Server, replicas: &[Server]) -> f64 {
        self.servers[server].latency.expected_us(self.now, self.fastest_us(replicas))
    }

    /// The lowest expected latency of `replicas` in microseconds.
    pub fn fastest_us(&self, replicas: &[Server]) -> f64 {
        let latencies = replicas.iter().map(|server| &self.servers[*server].latency);
        let measured = latencies.filter(|latency| latency.has_samples());
        let expected = measured.map(|latency| latency.expected_us(self.now, 0.0));
        expected.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// The table's pick count when a server was last picked.
    pub fn last_pick(&self, server: Server) -> u64 {
        self.servers[server].last_pick
    }

    /// The number of requests that a server runs at once, at least one.
    pub fn slots(&self, server: Server) -> u32 {
        self.servers[server].slots.max(1)
    }
}

/// Draws two different indices below `len`, or index zero twice if `len` is one.
fn draw_two(rng: &mut ChaCha8Rng, len: usize) -> (usize, usize) {
    use rand::RngExt;

    let first = rng.random_range(0..len);
    if len == 1 {
        return (first, first);
    }
    let second = rng.random_range(0..len - 1);
    (first, if second >= first { second + 1 } else { second })
}
