//! The servers of all services, and the choice among those of one.
//!
//! A server's cost is the time that a request sent now is expected to take
//! there: the way, the usual time of the route's requests times the server's own
//! slowness, longer if more requests are there than it runs at once, and longer
//! by what it has been silent: a silence is expected to go on for as long as it
//! has lasted. A far server costs more than its time, since the bytes there do.
//! The cheapest server is chosen.
//!
//! Invariants: a server that is leaving is never chosen. A reference keeps its
//! meaning for the life of the process; another life gets another one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::PrimaryMap;
use cranelift_entity::SecondaryMap;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::record::Distance;
use crate::record::Load;
use crate::record::Record;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

/// Where this node is, and how long the ways are.
#[derive(Clone, Debug)]
pub struct Place {
    /// The node's data centre.
    pub data_centre: Arc<str>,
    /// The region of each data centre.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Place {
    /// How far `data_centre` is; one that the settings don't name is far.
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

/// The way to a server and back before one was measured, by distance.
const WAY: [(Distance, Duration); 3] = [
    (Distance::DataCentre, Duration::from_micros(400)),
    (Distance::Region, Duration::from_micros(3000)),
    (Distance::Far, Duration::from_micros(17000)),
];
/// What a request costs at a server by distance besides its time, in multiples of
/// the usual time: the price of bytes between data centres is a quarter of that
/// between regions, and a wait of this length still leaves an answer in time.
const DETOUR: [(Distance, f64); 3] =
    [(Distance::DataCentre, 0.0), (Distance::Region, 0.75), (Distance::Far, 3.0)];
/// Silences shorter than this multiple of the expected time are ordinary.
const ORDINARY_SILENCE: f64 = 2.0;
/// The shortest silence that counts: a pause of the node itself lasts as long.
const LEAST_SILENCE: Duration = Duration::from_millis(15);
/// Added to the cost of a server that is paused after failures: it is chosen
/// only if no other one is left.
const PAUSED_COST: Duration = Duration::from_secs(5);
/// Added to the cost of a server whose entry has vanished.
const LAPSING_COST: Duration = Duration::from_millis(40);
/// The factor on the usual time at a server that has just started.
const COLD_FACTOR: f64 = 1.7;
/// What a failed request costs, in multiples of the usual time, the retry
/// included, while the budget of extra requests is untouched.
const FAULT_FACTOR: f64 = 4.0;
/// Added to it when the budget is spent: a failure then loses the answer.
const FAULT_FACTOR_SPENT: f64 = 30.0;
/// The part by which costs vary at random, so that nodes don't move together.
const JITTER: f64 = 0.06;

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: Server,
    /// When its reply is expected.
    pub expected: Duration,
    /// Whether as many requests are there as it runs at once, or more.
    pub busy: bool,
}

/// How a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// A whole reply came.
    Replied {
        /// The load that it told.
        load: Option<Load>,
    },
    /// The server did not run it.
    Refused {
        /// The load that it told.
        load: Option<Load>,
    },
    /// No usable reply came.
    Failed,
    /// It was given up without a reply.
    Outwaited,
    /// It never left this node.
    NotSent,
    /// Another server has the address now.
    Moved,
}

/// The servers as this node sees them.
pub struct Table {
    place: Place,
    servers: PrimaryMap<Server, Record>,
    lives: HashMap<Incarnation, Server>,
    names: HashMap<Arc<str>, Service>,
    members: PrimaryMap<Service, Vec<Server>>,
    connections: SecondaryMap<Service, u32>,
    rng: ChaCha8Rng,
}

impl Table {
    /// A table without servers.
    pub fn new(place: Place, seed: u64) -> Self {
        Self {
            place,
            servers: PrimaryMap::new(),
            lives: HashMap::new(),
            names: HashMap::new(),
            members: PrimaryMap::new(),
            connections: SecondaryMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The reference of a service.
    pub fn service(&mut self, name: &Arc<str>) -> Service {
        if let Some(service) = self.names.get(name) {
            return *service;
        }
        let service = self.members.push(Vec::new());
        self.names.insert(Arc::clone(name), service);
        service
    }

    /// The name of a service; empty if there is none.
    pub fn name(&self, service: Service) -> Arc<str> {
        let found = self.names.iter().find(|(_, known)| **known == service);
        found.map_or_else(|| Arc::from(""), |(name, _)| Arc::clone(name))
    }

    /// Sets how many connections each server of `service` accepts from all nodes.
    pub fn limit(&mut self, service: Service, connections: u32) {
        self.connections[service] = connections;
    }

    /// Connections that a server accepts from all nodes; `None` if not told.
    pub fn connections(&self, server: Server) -> Option<u32> {
        let most = self.connections[self.servers[server].service];
        (most > 0).then_some(most)
    }

    /// A server's record.
    pub fn record(&self, server: Server) -> &Record {
        &self.servers[server]
    }

    /// The servers of a service that may get work.
    pub fn members(&self, service: Service) -> impl Iterator<Item = Server> {
        self.members[service].iter().copied()
    }

    /// All servers that may get work.
    pub fn in_use(&self) -> impl Iterator<Item = Server> {
        self.lives.values().copied().filter(|server| self.servers[*server].in_use)
    }

    /// A number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Takes in a change of the fleet; gives the server if it goes out of use.
    pub fn apply(&mut self, now: Time, change: &Change) -> Option<Server> {
        match change {
            Change::Up(entry) => self.up(now, entry),
            Change::Lapsing(life) => {
                if let Some(server) = self.lives.get(life) {
                    self.servers[*server].lapsing = true;
                }
                None
            }
            Change::Leaving(life) | Change::Gone(life) => self.drop(life),
        }
    }

    /// Takes a server in; gives the server of the same id's last life.
    fn up(&mut self, now: Time, entry: &Entry) -> Option<Server> {
        let service = self.service(&entry.service);
        let known = self.lives.get(&entry.incarnation).copied();
        let moved = |record: &Record| record.address != entry.address || record.service != service;
        let mut dropped = None;
        let server = match known {
            Some(server) if !moved(&self.servers[server]) => server,
            _ => {
                dropped =
                    self.drop(&entry.incarnation).or_else(|| self.drop_id(&entry.incarnation.id));
                let distance = self.place.distance(&entry.data_centre);
                let life = entry.incarnation.clone();
                let made = Record::new(life, entry.address, service, distance);
                let server = self.servers.push(made);
                self.lives.insert(entry.incarnation.clone(), server);
                server
            }
        };
        let record = &mut self.servers[server];
        record.slots = entry.slots.max(1);
        record.lapsing = false;
        record.in_use = true;
        record.cold_until = now + entry.warmup;
        if !self.members[service].contains(&server) {
            self.members[service].push(server);
        }
        dropped
    }

    fn drop_id(&mut self, id: &Arc<str>) -> Option<Server> {
        let life = self.lives.keys().find(|life| life.id == *id).cloned()?;
        self.drop(&life)
    }

    fn drop(&mut self, life: &Incarnation) -> Option<Server> {
        let server = self.lives.remove(life)?;
        self.retire(server);
        Some(server)
    }

    /// Takes a server out of use, such as one whose address another one has.
    pub fn retire(&mut self, server: Server) {
        let record = &mut self.servers[server];
        record.in_use = false;
        let service = record.service;
        self.members[service].retain(|member| *member != server);
    }

    /// The time that a request of the usual length `work` is expected to take.
    fn expected(&self, now: Time, server: Server, work: Duration) -> Duration {
        let record = &self.servers[server];
        let cold = if now < record.cold_until { COLD_FACTOR } else { 1.0 };
        let slots = f64::from(record.slots.max(1));
        let waiting = record.believed(now) - slots;
        // The first of `slots` requests ends after a part of its length, and
        // those that wait already go before.
        let wait = if waiting < 0.0 { 0.0 } else { waiting / slots + 1.0 / (slots + 1.0) };
        let factor = record.slowness(now).max(cold) * (1.0 + wait);
        way(record.distance) + work.mul_f64(factor)
    }

    /// What a request costs at a server, where it is expected to take `expected`.
    fn cost(
        &self,
        now: Time,
        server: Server,
        expected: Duration,
        work: Duration,
        spent: f64,
    ) -> Duration {
        let record = &self.servers[server];
        let fault = FAULT_FACTOR + FAULT_FACTOR_SPENT * spent * spent;
        let detour = by_distance(&DETOUR, record.distance);
        let mut cost = expected + work.mul_f64(fault * record.faults(now) + detour);
        let silence = record.silence(now);
        if silence > expected.mul_f64(ORDINARY_SILENCE).max(LEAST_SILENCE) {
            cost += silence;
        }
        if now < record.paused_until {
            cost += PAUSED_COST;
        }
        if record.lapsing {
            cost += LAPSING_COST;
        }
        cost
    }

    /// The cheapest server of `service` for a request of the usual length
    /// `work`, among those not in `tried`; `spent` is the part of the budget of
    /// extra requests that is spent.
    pub fn choose(
        &mut self,
        now: Time,
        service: Service,
        work: Duration,
        spent: f64,
        tried: &[Server],
    ) -> Option<Choice> {
        let mut best: Option<(Duration, Server, Duration)> = None;
        for at in 0..self.members[service].len() {
            let server = self.members[service][at];
            if tried.contains(&server) {
                continue;
            }
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            let expected = self.expected(now, server, work);
            let cost = self.cost(now, server, expected, work, spent.clamp(0.0, 1.0));
            let cost = cost.mul_f64(jitter);
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, server, expected));
            }
        }
        let (_, server, expected) = best?;
        let record = &self.servers[server];
        let busy = record.believed(now) >= f64::from(record.slots);
        Some(Choice { server, expected, busy })
    }

    /// Whether a server may still get work.
    pub fn may_send(&self, server: Server) -> bool {
        self.servers[server].in_use
    }

    /// Notes that a request went to `server`.
    pub fn sent(&mut self, now: Time, server: Server) {
        self.servers[server].open.push(now);
    }

    /// Notes how the request ended that was chosen for at `opened` and left at
    /// `sent`; gives the time that the server took if it replied.
    pub fn ended(
        &mut self,
        now: Time,
        server: Server,
        opened: Time,
        sent: Time,
        work: Duration,
        end: End,
    ) -> Option<Duration> {
        let record = &mut self.servers[server];
        record.close(opened);
        let took = now.since(sent).saturating_sub(way(record.distance));
        let ratio = took.as_secs_f64() / work.as_secs_f64().max(f64::MIN_POSITIVE);
        match end {
            End::Replied { load } => {
                record.replied(now, ratio, load);
                return Some(took);
            }
            End::Refused { load } => record.refused(now, load),
            End::Failed => record.failed(now),
            End::Outwaited => record.outwaited(now, ratio),
            End::NotSent => {}
            End::Moved => self.retire(server),
        }
        None
    }

    /// Notes that no connection to `server` could be opened.
    pub fn unreachable(&mut self, now: Time, server: Server) {
        self.servers[server].unreachable(now);
    }
}

fn way(distance: Distance) -> Duration {
    by_distance(&WAY, distance)
}

fn by_distance<T: Copy + Default>(values: &[(Distance, T)], distance: Distance) -> T {
    let found = values.iter().find(|(known, _)| *known == distance);
    found.map_or_else(T::default, |(_, value)| *value)
}
