//! The state of one upstream server on this node, except for its incarnations.
//!
//! Invariant: a record belongs to one name at one address. A server that moves
//! gets a new record, so a reference never changes its meaning.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::health::Health;
use crate::latency::Latency;
use crate::load::Load;
use crate::locality::Distance;
use crate::shard_copy::ShardCopies;
use crate::slow_start::SlowStart;
use base::time::Time;

/// The state of one server.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// How far it is from this node.
    pub distance: Distance,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of connections that it accepts from all nodes together.
    pub connections: u32,
    /// Whether a shard map names it.
    pub in_use: bool,
    pub(crate) load: Load,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) shard_copies: ShardCopies,
    pub(crate) slow_start: SlowStart,
    /// The table's pick count when it was last picked.
    pub(crate) last_pick: u64,
}

impl Record {
    /// This node's requests in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.load.in_flight()
    }

    /// Its latency as this node measures it.
    pub fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Its failures and refusals.
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// The shard copies that it can answer from.
    pub fn shard_copies(&self) -> &ShardCopies {
        &self.shard_copies
    }

    /// Its expected latency as a multiple of its shortest recent one.
    pub(crate) fn slowdown(&self, now: Time) -> f64 {
        match self.latency.min_us() {
            Some(min) if min > 0.0 => self.latency.expected_us(now, min) / min,
            _ => 1.0,
        }
    }

    /// The estimated number of requests at the server, those of other nodes included.
    pub(crate) fn estimated_load(&self, now: Time) -> f64 {
        self.load.estimated_load(now, self.slowdown(now), self.slots)
    }

    /// Clears the state of the previous incarnation. The count of requests in flight
    /// stays, since each of them is still reported as ended.
    pub(crate) fn restart(&mut self, now: Time) {
        self.latency = Latency::new();
        self.health.reset();
        self.shard_copies.reset();
        self.slow_start = SlowStart::new();
        self.slow_start.restart(now);
    }

    /// The row of this record in the dump.
    pub(crate) fn row(&self, incarnation: String, leaving: bool, now: Time) -> Row {
        let quantile =
            |percent| self.latency.quantile(percent).map(|latency| latency.as_micros() as u64);
        Row {
            name: Arc::clone(&self.name),
            address: self.address,
            service: Arc::clone(&self.service),
            incarnation,
            leaving,
            ejected: self.health.is_ejected(now),
            in_use: self.in_use,
            in_flight: self.in_flight(),
            reported: self.load.reported().map(|(_, load)| load),
            p50_us: quantile(50.0),
            p90_us: quantile(90.0),
            refusals: self.health.refusals(),
            consecutive_failures: self.health.consecutive_failures(),
            shard_copies: self.shard_copies.len(),
            slow_start: self.slow_start.is_running(),
        }
    }
}

/// One server in the dump.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its current incarnation, and whether it is leaving.
    #[serde(rename = "lives")]
    pub incarnation: String,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether it is ejected.
    #[serde(rename = "unfit")]
    pub ejected: bool,
    /// Whether a shard map names it.
    pub in_use: bool,
    /// This node's requests in flight at the server.
    pub in_flight: u32,
    /// The load that it last reported.
    pub reported: Option<u32>,
    /// The median of recent latencies, in microseconds.
    pub p50_us: Option<u64>,
    /// The 90th percentile of recent latencies, in microseconds.
    pub p90_us: Option<u64>,
    /// Refusals so far.
    pub refusals: u64,
    /// Consecutive failures.
    #[serde(rename = "failures")]
    pub consecutive_failures: u32,
    /// The number of shard copies that it can answer from.
    #[serde(rename = "holdings")]
    pub shard_copies: usize,
    /// Whether a slow start is under way.
    pub slow_start: bool,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} in flight {}",
            self.name, self.address, self.incarnation, self.in_flight
        )?;
        write!(f, " holds {} refused {}", self.shard_copies, self.refusals)?;
        if let Some(p50) = self.p50_us {
            write!(f, " p50 {p50} us")?;
        }
        for (flag, label) in [(self.ejected, " unfit"), (self.slow_start, " slow start")] {
            f.write_str(if flag { label } else { "" })?;
        }
        f.write_str(if self.in_use { "" } else { " unused" })
    }
}
