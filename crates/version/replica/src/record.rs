//! What this node has observed of one server.
//!
//! The node's own observations take precedence; the load that a server reports
//! counts only while it is recent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Service;
use base::region;
use base::time::Time;
use share::limit::Limit;
use site::register::Incarnation;

/// How far a server is from this node, by data centre and region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this node's data centre.
    DataCentre,
    /// In another data centre of this node's region.
    Region,
    /// In another region, or in a data centre whose region is not known.
    Far,
}

/// The load that a server reports with a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// How many requests it runs concurrently.
    pub slots: u32,
}

/// How long a reported load counts, with a weight that falls linearly to zero: a
/// few times the length of a request.
const LOAD_LIFETIME: Duration = Duration::from_millis(250);
/// The weight of a new sample of a server's slowness.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.25;
/// The maximum slowness that is recorded.
const MAX_SLOWNESS: f64 = 40.0;
/// The half-life of the recorded slowness, so that a slow server is tried again.
/// The failure rate decays half as fast.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(1500);
/// How long a server is ejected at first, doubled with each further failure.
const MIN_EJECTION: Duration = Duration::from_millis(200);
/// The longest time that a server is ejected.
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// The number of consecutive failures that ejects a server. A server that fails
/// only some of its requests still serves the others.
const MIN_FAILURES_TO_EJECT: u32 = 4;
/// The weight of a new sample of a server's failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.15;

/// The maximum delay of the first trial after the time for which a server wanted no requests, so
/// that the trials of many nodes are spread.
pub(crate) const MAX_TRIAL_DELAY: Duration = Duration::from_millis(500);
/// The delay of the next trial after one that failed.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// One server.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id and start time.
    pub incarnation: Incarnation,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its service.
    pub service: Service,
    /// Its distance from this node.
    pub distance: Distance,
    /// Its data centre; empty if not known.
    pub data_centre: Arc<str>,
    /// The set of its region; empty if not known.
    pub region: region::Set,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// Whether it may get requests.
    pub in_use: bool,
    /// Whether its data centre is evacuated, so that it must get no requests.
    pub evacuated: bool,
    /// Whether its registry entry is missing.
    pub entry_missing: bool,
    /// The end of its warm-up, during which it is assumed to be slow.
    pub warmup_until: Time,
    /// When this node's attempts that are in flight there were started. An attempt
    /// starts before it gets a connection.
    pub(crate) start_times: Vec<Time>,
    /// When the last load was reported, and the number of other nodes' requests
    /// in it.
    others_load: Option<(Time, u32)>,
    slowness: f64,
    failure_rate: f64,
    /// The time of the last sample of the slowness.
    slowness_at: Time,
    /// The time of the last sample of the failure rate.
    failure_at: Time,
    /// The number of consecutive failures.
    pub consecutive_failures: u32,
    /// The end of its ejection.
    pub ejected_until: Time,
    /// When the next trial may be sent to a server that turned requests away; `None` if it
    /// gets all requests.
    trial_at: Option<Time>,
    /// When a reply of it last began.
    pub heard_at: Time,
    /// The number of this node's requests there that may end it.
    pub(crate) suspects: u32,
    /// The limit that it names at present.
    pub(crate) limit: Option<Limit>,
    /// What it bears while it is cold; `None` if it is warm or its service names no bound.
    pub(crate) cold: Option<Limit>,
    /// Since when it is cold.
    pub(crate) cold_since: Time,
    /// Whether it refused the last connection.
    pub(crate) refuses: bool,
    /// Whether its last reply named a limit that can't be read.
    pub(crate) names_unreadable: bool,
    /// When the last reply that named no limit was received.
    pub(crate) unlimited_at: Time,
}

impl Record {
    /// A server of which only its registry entry is known.
    pub fn new(
        incarnation: Incarnation,
        address: SocketAddr,
        service: Service,
        distance: Distance,
    ) -> Self {
        Self {
            incarnation,
            address,
            service,
            distance,
            data_centre: Arc::from(""),
            region: region::Set::NONE,
            slots: 1,
            in_use: true,
            evacuated: false,
            entry_missing: false,
            warmup_until: Time::ZERO,
            start_times: Vec::new(),
            others_load: None,
            slowness: 1.0,
            failure_rate: 0.0,
            slowness_at: Time::ZERO,
            failure_at: Time::ZERO,
            consecutive_failures: 0,
            ejected_until: Time::ZERO,
            trial_at: None,
            heard_at: Time::ZERO,
            suspects: 0,
            limit: None,
            cold: None,
            cold_since: Time::ZERO,
            refuses: false,
            names_unreadable: false,
            unlimited_at: Time::ZERO,
        }
    }

    /// The limit that it names at present.
    pub fn limit(&self) -> Option<&Limit> {
        self.limit.as_ref()
    }

    /// What it bears at present because it is cold.
    pub fn cold(&self, now: Time) -> Option<&Limit> {
        self.cold.as_ref().filter(|_| now < self.warmup_until)
    }

    /// Of its limit and what it bears while it is cold, the one that leaves this node less.
    pub(crate) fn binding(&self, now: Time) -> Option<&Limit> {
        let limits = self.limit.iter().chain(self.cold(now));
        limits.min_by(|a, b| a.rate(now).total_cmp(&b.rate(now)))
    }

    /// See [`Self::binding`].
    pub(crate) fn binding_mut(&mut self, now: Time) -> Option<&mut Limit> {
        let cold = self.cold.as_mut().filter(|_| now < self.warmup_until);
        let limits = self.limit.iter_mut().chain(cold);
        limits.min_by(|a, b| a.rate(now).total_cmp(&b.rate(now)))
    }

    /// Whether it may get a request: it has turned none away, or it is time for a trial and
    /// none is in flight.
    pub fn accepts(&self, now: Time) -> bool {
        let Some(trial_at) = self.trial_at else { return true };
        now >= trial_at && !self.start_times.iter().any(|started| *started >= trial_at)
    }

    /// When the next trial may be sent; `None` if it gets all requests.
    pub fn trial_at(&self) -> Option<Time> {
        self.trial_at
    }

    /// Records that it wants no requests before `trial_at`.
    pub(crate) fn turned_away(&mut self, trial_at: Time) {
        self.trial_at = self.trial_at.max(Some(trial_at));
    }

    /// Records the end of an attempt that was started at `started`: a trial decides whether the
    /// server gets all requests again. An attempt from before the time says nothing of it.
    pub(crate) fn trial_ended(&mut self, now: Time, started: Time, replied: bool) {
        if self.trial_at.is_none_or(|trial_at| started < trial_at) {
            return;
        }
        self.trial_at = (!replied).then(|| now + TRIAL_INTERVAL);
    }

    /// The number of this node's requests that are in flight there.
    pub fn in_flight(&self) -> u32 {
        self.start_times.len() as u32
    }

    /// How long ago this node's oldest attempt in flight was started.
    pub fn oldest_wait(&self, now: Time) -> Duration {
        self.start_times.iter().min().map_or(Duration::ZERO, |oldest| now.since(*oldest))
    }

    /// The estimated number of requests there, including those of other nodes.
    pub fn estimated_load(&self, now: Time) -> f64 {
        let own = f64::from(self.in_flight());
        let Some((at, others)) = self.others_load else { return own };
        let age = now.since(at).as_secs_f64() / LOAD_LIFETIME.as_secs_f64();
        own + f64::from(others) * (1.0 - age).max(0.0)
    }

    /// The age of the load that the server last reported.
    pub fn load_age(&self, now: Time) -> Option<Duration> {
        self.others_load.map(|(at, _)| now.since(at))
    }

    /// Whether consecutive failures have ejected it and it has not replied since; still
    /// true after the end of its ejection.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures >= MIN_FAILURES_TO_EJECT
    }

    /// The ratio of its service time to the usual one.
    pub fn slowness(&self, now: Time) -> f64 {
        let half_lives =
            now.since(self.slowness_at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// The fraction of its requests that fail.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let half_lives =
            now.since(self.failure_at).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives / 2.0)
    }

    fn sample_slowness(&mut self, now: Time, ratio: f64) {
        let known = self.slowness(now);
        let ratio = ratio.clamp(0.2, MAX_SLOWNESS);
        self.slowness = known + (ratio - known) * SLOWNESS_SAMPLE_WEIGHT;
        self.slowness_at = now;
    }

    fn sample_failure(&mut self, now: Time, failed: f64) {
        let known = self.failure_rate(now);
        self.failure_rate = known + (failed - known) * FAILURE_SAMPLE_WEIGHT;
        self.failure_at = now;
    }

    pub(crate) fn remove_in_flight(&mut self, started: Time) {
        if let Some(index) = self.start_times.iter().position(|time| *time == started) {
            self.start_times.swap_remove(index);
        }
    }

    /// Records a reply after `ratio` times the usual service time.
    pub fn replied(&mut self, now: Time, ratio: f64, load: Option<Load>) {
        self.consecutive_failures = 0;
        self.ejected_until = Time::ZERO;
        self.sample_slowness(now, ratio);
        self.sample_failure(now, 0.0);
        self.update_load(now, load);
    }

    pub(crate) fn update_load(&mut self, now: Time, load: Option<Load>) {
        let Some(load) = load else { return };
        if load.slots > 0 {
            self.slots = load.slots;
        }
        // The load includes this node's requests: the one of the reply, which has
        // ended, and those in flight, which are counted separately.
        let total = load.running + load.queued;
        self.others_load = Some((now, total.saturating_sub(self.in_flight() + 1)));
    }

    /// Records that a request was abandoned after `ratio` times the usual service time.
    pub fn abandoned(&mut self, now: Time, ratio: f64) {
        if ratio > self.slowness(now) {
            self.sample_slowness(now, ratio);
        }
    }

    /// Records that no connection could be opened, and ejects the server: further
    /// attempts would most likely fail too.
    pub(crate) fn connect_failed(&mut self, now: Time) {
        self.consecutive_failures = self.consecutive_failures.max(MIN_FAILURES_TO_EJECT - 1);
        self.failed(now);
    }

    pub(crate) fn failed(&mut self, now: Time) {
        self.sample_failure(now, 1.0);
        self.consecutive_failures += 1;
        if self.consecutive_failures < MIN_FAILURES_TO_EJECT {
            return;
        }
        let doublings = (self.consecutive_failures - MIN_FAILURES_TO_EJECT).min(8);
        self.ejected_until = now + (MIN_EJECTION * (1 << doublings)).min(MAX_EJECTION);
    }

    /// Records that the server did not run a request.
    pub fn refused(&mut self, now: Time, load: Option<Load>) {
        self.update_load(now, load);
        self.sample_failure(now, 1.0);
    }
}
