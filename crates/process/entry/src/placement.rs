//! Which nodes a lookup names: those from which the caller gets its answer soonest. No I/O.
//!
//! The time of an answer depends on the distance of the node and on the processor time
//! that a request needs there: a search over many shards takes long on a small VM, and a
//! larger one in another data centre of the region answers sooner.

use std::net::SocketAddr;
use std::time::Duration;

use crate::serving::SEND_COST;
use base::region;
use replica::record::Distance;

/// A node that callers may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The address at which it serves callers.
    pub address: SocketAddr,
    /// Its distance from the caller.
    pub distance: Distance,
    /// The set of its region; empty if not known.
    pub region: region::Set,
    /// Its share of a processor core, in thousandths.
    pub capacity: u32,
    /// The number of requests that it sends to upstream servers per second.
    pub sends_per_second: u32,
}

/// The assumed network time from a caller to a node and back, by distance.
const NETWORK_TIME: [(Distance, Duration); 3] = [
    (Distance::DataCentre, Duration::ZERO),
    (Distance::Region, Duration::from_millis(3)),
    (Distance::Far, Duration::from_millis(34)),
];
/// How much later than the best node's another node's answer may be.
const MAX_EXTRA_TIME: Duration = Duration::from_millis(12);
/// The same while fewer than [`MIN_ADDRESSES`] nodes are named.
const MAX_EXTRA_TIME_OF_SPARE: Duration = Duration::from_millis(28);
/// Callers get so many addresses if there are as many, so that they have others when
/// nodes fail.
const MIN_ADDRESSES: usize = 3;
/// The processor time of a request besides its sends to upstream servers.
const REQUEST_COST: Duration = Duration::from_micros(500);
/// The utilization that is assumed at most: reported loads are averages.
const MAX_UTILIZATION: f64 = 0.8;

impl Candidate {
    /// The expected time until a caller has the answer to a request that is sent to
    /// `fan_out` services, without the time of the servers.
    fn expected_time(&self, fan_out: usize) -> Duration {
        let network = NETWORK_TIME
            .iter()
            .find(|(distance, _)| *distance == self.distance)
            .map_or(Duration::ZERO, |(_, time)| *time);
        let capacity = f64::from(self.capacity.max(1)) / 1000.0;
        let load = f64::from(self.sends_per_second) * SEND_COST.as_secs_f64() / capacity;
        let work = REQUEST_COST + SEND_COST * fan_out as u32;
        network + work.div_f64(capacity * (1.0 - load.min(MAX_UTILIZATION)))
    }
}

/// The nodes that are in the caller's region or in one of `homes`; all if there are none. Requests
/// to a host whose routes have homes should not arrive at other nodes.
pub fn eligible(
    candidates: Vec<Candidate>,
    caller: region::Set,
    homes: region::Set,
) -> Vec<Candidate> {
    let regions = homes.union(caller);
    let is_eligible = |node: &Candidate| regions.allows(node.region);
    if !candidates.iter().any(is_eligible) {
        return candidates;
    }
    candidates.into_iter().filter(is_eligible).collect()
}

/// The nodes that a caller should use, the best one first.
pub fn choose(candidates: &[Candidate], fan_out: usize) -> Vec<SocketAddr> {
    let mut timed: Vec<(Duration, SocketAddr)> =
        candidates.iter().map(|node| (node.expected_time(fan_out), node.address)).collect();
    timed.sort();
    let Some((best, _)) = timed.first().copied() else { return Vec::new() };
    let is_chosen = |(index, (time, _)): &(usize, &(Duration, SocketAddr))| {
        let extra = time.saturating_sub(best);
        extra <= MAX_EXTRA_TIME || (*index < MIN_ADDRESSES && extra <= MAX_EXTRA_TIME_OF_SPARE)
    };
    timed.iter().enumerate().filter(is_chosen).map(|(_, (_, address))| *address).collect()
}
