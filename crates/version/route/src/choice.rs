//! The policies that choose one of several replicas.
//!
//! Invariant: a policy only sees replicas that may get the attempt; it can make
//! the tail worse but can't break a promise.

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
    /// The index of the chosen one of `replicas`, which is not empty.
    fn pick(&self, view: &View<'_>, replicas: &[Server], rng: &mut ChaCha8Rng) -> usize;
}

/// The policy of a name.
pub fn new(choice: Choice) -> Box<dyn Policy> {
    match choice {
        Choice::Random => Box::new(random::Random),
        Choice::RoundRobin => Box::new(round_robin::RoundRobin),
        Choice::LeastOfTwo => Box::new(least_of_two::LeastOfTwo),
        Choice::Latency => Box::new(latency::Latency),
        Choice::Home => Box::new(home::Home),
    }
}

/// What a policy may look at.
pub struct View<'a> {
    /// The time of the choice.
    pub now: Time,
    /// The home server of this node in the group, if it is dealt one.
    pub home: Option<Server>,
    /// Own requests at one server from which on it counts as full: this node's
    /// part of the group's slots.
    pub full: u32,
    pub(crate) servers: &'a PrimaryMap<Server, Record>,
}

impl View<'_> {
    /// Own requests that run at a server.
    pub fn in_flight(&self, server: Server) -> u32 {
        self.servers[server].in_flight()
    }

    /// Requests that are believed to be at a server, by own requests and aged
    /// reports.
    pub fn estimated_load(&self, server: Server) -> f64 {
        self.servers[server].estimated_load(self.now)
    }

    /// The expected latency in microseconds; a server without samples is
    /// expected to be like the fastest of `replicas`.
    pub fn expected_us(&self, server: Server, replicas: &[Server]) -> f64 {
        self.servers[server].latency.expected_us(self.now, self.fastest_us(replicas))
    }

    /// The lowest expected latency of `replicas` in microseconds.
    pub fn fastest_us(&self, replicas: &[Server]) -> f64 {
        let known = replicas.iter().map(|server| &self.servers[*server].latency);
        let expected = known.filter(|known| known.is_known());
        let fastest = expected.map(|known| known.expected_us(self.now, 0.0));
        fastest.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// The number of the last choice that fell on a server.
    pub fn chosen(&self, server: Server) -> u64 {
        self.servers[server].chosen
    }

    /// Requests that a server runs at once.
    pub fn slots(&self, server: Server) -> u32 {
        self.servers[server].slots.max(1)
    }
}

/// Two different indices below `len`, or the only one twice.
fn two(rng: &mut ChaCha8Rng, len: usize) -> (usize, usize) {
    use rand::RngExt;

    let first = rng.random_range(0..len);
    if len == 1 {
        return (first, first);
    }
    let second = rng.random_range(0..len - 1);
    (first, if second >= first { second + 1 } else { second })
}
