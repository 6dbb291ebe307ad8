//! How the limit that a server names is divided among the nodes. No I/O.
//!
//! Each node divides it for itself, from the heartbeats of the serving nodes: these report
//! which limits they know and how much each would send without them. All nodes may use an even
//! part, and what the others don't ask for. If the even part would be small, only some of the
//! nodes get one, first those that ask for it and that are in the server's data centre; a
//! request that they can't send is refused or goes to another server.
//!
//! Invariant: the even parts of all nodes that see the same others add up to the limit.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::limit::Quota;
use base::time::Time;

/// What a node reports of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The server, as `replica::table::Table::key` names it.
    pub server: u32,
    /// The requests per second that it takes from all nodes together.
    pub per_second: f32,
    /// The requests per second that the node would send without the limit.
    pub demand: f32,
    /// How long ago a reply named the limit, in milliseconds.
    pub age_ms: u32,
}

/// The maximum number of reports in one heartbeat, whose size is limited.
pub const MAX_REPORTS: usize = 24;
/// How long a report counts.
const REPORT_LIFETIME: Duration = Duration::from_millis(3000);
/// The smallest even part that is worth dividing a limit for, in requests per second.
const MIN_EVEN: f64 = 2.0;
/// The limit that a server counts as naming at least: without any request, no reply could say
/// that the limit has ended.
const MIN_LIMIT: f64 = 0.25;
/// The greatest limit that is reckoned with.
const MAX_LIMIT: f64 = 1e6;
/// The factor by which the others' demand is raised: it varies, and reports are old.
const DEMAND_MARGIN: f64 = 1.1;
/// The fraction of a limit that all standby nodes may use together.
const STANDBY_FRACTION: f64 = 0.1;

/// The reports of one other node.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    demands: HashMap<u32, (Time, f64)>,
    /// When a heartbeat last held all its reports.
    complete_at: Option<Time>,
}

impl Reports {
    /// Takes in the reports of a heartbeat; `is_complete` tells whether it holds all that the
    /// node has.
    pub fn update(&mut self, now: Time, reports: &[Report], is_complete: bool) {
        if is_complete {
            self.demands.clear();
            self.complete_at = Some(now);
        }
        self.demands.retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
        for report in reports {
            self.demands.insert(report.server, (now, f64::from(report.demand)));
        }
    }

    /// The node's demand for a server; `None` if it is not known.
    pub fn demand(&self, now: Time, server: u32) -> Option<f64> {
        let is_fresh = |at: Time| now.since(at) < REPORT_LIFETIME;
        match self.demands.get(&server) {
            Some((at, demand)) => is_fresh(*at).then_some(*demand),
            None => self.complete_at.is_some_and(is_fresh).then_some(0.0),
        }
    }
}

/// A serving node among which a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its IP address.
    pub ip: IpAddr,
    /// Whether it is in the server's data centre.
    pub is_near: bool,
    /// Whether its heartbeats arrive.
    pub is_present: bool,
    /// The requests per second that it would send without the limit; `None` if not known.
    pub demand: Option<f64>,
}

impl Claim {
    /// The order in which nodes get a part of a small limit.
    fn rank(&self, server: u32) -> (bool, bool, bool, u64) {
        let hash = base::hash::stable(u64::from(server), &[&self.ip.to_string()]);
        (!self.is_present, self.demand == Some(0.0), !self.is_near, hash)
    }
}

/// The part of the serving node `own` in the limit of `server`; `others` are the other serving
/// nodes.
pub fn serving(
    per_second: f64,
    server: u32,
    own: Claim,
    others: &[Claim],
    standby_nodes: u32,
) -> Quota {
    serving_at_least(per_second, server, own, others, standby_nodes, MIN_EVEN)
}

/// Like [`serving`]; a node gets no even part below `min_even` requests per second.
pub fn serving_at_least(
    per_second: f64,
    server: u32,
    own: Claim,
    others: &[Claim],
    standby_nodes: u32,
    min_even: f64,
) -> Quota {
    let for_standby = if standby_nodes > 0 { STANDBY_FRACTION } else { 0.0 };
    let limit = per_second.clamp(MIN_LIMIT, MAX_LIMIT) * (1.0 - for_standby);
    let holders = ((limit / min_even) as usize).clamp(1, others.len() + 1);
    let mut demands: Vec<f64> = Vec::with_capacity(others.len());
    if holders > others.len() {
        demands.extend(others.iter().map(raised_demand));
    } else {
        let mut ranked: Vec<_> = others.iter().map(|other| (other.rank(server), other)).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let own_rank = own.rank(server);
        if ranked.iter().filter(|(rank, _)| *rank < own_rank).count() >= holders {
            return Quota::default();
        }
        let chosen = ranked.iter().take(holders - 1);
        demands.extend(chosen.map(|(_, other)| raised_demand(other)));
    }
    let even = limit / (demands.len() + 1) as f64;
    Quota { even, most: remainder(limit, demands).max(even) }
}

/// The part of a standby node.
pub fn standby(per_second: f64, standby_nodes: u32) -> Quota {
    let limit = per_second.clamp(MIN_LIMIT, MAX_LIMIT) * STANDBY_FRACTION;
    let even = limit / f64::from(standby_nodes.max(1));
    Quota { even, most: even }
}

/// Divides `limit` whole units: all get what they ask for, but none more than `limit` leaves to the
/// others that ask for as much. Returns the parts in the order of `asked`.
pub fn whole(limit: u32, asked: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by_key(|index| asked[*index]);
    let mut parts = vec![0; asked.len()];
    let mut left = limit;
    for (position, index) in order.iter().enumerate() {
        let others = (asked.len() - position) as u32;
        parts[*index] = asked[*index].min(left.div_ceil(others));
        left -= parts[*index];
    }
    parts
}

fn raised_demand(claim: &Claim) -> f64 {
    claim.demand.map_or(f64::INFINITY, |demand| demand * DEMAND_MARGIN)
}

/// What is left of `limit` to one more node that asks for any amount, if the others get what
/// they ask for, but none of them more than that one.
fn remainder(limit: f64, mut demands: Vec<f64>) -> f64 {
    demands.sort_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
    let (mut left, mut nodes) = (limit, demands.len() + 1);
    for demand in demands {
        if demand > left / nodes as f64 {
            break;
        }
        left -= demand;
        nodes -= 1;
    }
    left / nodes as f64
}
