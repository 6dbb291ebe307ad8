//! The servers of all services, and the choice among the servers of one.
//!
//! The cost of a server is the time that a request sent now is expected to take
//! there: the network time plus the usual service time of the route times the
//! slowness of the server. It is higher if the server has more requests than it
//! runs concurrently, and if a request in flight has been without a reply for
//! long: the wait is expected to last for as long again as it has lasted so far.
//! A server in another data centre costs more than its time, since traffic to it
//! is charged. The server with the lowest cost is chosen.
//!
//! Invariants: a draining server is never chosen. Nor is one that turned requests away, until
//! the time that it asked for is over; then single trials decide when it is used again. One that
//! names a limit is chosen only within this node's part of it. One outside of a request's homes, or
//! in an evacuated data centre, is not chosen. An index keeps its meaning while the process runs;
//! another incarnation gets a new index.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::PrimaryMap;
use cranelift_entity::SecondaryMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cold;
use crate::cold::Warmup;
use crate::limit;
use crate::limit::Stated;
use crate::reach;
use crate::reach::Reach;
use crate::record::Distance;
use crate::record::Load;
use crate::record::MAX_TRIAL_DELAY;
use crate::record::Record;
use base::entity::Server;
use base::entity::Service;
use base::hash;
use base::region;
use base::time::Time;
use share::limit::Limit;
use share::limit::Quota;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

/// The location of this node and of the data centres.
#[derive(Clone, Debug)]
pub struct Locality {
    /// The node's data centre.
    pub data_centre: Arc<str>,
    /// The region of each data centre.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Locality {
    /// The distance of `data_centre`; far if its region is not known.
    pub fn distance(&self, data_centre: &str) -> Distance {
        let region = |name: &str| self.regions.get(name);
        if *data_centre == *self.data_centre {
            return Distance::DataCentre;
        }
        match (region(&self.data_centre), region(data_centre)) {
            (Some(own), Some(other)) if own == other => Distance::Region,
            _ => Distance::Far,
        }
    }
}

/// The assumed network time to a server and back, by distance.
const NETWORK_TIME: [(Distance, Duration); 3] = [
    (Distance::DataCentre, Duration::from_micros(400)),
    (Distance::Region, Duration::from_micros(3000)),
    (Distance::Far, Duration::from_micros(17000)),
];
/// The cost of traffic to a server by distance, in multiples of the usual service
/// time. Traffic between data centres costs a quarter of that between regions. A
/// nearer server is preferred until its queue costs more than this; a request
/// that waits there for so long can still be answered in time.
const TRAFFIC_COST: [(Distance, f64); 3] =
    [(Distance::DataCentre, 0.0), (Distance::Region, 0.75), (Distance::Far, 3.0)];
/// A request in flight adds to the cost of its server only once it has waited for
/// longer than this multiple of the expected latency.
const NORMAL_WAIT_FACTOR: f64 = 2.0;
/// The minimum wait that adds to the cost: shorter ones may be caused by a pause of
/// this node itself.
const MIN_ABNORMAL_WAIT: Duration = Duration::from_millis(15);
/// Added to the cost of an ejected server, so that it is chosen only if no other
/// server is left.
const EJECTED_COST: Duration = Duration::from_secs(5);
/// Added to the cost of a server whose registry entry is missing.
const MISSING_ENTRY_COST: Duration = Duration::from_millis(40);
/// The minimum slowness that is assumed of a server during its warm-up.
const WARMUP_SLOWNESS: f64 = 1.7;
/// The cost of a failed request including its retry, in multiples of the usual
/// service time, while the budget of extra sends is unused.
const FAILURE_COST: f64 = 4.0;
/// Added to it when the budget is used up: a failed request can't be retried then.
const FAILURE_COST_INCREASE: f64 = 30.0;
/// The maximum fraction by which a cost is raised at random, so that nodes don't all
/// choose the same server.
const COST_JITTER: f64 = 0.06;
/// The same for a request that goes to any server.
const SPREAD_JITTER: f64 = 20.0;
/// Added to the cost of a server at which a request runs that may end it.
const SUSPECT_COST: Duration = Duration::from_millis(200);

/// How a server is chosen for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Whether the request leaves a part of what servers with a limit take to more urgent ones.
    pub leaves_reserve: bool,
    /// Whether it goes to any server, not to the best one: another attempt broke off, and the
    /// requests that ran beside it, one of which may have ended the server, must not meet again.
    pub spreads: bool,
    /// The regions in which it may be served.
    pub homes: region::Set,
}

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection {
    /// The server.
    pub server: Server,
    /// The expected time until its reply.
    pub expected_latency: Duration,
    /// Whether it has at least as many requests as it runs concurrently.
    pub saturated: bool,
}

/// The outcome of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A complete reply of a request that succeeded was received.
    Replied {
        /// The load that it reported.
        load: Option<Load>,
    },
    /// The server did not run it.
    Refused {
        /// The load that it reported.
        load: Option<Load>,
    },
    /// The server failed, or no usable reply was received.
    Failed,
    /// It was sent, and abandoned without a reply.
    Abandoned,
    /// It never left this node.
    NotSent,
    /// Another server has the address now.
    Misdirected,
}

/// This node's view of the servers.
pub struct Table {
    locality: Locality,
    regions: region::Index,
    servers: PrimaryMap<Server, Record>,
    by_incarnation: HashMap<Incarnation, Server>,
    services_by_name: HashMap<Arc<str>, Service>,
    servers_by_service: PrimaryMap<Service, Vec<Server>>,
    connection_limits: SecondaryMap<Service, u32>,
    /// Whether the configuration names a service.
    named_services: SecondaryMap<Service, bool>,
    warmups: SecondaryMap<Service, Warmup>,
    by_key: HashMap<u32, Server>,
    /// The evacuated data centres.
    evacuated: HashSet<Arc<str>>,
    reach: Reach,
    /// The limited servers that a choice has looked at, and their costs.
    considered: Vec<(Duration, Server)>,
    rng: ChaCha8Rng,
}

impl Table {
    /// A table without servers.
    pub fn new(locality: Locality, seed: u64) -> Self {
        Self {
            regions: region::Index::new(locality.regions.values()),
            locality,
            servers: PrimaryMap::new(),
            by_incarnation: HashMap::new(),
            services_by_name: HashMap::new(),
            servers_by_service: PrimaryMap::new(),
            connection_limits: SecondaryMap::new(),
            named_services: SecondaryMap::new(),
            warmups: SecondaryMap::new(),
            by_key: HashMap::new(),
            evacuated: HashSet::new(),
            reach: Reach::default(),
            considered: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The regions of the deployment.
    pub fn regions(&self) -> &region::Index {
        &self.regions
    }

    /// The set of the region of `data_centre`; empty if it is not known.
    pub fn region_of(&self, data_centre: &str) -> region::Set {
        let region = self.locality.regions.get(data_centre);
        region.map_or(region::Set::NONE, |name| self.regions.region(name))
    }

    /// The index of the service `name`, which is added if it is new.
    pub fn intern_service(&mut self, name: &Arc<str>) -> Service {
        if let Some(service) = self.services_by_name.get(name) {
            return *service;
        }
        let service = self.servers_by_service.push(Vec::new());
        self.services_by_name.insert(Arc::clone(name), service);
        service
    }

    /// The name of a service; empty if the service is not known.
    pub fn service_name(&self, service: Service) -> Arc<str> {
        let found = self.services_by_name.iter().find(|(_, known)| **known == service);
        found.map_or_else(|| Arc::from(""), |(name, _)| Arc::clone(name))
    }

    /// Sets how many connections each server of `service` accepts from all nodes.
    pub fn set_connection_limit(&mut self, service: Service, connections: u32) {
        self.connection_limits[service] = connections;
    }

    /// How many connections a server accepts from all nodes; `None` if not known.
    pub fn connection_limit(&self, server: Server) -> Option<u32> {
        let limit = self.connection_limits[self.servers[server].service];
        (limit > 0).then_some(limit)
    }

    /// A server's record.
    pub fn record(&self, server: Server) -> &Record {
        &self.servers[server]
    }

    /// The servers of a service that may get requests.
    pub fn servers_of(&self, service: Service) -> impl Iterator<Item = Server> {
        self.servers_by_service[service].iter().copied()
    }

    /// All servers that may get requests.
    pub fn servers_in_use(&self) -> impl Iterator<Item = Server> {
        self.by_incarnation.values().copied().filter(|server| self.servers[*server].in_use)
    }

    /// Sets the services that the configuration names.
    pub fn set_named_services(&mut self, services: impl IntoIterator<Item = Service>) {
        self.named_services.clear();
        services.into_iter().for_each(|service| self.named_services[service] = true);
    }

    /// The servers that may get requests by the configuration: those of other services are not
    /// connected to, however many the registry has.
    pub fn named_servers(&self) -> impl Iterator<Item = Server> {
        self.servers_in_use().filter(|server| self.named_services[self.servers[*server].service])
    }

    /// A random number from 0 to 1.
    pub fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }

    /// Applies a change of the fleet; returns the server that is no longer in use.
    pub fn apply(&mut self, now: Time, change: &Change) -> Option<Server> {
        match change {
            Change::Up(entry) => self.add(now, entry),
            Change::Lapsing(incarnation) => {
                if let Some(server) = self.by_incarnation.get(incarnation) {
                    self.servers[*server].entry_missing = true;
                }
                None
            }
            Change::Leaving(incarnation) | Change::Gone(incarnation) => self.remove(incarnation),
        }
    }

    /// Adds or updates a server; returns the server that it replaces.
    fn add(&mut self, now: Time, entry: &Entry) -> Option<Server> {
        let service = self.intern_service(&entry.service);
        let known = self.by_incarnation.get(&entry.incarnation).copied();
        let moved = |record: &Record| record.address != entry.address || record.service != service;
        let mut removed = None;
        let server = match known {
            Some(server) if !moved(&self.servers[server]) => server,
            _ => {
                removed = self
                    .remove(&entry.incarnation)
                    .or_else(|| self.remove_id(&entry.incarnation.id));
                let distance = self.locality.distance(&entry.data_centre);
                let incarnation = entry.incarnation.clone();
                let record = Record::new(incarnation, entry.address, service, distance);
                let server = self.servers.push(record);
                self.by_key.insert(self.key(server), server);
                self.by_incarnation.insert(entry.incarnation.clone(), server);
                server
            }
        };
        let region = self.region_of(&entry.data_centre);
        let record = &mut self.servers[server];
        // An entry that was corrected names another data centre for the same incarnation.
        if record.data_centre != entry.data_centre {
            record.data_centre = Arc::clone(&entry.data_centre);
            record.distance = self.locality.distance(&entry.data_centre);
            record.region = region;
        }
        record.slots = entry.slots.max(1);
        record.entry_missing = false;
        record.in_use = true;
        record.evacuated = self.evacuated.contains(&entry.data_centre);
        self.set_warmup_left(now, server, entry.warmup);
        if !self.servers_by_service[service].contains(&server) {
            self.servers_by_service[service].push(server);
        }
        removed
    }

    /// Sets whether the servers of `data_centre` must get no requests.
    pub fn set_evacuated(&mut self, data_centre: &Arc<str>, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated.insert(Arc::clone(data_centre));
        } else {
            self.evacuated.remove(data_centre);
        }
        for record in self.servers.values_mut() {
            if record.data_centre == *data_centre {
                record.evacuated = is_evacuated;
            }
        }
    }

    /// Sets how the servers of `service` behave after their start.
    pub fn set_warmup(&mut self, now: Time, service: Service, warmup: Warmup) {
        if self.warmups[service] == warmup {
            return;
        }
        self.warmups[service] = warmup;
        // Entries may be known before the configuration.
        for server in self.servers_by_service[service].clone() {
            let left = self.servers[server].warmup_until.since(now);
            self.set_warmup_left(now, server, left);
        }
    }

    /// Records that a server is cold for as long as `left`, or warm if that is zero: its entry or
    /// a reply says so.
    pub fn set_warmup_left(&mut self, now: Time, server: Server, left: Duration) {
        let record = &mut self.servers[server];
        let per_second = self.warmups[record.service].per_second;
        let was_cold = record.cold(now).is_some();
        record.warmup_until = now + left;
        if left.is_zero() || per_second <= 0.0 {
            record.cold = None;
        } else if !was_cold {
            record.cold = Some(cold::limit(now, per_second));
            record.cold_since = now;
        } else if let Some(cold) = &mut record.cold {
            cold.per_second = per_second;
        }
    }

    /// Records that the servers of `data_centre` may be cold, since it was evacuated until now.
    pub fn returned(&mut self, now: Time, data_centre: &str) {
        let in_use: Vec<Server> = self.servers_in_use().collect();
        for server in in_use {
            if *self.servers[server].data_centre == *data_centre {
                self.assume_cold(now, server);
            }
        }
    }

    /// Records that a connection to a server is open; if it refused the last one, it may have
    /// started again. Returns whether its cold state begins.
    pub fn accepted(&mut self, now: Time, server: Server) -> bool {
        if !std::mem::take(&mut self.servers[server].refuses) {
            return false;
        }
        let was_cold = self.servers[server].cold(now).is_some();
        self.assume_cold(now, server);
        !was_cold && self.servers[server].cold(now).is_some()
    }

    /// Assumes that a server is as cold as after its start, if its service names a bound.
    fn assume_cold(&mut self, now: Time, server: Server) {
        let record = &self.servers[server];
        let warmup = self.warmups[record.service];
        if warmup.per_second > 0.0 && now + warmup.time > record.warmup_until {
            self.set_warmup_left(now, server, warmup.time);
        }
    }

    /// Whether an attempt that was started at `started` has a token of a cold server, or needs none.
    pub fn has_token(&self, now: Time, server: Server, started: Time) -> bool {
        let record = &self.servers[server];
        record.cold(now).is_none() || started >= record.cold_since
    }

    /// The servers in use that are cold and whose services name a bound.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = (Server, &Limit)> {
        let limit = move |server| Some((server, self.servers[server].cold(now)?));
        self.servers_in_use().filter_map(limit)
    }

    /// A name of a server's cold state for the reports between nodes, unlike that of its limit.
    pub fn cold_key(&self, server: Server) -> u32 {
        let incarnation = &self.servers[server].incarnation;
        hash::stable(incarnation.born, &[&incarnation.id, "cold"]) as u32
    }

    /// Sets this node's parts of what cold servers bear by `quota`, which gets the key, the record
    /// and the limit.
    pub fn divide_cold(&mut self, now: Time, quota: impl Fn(u32, &Record, &Limit) -> Quota) {
        let cold: Vec<Server> = self.cold(now).map(|(server, _)| server).collect();
        for server in cold {
            let key = self.cold_key(server);
            let record = &mut self.servers[server];
            let Some(mut limit) = record.cold.take() else { continue };
            limit.meter(now);
            limit.set_quota(now, quota(key, record, &limit));
            record.cold = Some(limit);
        }
    }

    /// Whether all servers of `service` that a request with these homes may be sent to are in
    /// evacuated data centres.
    pub fn is_evacuated(&self, service: Service, homes: region::Set) -> bool {
        let mut servers =
            self.servers_of(service).filter(|server| self.is_allowed(*server, homes)).peekable();
        servers.peek().is_some() && servers.all(|server| self.servers[server].evacuated)
    }

    fn remove_id(&mut self, id: &Arc<str>) -> Option<Server> {
        let incarnation = self.by_incarnation.keys().find(|known| known.id == *id).cloned()?;
        self.remove(&incarnation)
    }

    fn remove(&mut self, incarnation: &Incarnation) -> Option<Server> {
        let server = self.by_incarnation.remove(incarnation)?;
        self.retire(server);
        Some(server)
    }

    /// Takes a server out of use, for instance if another one has its address now.
    pub fn retire(&mut self, server: Server) {
        self.by_key.remove(&self.key(server));
        let record = &mut self.servers[server];
        record.in_use = false;
        let service = record.service;
        self.servers_by_service[service].retain(|member| *member != server);
    }

    /// The expected time until the reply to a request that usually takes
    /// `usual_service_time`.
    fn expected_latency(
        &self,
        now: Time,
        server: Server,
        usual_service_time: Duration,
    ) -> Duration {
        let record = &self.servers[server];
        let warmup_slowness = if now < record.warmup_until { WARMUP_SLOWNESS } else { 1.0 };
        let slots = f64::from(record.slots.max(1));
        let waiting = record.estimated_load(now) - slots;
        // The first of the `slots` running requests is expected to end after
        // 1 / (slots + 1) of its service time; requests that already wait run first.
        let wait = if waiting < 0.0 { 0.0 } else { waiting / slots + 1.0 / (slots + 1.0) };
        let factor = record.slowness(now).max(warmup_slowness) * (1.0 + wait);
        network_time(record.distance) + usual_service_time.mul_f64(factor)
    }

    /// The cost of a request to a server; `used_fraction` is the fraction of the budget of
    /// extra sends that would be used after one more send, at most 1.
    fn cost(
        &self,
        now: Time,
        server: Server,
        expected_latency: Duration,
        usual_service_time: Duration,
        used_fraction: f64,
    ) -> Duration {
        let record = &self.servers[server];
        let failure = FAILURE_COST + FAILURE_COST_INCREASE * used_fraction * used_fraction;
        let traffic = by_distance(&TRAFFIC_COST, record.distance);
        let mut cost = expected_latency
            + usual_service_time.mul_f64(failure * record.failure_rate(now) + traffic);
        let oldest_wait = record.oldest_wait(now);
        if oldest_wait > expected_latency.mul_f64(NORMAL_WAIT_FACTOR).max(MIN_ABNORMAL_WAIT) {
            cost += oldest_wait;
        }
        if now < record.ejected_until {
            cost += EJECTED_COST;
        }
        if record.suspects > 0 {
            cost += SUSPECT_COST;
        }
        if record.entry_missing {
            cost += MISSING_ENTRY_COST;
        }
        cost
    }

    /// A short name of a server's incarnation, the same on all nodes.
    pub fn key(&self, server: Server) -> u32 {
        let incarnation = &self.servers[server].incarnation;
        hash::stable(incarnation.born, &[&incarnation.id]) as u32
    }

    /// The id of the server with a key; the key itself if it is not in use.
    pub fn name_of(&self, key: u32) -> String {
        let server = self.by_key.get(&key);
        server.map_or_else(|| format!("{key:08x}"), |s| self.servers[*s].incarnation.id.to_string())
    }

    /// The server of `service` with the lowest cost, except those in `tried`, for a
    /// request that usually takes `usual_service_time`; `used_fraction` is the fraction
    /// of the budget of extra sends that would be used after one more send.
    pub fn choose(
        &mut self,
        now: Time,
        service: Service,
        usual_service_time: Duration,
        used_fraction: f64,
        tried: &[Server],
    ) -> Option<Selection> {
        let choice = Choice::default();
        self.choose_within(now, service, usual_service_time, used_fraction, tried, choice)
    }

    /// Like [`Self::choose`], for a request that is not like any other.
    pub fn choose_within(
        &mut self,
        now: Time,
        service: Service,
        usual_service_time: Duration,
        used_fraction: f64,
        tried: &[Server],
        choice: Choice,
    ) -> Option<Selection> {
        let max_jitter = if choice.spreads { SPREAD_JITTER } else { COST_JITTER };
        self.considered.clear();
        let mut best: Option<(Duration, Server, Duration)> = None;
        for index in 0..self.servers_by_service[service].len() {
            let server = self.servers_by_service[service][index];
            let record = &self.servers[server];
            let is_allowed = choice.homes.allows(record.region) && !record.evacuated;
            if !is_allowed || tried.contains(&server) || !record.accepts(now) {
                continue;
            }
            let jitter = 1.0 + max_jitter * self.rng.random::<f64>();
            let expected = self.expected_latency(now, server, usual_service_time);
            let cost =
                self.cost(now, server, expected, usual_service_time, used_fraction.clamp(0.0, 1.0));
            let cost = cost.mul_f64(jitter);
            if let Some(limit) = &self.servers[server].limit {
                self.considered.push((cost, server));
                if !limit.admits(now, choice.leaves_reserve) {
                    continue;
                }
            }
            if let Some(cold) = self.servers[server].cold(now) {
                if self.servers[server].limit.is_none() {
                    self.considered.push((cost, server));
                }
                if !cold.admits(now, choice.leaves_reserve) {
                    continue;
                }
            }
            if best.is_none_or(|(lowest, _, _)| cost < lowest) {
                best = Some((cost, server, expected));
            }
        }
        let reached = best.map_or(Duration::MAX, |(cost, _, _)| cost);
        for (_, server) in self.considered.iter().filter(|(cost, _)| *cost <= reached) {
            let record = &mut self.servers[*server];
            let limits = record.limit.iter_mut().chain(record.cold.iter_mut());
            limits.for_each(Limit::ask);
        }
        let (_, server, expected_latency) = best?;
        let record = &self.servers[server];
        let saturated = record.estimated_load(now) >= f64::from(record.slots);
        Some(Selection { server, expected_latency, saturated })
    }

    /// Whether a server may still get a request that it was chosen for: it is in use, has
    /// turned none away since, and its data centre is not evacuated.
    pub fn may_send(&self, now: Time, server: Server) -> bool {
        let record = &self.servers[server];
        record.in_use
            && !record.evacuated
            && record.trial_at().is_none_or(|trial_at| now >= trial_at)
    }

    /// Whether a request with these homes may be sent to a server.
    pub fn is_allowed(&self, server: Server, homes: region::Set) -> bool {
        homes.allows(self.servers[server].region)
    }

    /// Whether `service` has servers outside of `homes`, which a request with these homes can't
    /// use.
    pub fn is_restricted(&self, service: Service, homes: region::Set) -> bool {
        !homes.is_any() && self.servers_of(service).any(|server| !self.is_allowed(server, homes))
    }

    /// The servers of a service that a request with these homes may be sent to, and whose data
    /// centres are not evacuated.
    fn allowed(&self, service: Service, homes: region::Set) -> impl Iterator<Item = Server> {
        let is_evacuated = |server: Server| self.servers[server].evacuated;
        self.servers_of(service)
            .filter(move |server| self.is_allowed(*server, homes) && !is_evacuated(*server))
    }

    /// Records that a server wants no requests for the time `asked`.
    pub fn turned_away(&mut self, now: Time, server: Server, asked: Duration) {
        let spread = MAX_TRIAL_DELAY.min(asked).mul_f64(self.rng.random());
        self.servers[server].turned_away(now + asked + spread);
    }

    /// Records what the reply of a server to a request that was sent at `sent` says about its
    /// limit.
    pub fn limit_stated(
        &mut self,
        now: Time,
        server: Server,
        sent: Time,
        stated: Stated,
    ) -> limit::Change {
        let record = &mut self.servers[server];
        if stated == Stated::Absent {
            record.unlimited_at = now;
        }
        let was_unreadable =
            std::mem::replace(&mut record.names_unreadable, stated == Stated::Unreadable);
        match limit::apply(&mut record.limit, now, sent, stated) {
            limit::Change::Unreadable if was_unreadable => limit::Change::Same,
            change => change,
        }
    }

    /// Takes note of a limit that another node reports: a reply named it at `heard_at`.
    pub fn limit_reported(&mut self, now: Time, key: u32, heard_at: Time, per_second: f64) {
        let Some(record) = self.by_key.get(&key).map(|server| &mut self.servers[*server]) else {
            return;
        };
        match &mut record.limit {
            Some(limit) => limit.restate(heard_at, per_second),
            None if heard_at > record.unlimited_at => {
                record.limit = Some(Limit::new(now, heard_at, per_second));
            }
            None => {}
        }
    }

    /// Sets this node's parts of all limits by `quota`, which gets the server's key, its record
    /// and its limit; forgets limits that may have ended.
    pub fn divide_limits(&mut self, now: Time, quota: impl Fn(u32, &Record, &Limit) -> Quota) {
        let limited: Vec<Server> = self.limited().map(|(server, _)| server).collect();
        for server in limited {
            let key = self.key(server);
            let record = &mut self.servers[server];
            let Some(mut limit) = record.limit.take() else { continue };
            limit.meter(now);
            if limit.is_outdated(now) {
                continue;
            }
            limit.set_quota(now, quota(key, record, &limit));
            record.limit = Some(limit);
        }
    }

    /// Counts a request that leaves for a server; returns whether the server names a limit.
    pub fn sent(&mut self, now: Time, server: Server, extra: bool) -> bool {
        let limit = self.servers[server].limit.as_mut();
        limit.map(|limit| limit.sent(now, extra)).is_some()
    }

    /// The servers in use that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = (Server, &Limit)> {
        let limit = |server| Some((server, self.servers[server].limit()?));
        self.servers_in_use().filter_map(limit)
    }

    /// When a service accepts a request with these homes again whose servers there all turn
    /// requests away; `None` if it has no servers there outside evacuated data centres, or one of
    /// them accepts requests.
    pub fn accepts_at(&self, now: Time, service: Service, homes: region::Set) -> Option<Time> {
        let mut earliest: Option<Time> = None;
        for server in self.allowed(service, homes) {
            let record = &self.servers[server];
            let trial_at = if record.accepts(now) { None } else { record.trial_at() };
            let limited_until = record.limit.as_ref().and_then(|limit| limit.admits_at(now));
            let cold_until = record.cold(now).and_then(|cold| cold.admits_at(now));
            let accepts_at = trial_at.max(limited_until).max(cold_until)?;
            earliest = Some(earliest.map_or(accepts_at, |known| known.min(accepts_at)));
        }
        earliest
    }

    /// Whether a server of `service` that a request with these homes may be sent to names a limit,
    /// or is cold.
    pub fn is_limited(&self, now: Time, service: Service, homes: region::Set) -> bool {
        self.allowed(service, homes).any(|server| {
            let record = &self.servers[server];
            record.limit.is_some() || record.cold(now).is_some()
        })
    }

    /// When a request that `service` does not accept now should return: like
    /// [`Self::accepts_at`], but requests that are refused for limits get times one after the
    /// other.
    pub fn return_at(&mut self, now: Time, service: Service, homes: region::Set) -> Option<Time> {
        let accepts_at = self.accepts_at(now, service, homes);
        let servers = self.allowed(service, homes);
        let usable = servers.filter(|server| self.servers[*server].accepts(now));
        let fastest = usable
            .filter_map(|server| Some((server, self.servers[server].binding(now)?.rate(now))))
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        let promised = fastest
            .and_then(|(server, _)| self.servers[server].binding_mut(now))
            .map(|limit| limit.promise(now));
        accepts_at.max(promised)
    }

    /// Records that an attempt at `server` is started.
    pub fn started(&mut self, now: Time, server: Server) {
        let record = &mut self.servers[server];
        record.start_times.push(now);
        if let Some(limit) = &mut record.limit {
            limit.take(now);
        }
        if let Some(cold) = &mut record.cold {
            cold.take(now);
        }
    }

    /// Records that a request which may end the server is sent to it.
    pub fn suspect_sent(&mut self, server: Server) {
        self.servers[server].suspects += 1;
    }

    /// Records that a request which was passed to [`Self::suspect_sent`] no longer runs there.
    pub fn suspect_ended(&mut self, server: Server) {
        let record = &mut self.servers[server];
        record.suspects = record.suspects.saturating_sub(1);
    }

    /// Records the outcome of an attempt that was passed to [`Self::started`] at `started`
    /// and left this node at `sent`; returns the service time if the server answered
    /// successfully.
    pub fn observe(
        &mut self,
        now: Time,
        server: Server,
        started: Time,
        sent: Time,
        usual_service_time: Duration,
        observation: Observation,
    ) -> Option<Duration> {
        let record = &mut self.servers[server];
        record.remove_in_flight(started);
        if let Some(limit) = &mut record.limit
            && observation == Observation::NotSent
        {
            limit.give_back(now);
        }
        if let Some(cold) = &mut record.cold
            && observation == Observation::NotSent
            && started >= record.cold_since
        {
            cold.give_back(now);
        }
        if observation != Observation::NotSent {
            let replied = matches!(observation, Observation::Replied { .. });
            record.trial_ended(now, started, replied);
        }
        let took = now.since(sent).saturating_sub(network_time(record.distance));
        let ratio = took.as_secs_f64() / usual_service_time.as_secs_f64().max(f64::MIN_POSITIVE);
        match observation {
            Observation::Replied { load } => {
                record.replied(now, ratio, load);
                return Some(took);
            }
            Observation::Refused { load } => record.refused(now, load),
            Observation::Failed => record.failed(now),
            Observation::Abandoned => record.abandoned(now, ratio),
            Observation::NotSent => {}
            Observation::Misdirected => self.retire(server),
        }
        None
    }

    /// Records that no connection to `server` could be opened.
    pub fn connect_failed(&mut self, now: Time, server: Server) {
        self.servers[server].connect_failed(now);
        self.servers[server].refuses = true;
        self.reach.failed(now, self.servers[server].service);
    }

    /// Records that a reply of `server` began, whatever it says.
    pub fn heard(&mut self, now: Time, server: Server) {
        self.servers[server].heard_at = now;
        self.reach.replied(now, self.servers[server].service);
    }

    /// Records that a connection to `server` ended before a reply.
    pub fn unheard(&mut self, now: Time, server: Server) {
        self.reach.failed(now, self.servers[server].service);
    }

    /// Records that a connection to `server` was opened and stays open.
    pub fn connected(&mut self, now: Time, server: Server) {
        self.reach.found(now, self.servers[server].service);
    }

    /// Which services this node reaches.
    pub fn reach(&self) -> &Reach {
        &self.reach
    }

    /// Marks the services as lost whose servers are silent, if several servers are and no server
    /// replies. Not to be called after a pause of this node, before it has read what arrived
    /// meanwhile.
    pub fn detect_silence(&mut self, now: Time) {
        if now.since(self.reach.replied_at()) < reach::COMMON_SILENCE {
            return;
        }
        let is_silent =
            |server: &Server| self.servers[*server].oldest_wait(now) >= reach::COMMON_SILENCE;
        let silent: Vec<Server> = self.servers_in_use().filter(is_silent).collect();
        if silent.len() >= reach::MIN_SILENT_SERVERS {
            for server in silent {
                self.reach.fell_silent(self.servers[server].service);
            }
        }
    }
}

fn network_time(distance: Distance) -> Duration {
    by_distance(&NETWORK_TIME, distance)
}

fn by_distance<T: Copy + Default>(values: &[(Distance, T)], distance: Distance) -> T {
    let found = values.iter().find(|(known, _)| *known == distance);
    found.map_or_else(T::default, |(_, value)| *value)
}
