//! What this node has seen of one server.
//!
//! Own observations come first; the load that a server tells of itself is used
//! while it is fresh.

use std::net::SocketAddr;
use std::time::Duration;

use base::entity::Service;
use base::time::Time;
use site::register::Incarnation;

/// How far a server is from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In another data centre of the same region.
    Region,
    /// In another region.
    Far,
}

/// The load that a server told with a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// How long a told load is believed: a few times a request's length.
const LOAD_FRESH: Duration = Duration::from_millis(250);
/// The weight of a new sample of a server's pace.
const PACE_WEIGHT: f64 = 0.25;
/// The slowest pace that is kept, as a multiple of the usual one.
const SLOWEST: f64 = 40.0;
/// The time after which half of what is known of a slowed server is forgotten,
/// so that it is tried again.
const FORGET_HALF: Duration = Duration::from_millis(1500);
/// The pause after failures in a row, doubled with each.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Failures in a row after which a server is paused: one that fails part of its
/// requests still serves the others.
const FAILURES_TO_PAUSE: u32 = 4;
/// The weight of a new sample of a server's failure rate.
const FAULT_WEIGHT: f64 = 0.15;

/// One server.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id and life.
    pub life: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its service.
    pub service: Service,
    /// How far it is.
    pub distance: Distance,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may get work.
    pub in_use: bool,
    /// Whether its entry has vanished.
    pub lapsing: bool,
    /// Until when it is slow after its start.
    pub cold_until: Time,
    /// When this node's requests that still run there were sent.
    pub(crate) open: Vec<Time>,
    load: Option<(Time, u32)>,
    slowness: f64,
    faults: f64,
    seen: Time,
    /// Failures in a row.
    pub failures: u32,
    /// Until when it is paused after failures.
    pub paused_until: Time,
}

impl Record {
    /// A server that nothing is known of but its entry.
    pub fn new(
        life: Incarnation,
        address: SocketAddr,
        service: Service,
        distance: Distance,
    ) -> Self {
        Self {
            life,
            address,
            service,
            distance,
            slots: 1,
            in_use: true,
            lapsing: false,
            cold_until: Time::ZERO,
            open: Vec::new(),
            load: None,
            slowness: 1.0,
            faults: 0.0,
            seen: Time::ZERO,
            failures: 0,
            paused_until: Time::ZERO,
        }
    }

    /// Own requests that run there.
    pub fn in_flight(&self) -> u32 {
        self.open.len() as u32
    }

    /// How long the oldest own request there has been without a reply.
    pub fn silence(&self, now: Time) -> Duration {
        self.open.iter().min().map_or(Duration::ZERO, |oldest| now.since(*oldest))
    }

    /// Requests that are believed to be there, others' included.
    pub fn believed(&self, now: Time) -> f64 {
        let own = f64::from(self.in_flight());
        let Some((at, others)) = self.load else { return own };
        let age = now.since(at).as_secs_f64() / LOAD_FRESH.as_secs_f64();
        own + f64::from(others) * (1.0 - age).max(0.0)
    }

    /// How old the load is that the server told.
    pub fn load_age(&self, now: Time) -> Option<Duration> {
        self.load.map(|(at, _)| now.since(at))
    }

    /// Whether it is passed over while others of its service are left.
    pub fn is_passed_over(&self) -> bool {
        self.failures >= FAILURES_TO_PAUSE
    }

    /// How many times longer than usual a request takes there.
    pub fn slowness(&self, now: Time) -> f64 {
        let halves = now.since(self.seen).as_secs_f64() / FORGET_HALF.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(halves)
    }

    /// The part of its requests that fail.
    pub fn faults(&self, now: Time) -> f64 {
        let halves = now.since(self.seen).as_secs_f64() / FORGET_HALF.as_secs_f64();
        self.faults * 0.5_f64.powf(halves / 2.0)
    }

    fn pace(&mut self, now: Time, ratio: f64) {
        let known = self.slowness(now);
        let ratio = ratio.clamp(0.2, SLOWEST);
        self.slowness = known + (ratio - known) * PACE_WEIGHT;
        self.seen = now;
    }

    fn fault(&mut self, now: Time, failed: f64) {
        let known = self.faults(now);
        self.faults = known + (failed - known) * FAULT_WEIGHT;
        self.seen = now;
    }

    pub(crate) fn close(&mut self, sent: Time) {
        if let Some(at) = self.open.iter().position(|open| *open == sent) {
            self.open.swap_remove(at);
        }
    }

    pub(crate) fn replied(&mut self, now: Time, ratio: f64, load: Option<Load>) {
        self.failures = 0;
        self.paused_until = Time::ZERO;
        self.pace(now, ratio);
        self.fault(now, 0.0);
        self.tell(now, load);
    }

    pub(crate) fn tell(&mut self, now: Time, load: Option<Load>) {
        let Some(load) = load else { return };
        if load.slots > 0 {
            self.slots = load.slots;
        }
        // The reply's own request has ended, and this node's others are known.
        let there = load.running + load.waiting;
        self.load = Some((now, there.saturating_sub(self.in_flight() + 1)));
    }

    /// Notes that it gave no answer within `ratio` times the usual time.
    pub(crate) fn outwaited(&mut self, now: Time, ratio: f64) {
        if ratio > self.slowness(now) {
            self.pace(now, ratio);
        }
    }

    /// Notes that it can't be reached, which no further try will change soon.
    pub(crate) fn unreachable(&mut self, now: Time) {
        self.failures = self.failures.max(FAILURES_TO_PAUSE - 1);
        self.failed(now);
    }

    pub(crate) fn failed(&mut self, now: Time) {
        self.fault(now, 1.0);
        self.failures += 1;
        if self.failures < FAILURES_TO_PAUSE {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_PAUSE).min(8);
        self.paused_until = now + (PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
    }

    pub(crate) fn refused(&mut self, now: Time, load: Option<Load>) {
        self.tell(now, load);
        self.fault(now, 1.0);
    }
}
