//! All that this node knows of one upstream server, but for its lives.
//!
//! Invariant: a record belongs to one name at one address; a server that moves
//! gets a new record, and no reference ever changes its meaning.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::health::Health;
use crate::latency::Latency;
use crate::load::Load;
use crate::locality::Distance;
use crate::ramp::Ramp;
use crate::shard_copy::ShardCopies;
use base::time::Time;

/// One server.
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
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts, over all nodes.
    pub connections: u32,
    /// Whether a shard map names it.
    pub in_use: bool,
    pub(crate) load: Load,
    pub(crate) latency: Latency,
    pub(crate) health: Health,
    pub(crate) shard_copies: ShardCopies,
    pub(crate) ramp: Ramp,
    /// The number of the last choice that fell on it.
    pub(crate) chosen: u64,
}

impl Record {
    /// Own requests that run there.
    pub fn in_flight(&self) -> u32 {
        self.load.in_flight()
    }

    /// Its latency as this node sees it.
    pub fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Whether it is fit for work.
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// What it can answer.
    pub fn shard_copies(&self) -> &ShardCopies {
        &self.shard_copies
    }

    /// How much slower it is than at its best.
    pub(crate) fn stretch(&self, now: Time) -> f64 {
        match self.latency.least_us() {
            Some(least) if least > 0.0 => self.latency.expected_us(now, least) / least,
            _ => 1.0,
        }
    }

    /// Requests that are believed to be there.
    pub(crate) fn estimated_load(&self, now: Time) -> f64 {
        self.load.estimated_load(now, self.stretch(now), self.slots)
    }

    /// Forgets what belonged to the last incarnation; own requests that still
    /// run end one by one.
    pub(crate) fn restart(&mut self, now: Time) {
        self.latency = Latency::new();
        self.health.reset();
        self.shard_copies.reset();
        self.ramp = Ramp::new();
        self.ramp.restart(now);
    }

    /// The record as a row of the dump.
    pub(crate) fn row(&self, incarnation: String, leaving: bool, now: Time) -> Row {
        let quantile = |percent| self.latency.quantile(percent).map(|span| span.as_micros() as u64);
        Row {
            name: Arc::clone(&self.name),
            address: self.address,
            service: Arc::clone(&self.service),
            incarnation,
            leaving,
            unfit: self.health.is_unfit(now),
            in_use: self.in_use,
            in_flight: self.in_flight(),
            reported: self.load.reported().map(|(_, load)| load),
            p50_us: quantile(50.0),
            p90_us: quantile(90.0),
            refusals: self.health.refusals(),
            failures: self.health.failures(),
            shard_copies: self.shard_copies.len(),
            slow_start: self.ramp.is_running(),
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
    /// Its present incarnation.
    #[serde(rename = "lives")]
    pub incarnation: String,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether it looks unfit.
    pub unfit: bool,
    /// Whether a shard map names it.
    pub in_use: bool,
    /// Own requests that run there.
    pub in_flight: u32,
    /// The load that it last reported.
    pub reported: Option<u32>,
    /// The median of recent latencies, in microseconds.
    pub p50_us: Option<u64>,
    /// The 90th percentile of recent latencies, in microseconds.
    pub p90_us: Option<u64>,
    /// Refusals so far.
    pub refusals: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Shards of snapshots that it can answer.
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
        for (flag, word) in [(self.unfit, " unfit"), (self.slow_start, " slow start")] {
            f.write_str(if flag { word } else { "" })?;
        }
        f.write_str(if self.in_use { "" } else { " unused" })
    }
}
