//! Which snapshots can be served, and in which order replicas are tried.
//!
//! Invariant: a leaving server and one that does not hold the snapshot are never
//! named; all else is a matter of order.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngExt;

use crate::choice::View;
use crate::choice::home;
use crate::health;
use crate::table::Table;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::object::Choice;
use wire::id::Snapshot;

/// How well a snapshot can be served.
struct Rank {
    snapshot: Snapshot,
    held: usize,
    shards: usize,
    /// The place of its map in the service's list.
    place: usize,
}

impl Table {
    /// The snapshots of a service, best first: most of the map's shards held by
    /// servers that are not leaving, then the map in use, then the newest.
    pub fn snapshots(&self, service: &str) -> Vec<Snapshot> {
        let Some(service) = self.services.get(service) else { return Vec::new() };
        let mut ranks = Vec::new();
        for (place, name) in service.maps.iter().enumerate() {
            let Some(map) = self.maps.get(name) else { continue };
            for (version, held) in self.held(name) {
                let snapshot = Snapshot { version, map: Arc::clone(name) };
                ranks.push(Rank { snapshot, held, shards: map.groups.len(), place });
            }
        }
        ranks.sort_by(|a, b| {
            // Parts of two maps are compared by cross multiplication.
            let coverage = (b.held * a.shards).cmp(&(a.held * b.shards));
            coverage.then(a.place.cmp(&b.place)).then(b.snapshot.version.cmp(&a.snapshot.version))
        });
        ranks.into_iter().map(|rank| rank.snapshot).collect()
    }

    /// For each version of a map, the shards that can be answered from it.
    fn held(&self, name: &Arc<str>) -> BTreeMap<u64, usize> {
        let mut held = BTreeMap::new();
        let Some(map) = self.maps.get(name) else { return held };
        for (index, group) in map.groups.iter().enumerate() {
            let shard = Shard::from_u32(index as u32);
            let mut versions: Vec<u64> = Vec::new();
            for server in group.iter().filter(|server| self.may_send(**server)) {
                versions.extend(self.servers[*server].shard_copies.versions(name, shard));
            }
            versions.sort_unstable();
            versions.dedup();
            for version in versions {
                *held.entry(version).or_insert(0) += 1;
            }
        }
        held
    }

    /// How many shards a map has; zero if it is not known.
    pub fn shard_count(&self, map: &str) -> usize {
        self.maps.get(map).map_or(0, |map| map.groups.len())
    }

    /// The requests to all shards of a service that this node's part of the slots
    /// can run at once; `None` if the service's map is not known. Servers that
    /// leave don't count, and the group with the fewest slots decides.
    pub fn capacity_share(&self, service: &str) -> Option<f64> {
        let map = self.maps.get(self.services.get(service)?.maps.first()?)?;
        let slots = |server: &Server| match self.may_send(*server) {
            true => self.servers[*server].slots,
            false => 0,
        };
        let sum = |group: &Vec<Server>| group.iter().map(slots).sum::<u32>();
        let fewest = map.groups.iter().map(sum).min()?;
        Some(f64::from(fewest) / self.nodes.len().max(1) as f64)
    }

    /// The servers that may answer a shard of a snapshot: not leaving, holding
    /// it, and not in `exclude`. In the order of the map.
    pub fn candidates(&self, snapshot: &Snapshot, shard: Shard, exclude: &[Server]) -> Vec<Server> {
        let group = self.group(&snapshot.map, shard);
        let fits = |server: &&Server| {
            !exclude.contains(server)
                && self.may_send(**server)
                && self.servers[**server].shard_copies.has(snapshot, shard)
        };
        group.iter().filter(fits).copied().collect()
    }

    /// Whether every server that may answer a shard of a snapshot is lost, so
    /// that no request need wait for one of them. The health checks go on and
    /// bring back what lives.
    pub fn is_unreachable(&self, now: Time, snapshot: &Snapshot, shard: Shard) -> bool {
        let candidates = self.candidates(snapshot, shard, &[]);
        let lost = |server: &Server| self.servers[*server].health.is_unreachable(now);
        !candidates.is_empty() && candidates.iter().all(lost)
    }

    /// Whether a shard of a snapshot is held, if only by servers that leave.
    pub fn is_held(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let group = self.group(&snapshot.map, shard);
        group.iter().any(|server| self.servers[*server].shard_copies.has(snapshot, shard))
    }

    fn group(&self, map: &str, shard: Shard) -> &[Server] {
        let map = self.maps.get(map);
        let group = map.and_then(|map| map.groups.get(shard.as_u32() as usize));
        group.map_or(&[], Vec::as_slice)
    }

    /// The server that is to get an attempt next, if any may.
    pub fn pick(
        &mut self,
        now: Time,
        choice: Choice,
        snapshot: &Snapshot,
        shard: Shard,
        exclude: &[Server],
    ) -> Option<Server> {
        let replicas = self.candidates(snapshot, shard, exclude);
        if replicas.is_empty() {
            return None;
        }
        let home = self.home(&snapshot.map, shard);
        let full = self.full(&replicas);
        let replicas = self.best(now, replicas, full);
        let view = View { now, home, full, servers: &self.servers };
        let policy = self.policies.iter().find(|(name, _)| *name == choice);
        let index = policy.map_or(0, |(_, policy)| policy.pick(&view, &replicas, &mut self.rng));
        let server = replicas[index];
        self.choices += 1;
        self.servers[server].chosen = self.choices;
        Some(server)
    }

    /// The replicas among which the policy chooses: fit, not held back by a slow
    /// start, and near if load allows. Never empty if `replicas` is not.
    fn best(&mut self, now: Time, replicas: Vec<Server>, full: u32) -> Vec<Server> {
        let judged: Vec<(Server, Option<u32>)> = replicas
            .into_iter()
            .map(|server| {
                let health = &self.servers[server].health;
                (server, health.is_unfit(now).then(|| health.failures()))
            })
            .collect();
        let (fit, _) = health::fit(&judged, judged.len(), self.settings.rule_out_percent);
        let warm = self.warm(now, &fit);
        let pool = if warm.is_empty() { fit } else { warm };
        match self.settings.prefer_near {
            true => self.near(now, pool, full),
            false => pool,
        }
    }

    /// Those that a slow start does not hold back this time.
    fn warm(&mut self, now: Time, servers: &[Server]) -> Vec<Server> {
        let mut warm = Vec::with_capacity(servers.len());
        for server in servers {
            let weight = self.servers[*server].ramp.weight(now, self.settings.ramp);
            if weight >= 1.0 || self.rng.random::<f64>() < weight {
                warm.push(*server);
            }
        }
        warm
    }

    /// The nearest ones that are neither full nor slow, or all if there are none.
    fn near(&self, now: Time, servers: Vec<Server>, full: u32) -> Vec<Server> {
        let nearest = servers.iter().map(|server| self.servers[*server].distance).min();
        let view = View { now, home: None, full, servers: &self.servers };
        let slow = view.fastest_us(&servers) * self.settings.slow_factor;
        let good = |server: &&Server| {
            Some(self.servers[**server].distance) == nearest
                && view.in_flight(**server) < full
                && view.expected_us(**server, &servers) <= slow
        };
        let near: Vec<Server> = servers.iter().filter(good).copied().collect();
        if near.is_empty() { servers } else { near }
    }

    /// This node's part of the slots of one server, if all nodes use the
    /// `replicas` alike.
    fn full(&self, replicas: &[Server]) -> u32 {
        let slots: u32 = replicas.iter().map(|server| self.servers[*server].slots).sum();
        let nodes = self.nodes.len().max(1) as u32;
        slots.div_ceil(nodes).max(1)
    }

    fn home(&mut self, map: &Arc<str>, shard: Shard) -> Option<Server> {
        let key = (Arc::clone(map), shard);
        if let Some(home) = self.homes.get(&key) {
            return *home;
        }
        let group = self.group(map, shard);
        let name = format!("{map}/{}", shard.as_u32());
        let index = home::deal(&self.settings.node, &self.nodes, &name, group.len());
        let home = index.map(|index| group[index]);
        self.homes.insert(key, home);
        home
    }
}
