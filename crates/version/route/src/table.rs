//! The table of upstream servers of one process.
//!
//! The table is updated from the catalog, this node's observations, health
//! reports, the VM list and the peers' withdrawals. It decides which replicas may
//! get an attempt, and picks one. It has no clock and does no I/O; the caller keeps
//! it under a lock and checks [`Table::may_send`] again at the moment of sending.
//!
//! Invariant: a [`Server`] reference keeps its meaning for the lifetime of the
//! process; a name that comes back at the same address gets its old reference.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::PrimaryMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::choice;
use crate::choice::Policy;
use crate::health::Health;
use crate::latency::Latency;
use crate::leaving::Change;
use crate::leaving::Incarnations;
use crate::leaving::Source;
use crate::load::Load;
use crate::observation::Observation;
use crate::quantile::Window;
use crate::server::Record;
use crate::server::Row;
use crate::settings::Settings;
use crate::shard_copy::ShardCopies;
use crate::slow_start::SlowStart;
use crate::withdrawal::Withdrawal;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::catalog::Catalog;
use conf::object;
use conf::object::Choice;
use conf::object::Kind;
use conf::object::Spec;
use wire::platform::Vm;
use wire::upstream;
use wire::upstream::Report;

/// The groups of one shard map.
#[derive(Clone, Debug, Default)]
pub(crate) struct Map {
    pub(crate) groups: Vec<Vec<Server>>,
}

/// The maps and the latencies of one service.
pub(crate) struct Service {
    /// The map in use, then the older ones.
    pub(crate) maps: Vec<Arc<str>>,
    latencies: Window,
}

/// The upstream servers.
pub struct Table {
    pub(crate) settings: Settings,
    pub(crate) servers: PrimaryMap<Server, Record>,
    by_endpoint: HashMap<(Arc<str>, SocketAddr), Server>,
    pub(crate) incarnations: HashMap<Arc<str>, Incarnations>,
    pub(crate) maps: BTreeMap<Arc<str>, Map>,
    pub(crate) services: BTreeMap<Arc<str>, Service>,
    pub(crate) nodes: Vec<Arc<str>>,
    pub(crate) homes: HashMap<(Arc<str>, Shard), Option<Server>>,
    pub(crate) policies: Vec<(Choice, Box<dyn Policy>)>,
    pub(crate) rng: ChaCha8Rng,
    /// How many servers have been picked.
    pub(crate) picks: u64,
}

impl Table {
    /// A table without servers.
    pub fn new(settings: Settings) -> Self {
        let policies = Choice::ALL.into_iter().map(|name| (name, choice::new(name))).collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            nodes: vec![Arc::clone(&settings.node)],
            settings,
            servers: PrimaryMap::new(),
            by_endpoint: HashMap::new(),
            incarnations: HashMap::new(),
            maps: BTreeMap::new(),
            services: BTreeMap::new(),
            homes: HashMap::new(),
            policies,
            picks: 0,
        }
    }

    /// Replaces the maps and the services by those of a catalog.
    pub fn update(&mut self, catalog: &Catalog) {
        for record in self.servers.values_mut() {
            record.in_use = false;
        }
        self.maps.clear();
        self.homes.clear();
        for (name, spec) in catalog.of_kind(Kind::Map) {
            if let Spec::Map(map) = spec {
                let map = self.build_map(catalog, map);
                self.maps.insert(Arc::clone(name), map);
            }
        }
        let mut previous = std::mem::take(&mut self.services);
        for (name, spec) in catalog.of_kind(Kind::Service) {
            let Spec::Service(service) = spec else { continue };
            let mut maps = vec![Arc::clone(&service.map)];
            maps.extend(service.older_maps.iter().cloned());
            let latencies = previous.remove(name).map(|old| old.latencies).unwrap_or_default();
            self.services.insert(Arc::clone(name), Service { maps, latencies });
        }
    }

    fn build_map(&mut self, catalog: &Catalog, map: &object::Map) -> Map {
        let service = catalog.service(&map.service);
        let slots = service.map_or(1, |service| service.slots);
        let connections = service.map_or(1, |service| service.connections);
        let mut groups = Vec::with_capacity(map.groups.len());
        for group in &map.groups {
            let mut servers = Vec::with_capacity(group.servers.len());
            for server in &group.servers {
                let reference = self.intern(server);
                let record = &mut self.servers[reference];
                record.in_use = true;
                record.service = Arc::clone(&map.service);
                record.slots = slots;
                record.connections = connections;
                servers.push(reference);
            }
            groups.push(servers);
        }
        Map { groups }
    }

    /// The reference of a server, which is added if it is new.
    fn intern(&mut self, server: &object::Server) -> Server {
        let endpoint = (Arc::clone(&server.name), server.address);
        let distance = self.settings.locality.distance(&server.data_centre);
        if let Some(found) = self.by_endpoint.get(&endpoint) {
            let record = &mut self.servers[*found];
            record.data_centre = Arc::clone(&server.data_centre);
            record.distance = distance;
            return *found;
        }
        let reference = self.servers.push(Record {
            name: Arc::clone(&server.name),
            address: server.address,
            data_centre: Arc::clone(&server.data_centre),
            distance,
            service: Arc::from(""),
            slots: 1,
            connections: 1,
            in_use: true,
            load: Load::new(),
            latency: Latency::new(),
            health: Health::new(),
            shard_copies: ShardCopies::new(),
            slow_start: SlowStart::new(),
            last_pick: 0,
        });
        self.by_endpoint.insert(endpoint, reference);
        reference
    }

    /// Sets the names of the live nodes, this one included; the home servers follow
    /// from them.
    pub fn set_nodes(&mut self, nodes: &[Arc<str>]) {
        self.nodes = nodes.to_vec();
        self.homes.clear();
    }

    /// Applies an observation of an attempt; returns new withdrawals to announce.
    pub fn observe(
        &mut self,
        now: Time,
        server: Server,
        observation: Observation,
    ) -> Vec<Withdrawal> {
        let record = &mut self.servers[server];
        if observation == Observation::Sent {
            record.load.request_started();
            return Vec::new();
        }
        record.load.request_ended();
        match observation {
            Observation::Sent | Observation::NotSent => Vec::new(),
            Observation::Replied { latency, report, snapshot, shard } => {
                let withdrawals = self.apply_report(now, server, Source::Reply, report);
                let record = &mut self.servers[server];
                record.latency.record_sample(now, latency);
                record.health.record_reply();
                record.shard_copies.observe(now, &snapshot, shard, true);
                self.record_service_latency(now, server, latency);
                withdrawals
            }
            Observation::Refused { retry_after, report } => {
                record.health.record_refusal(now, retry_after);
                self.apply_report(now, server, Source::Reply, report)
            }
            Observation::Mismatched { report, snapshot, shard } => {
                record.shard_copies.observe(now, &snapshot, shard, false);
                self.apply_report(now, server, Source::Reply, report)
            }
            Observation::Failed => {
                record.health.record_failure(now);
                Vec::new()
            }
            Observation::Cancelled { waited } => {
                record.latency.record_cancelled(now, waited);
                self.record_service_latency(now, server, waited);
                Vec::new()
            }
        }
    }

    fn record_service_latency(&mut self, now: Time, server: Server, latency: Duration) {
        if let Some(service) = self.services.get_mut(&self.servers[server].service) {
            service.latencies.record_sample(now, latency);
        }
    }

    /// Applies a health report; returns new withdrawals to announce.
    pub fn update_health(
        &mut self,
        now: Time,
        server: Server,
        health: &upstream::Health,
    ) -> Vec<Withdrawal> {
        if health.server != self.servers[server].name {
            log::warn!(
                target: "route",
                "health check of {} was answered by {}",
                self.servers[server].name,
                health.server
            );
            return Vec::new();
        }
        let report = Report {
            incarnation: Some(health.incarnation),
            state: Some(health.state),
            load: Some(health.load),
        };
        self.servers[server].health.record_health_response();
        let withdrawals = self.apply_report(now, server, Source::Health, report);
        let current = self.incarnations.get(&health.server).and_then(Incarnations::current);
        if current == Some(health.incarnation) {
            self.servers[server].shard_copies.apply_report(now, &health.shard_copies);
        }
        withdrawals
    }

    /// Records that a server's health endpoint gave no answer.
    pub fn health_check_failed(&mut self, now: Time, server: Server) {
        self.servers[server].health.record_failure(now);
    }

    fn apply_report(
        &mut self,
        now: Time,
        server: Server,
        source: Source,
        report: Report,
    ) -> Vec<Withdrawal> {
        let record = &mut self.servers[server];
        let incarnations = self.incarnations.entry(Arc::clone(&record.name)).or_default();
        let mut change = Change::default();
        let state = report.state.unwrap_or_default();
        if let Some(incarnation) = report.incarnation {
            change = incarnations.apply_report(source, incarnation, state);
            if incarnations.current() != Some(incarnation) {
                return withdrawals_of(&record.name, change);
            }
        } else if state == upstream::State::Draining {
            change = incarnations.drain();
        }
        if change.restarted {
            record.restart(now);
        }
        if state == upstream::State::Cold {
            record.slow_start.reported_cold(now);
        }
        if let Some(load) = report.load {
            record.load.record_report(now, load);
        }
        withdrawals_of(&record.name, change)
    }

    /// Applies the VM list; returns new withdrawals to announce.
    pub fn update_vms(&mut self, vms: &[Vm]) -> Vec<Withdrawal> {
        let mut all = Vec::new();
        for vm in vms {
            let incarnations = self.incarnations.entry(Arc::clone(&vm.name)).or_default();
            all.extend(withdrawals_of(&vm.name, incarnations.update_listed(vm.lifecycle)));
        }
        all
    }

    /// Withdraws a server's current incarnation at an operator's request; returns
    /// new withdrawals to announce.
    pub fn drain(&mut self, server: Server) -> Vec<Withdrawal> {
        let name = Arc::clone(&self.servers[server].name);
        let incarnations = self.incarnations.entry(Arc::clone(&name)).or_default();
        withdrawals_of(&name, incarnations.drain())
    }

    /// Applies a peer's withdrawal; returns it if it is new on this node.
    pub fn apply_withdrawal(&mut self, withdrawal: &Withdrawal) -> Vec<Withdrawal> {
        let incarnations = self.incarnations.entry(Arc::clone(&withdrawal.server)).or_default();
        withdrawals_of(&withdrawal.server, incarnations.apply_withdrawal(withdrawal.incarnation))
    }

    /// All withdrawals, in sorted order.
    pub fn withdrawals(&self) -> Vec<Withdrawal> {
        let mut all = Vec::new();
        for (name, incarnations) in &self.incarnations {
            let withdrawal = |incarnation| Withdrawal { server: Arc::clone(name), incarnation };
            all.extend(incarnations.ended().map(withdrawal));
        }
        all.sort_unstable();
        all
    }

    /// Whether a server may get new work now.
    pub fn may_send(&self, server: Server) -> bool {
        let Some(record) = self.servers.get(server) else { return false };
        record.in_use && !self.is_leaving(record)
    }

    pub(crate) fn is_leaving(&self, record: &Record) -> bool {
        self.incarnations.get(&record.name).is_some_and(Incarnations::is_leaving)
    }

    /// The delay after which an attempt for a service is hedged: the quantile
    /// `percent` of its recent latencies. `None` if there are too few samples or if
    /// `percent` is 100.
    pub fn hedge_delay(&mut self, now: Time, service: &str, percent: f64) -> Option<Duration> {
        self.services.get_mut(service)?.latencies.cached_quantile(now, percent)
    }

    /// All servers with their references, unused ones included.
    pub fn iter(&self) -> impl Iterator<Item = (Server, &Record)> {
        self.servers.iter()
    }

    /// The record of a server.
    pub fn get(&self, server: Server) -> Option<&Record> {
        self.servers.get(server)
    }

    /// The server in use that has this name.
    pub fn find(&self, name: &str) -> Option<Server> {
        let matches = |(_, record): &(Server, &Record)| record.in_use && *record.name == *name;
        self.servers.iter().find(matches).map(|(server, _)| server)
    }

    /// The state of all servers, for inspection.
    pub fn dump(&self, now: Time) -> Vec<Row> {
        let incarnation = |record: &Record| match self.incarnations.get(&record.name) {
            Some(incarnations) => incarnations.to_string(),
            None => "unknown".to_owned(),
        };
        let row = |record: &Record| record.row(incarnation(record), self.is_leaving(record), now);
        self.servers.values().map(row).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, service) in &self.services {
            writeln!(f, "{name}: {}", service.latencies)?;
        }
        for row in self.dump(Time::ZERO) {
            writeln!(f, "  {row}")?;
        }
        Ok(())
    }
}

/// Logs the incarnations that a change ended, and returns them as withdrawals.
fn withdrawals_of(name: &Arc<str>, change: Change) -> Vec<Withdrawal> {
    let withdrawal = |incarnation| Withdrawal { server: Arc::clone(name), incarnation };
    let withdrawals: Vec<Withdrawal> = change.ended.into_iter().map(withdrawal).collect();
    for withdrawal in &withdrawals {
        log::info!(target: "route", "{withdrawal}");
    }
    withdrawals
}
