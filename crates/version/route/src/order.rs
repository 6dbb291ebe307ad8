//! Which snapshots can be served, and which replica an attempt is sent to.
//!
//! Invariant: a server that is leaving or lacks the snapshot is never picked.
//! Health, load, distance and the policy only decide which of the others is.

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

/// The sort key of a snapshot.
struct Rank {
    snapshot: Snapshot,
    /// Shards of its map that can be answered from it.
    served: usize,
    /// Shards of its map.
    shards: usize,
    /// The index of its map in the service's list.
    map_index: usize,
}

impl Table {
    /// The snapshots of a service, best first: the largest fraction of the map's
    /// shards on servers that are not leaving, then the map in use, then the newest
    /// version.
    pub fn snapshots(&self, service: &str) -> Vec<Snapshot> {
        let Some(service) = self.services.get(service) else { return Vec::new() };
        let mut ranks = Vec::new();
        for (map_index, name) in service.maps.iter().enumerate() {
            let Some(map) = self.maps.get(name) else { continue };
            for (version, served) in self.served_shards(name) {
                let snapshot = Snapshot { version, map: Arc::clone(name) };
                ranks.push(Rank { snapshot, served, shards: map.groups.len(), map_index });
            }
        }
        ranks.sort_by(|a, b| {
            // Compares the served fractions of two maps, by cross multiplication.
            let coverage = (b.served * a.shards).cmp(&(a.served * b.shards));
            coverage
                .then(a.map_index.cmp(&b.map_index))
                .then(b.snapshot.version.cmp(&a.snapshot.version))
        });
        ranks.into_iter().map(|rank| rank.snapshot).collect()
    }

    /// For each version of a map, the number of shards that can be answered from it.
    fn served_shards(&self, name: &Arc<str>) -> BTreeMap<u64, usize> {
        let mut served = BTreeMap::new();
        let Some(map) = self.maps.get(name) else { return served };
        for (index, group) in map.groups.iter().enumerate() {
            let shard = Shard::from_u32(index as u32);
            let mut versions: Vec<u64> = Vec::new();
            for server in group.iter().filter(|server| self.may_send(**server)) {
                versions.extend(self.servers[*server].shard_copies.versions(name, shard));
            }
            versions.sort_unstable();
            versions.dedup();
            for version in versions {
                *served.entry(version).or_insert(0) += 1;
            }
        }
        served
    }

    /// The number of shards of a map; zero if the map is unknown.
    pub fn shard_count(&self, map: &str) -> usize {
        self.maps.get(map).map_or(0, |map| map.groups.len())
    }

    /// The number of requests, each to all shards of a service, that this node's
    /// share of the slots can run at once; `None` if the service's map is unknown.
    /// The group with the fewest slots decides; leaving servers don't count.
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

    /// The servers that may answer a shard of a snapshot: those that have a copy, are
    /// not leaving and are not in `exclude`. In the order of the map.
    pub fn candidates(&self, snapshot: &Snapshot, shard: Shard, exclude: &[Server]) -> Vec<Server> {
        let group = self.group(&snapshot.map, shard);
        let may_answer = |server: &&Server| {
            !exclude.contains(server)
                && self.may_send(**server)
                && self.servers[**server].shard_copies.contains(snapshot, shard)
        };
        group.iter().filter(may_answer).copied().collect()
    }

    /// Whether every server that may answer a shard of a snapshot is unreachable, so
    /// that requests should not wait for one of them. Health checks continue, and
    /// a server that answers one is tried again.
    pub fn is_unreachable(&self, now: Time, snapshot: &Snapshot, shard: Shard) -> bool {
        let candidates = self.candidates(snapshot, shard, &[]);
        let is_unreachable = |server: &Server| self.servers[*server].health.is_unreachable(now);
        !candidates.is_empty() && candidates.iter().all(is_unreachable)
    }

    /// Whether any server has a copy of a shard of a snapshot, leaving ones included.
    pub fn has_copy(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let group = self.group(&snapshot.map, shard);
        group.iter().any(|server| self.servers[*server].shard_copies.contains(snapshot, shard))
    }

    fn group(&self, map: &str, shard: Shard) -> &[Server] {
        let map = self.maps.get(map);
        let group = map.and_then(|map| map.groups.get(shard.as_u32() as usize));
        group.map_or(&[], Vec::as_slice)
    }

    /// Picks the server for the next attempt, if any may get it.
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
        let in_flight_limit = self.in_flight_limit(&replicas);
        let replicas = self.preferred(now, replicas, in_flight_limit);
        let view = View { now, home, in_flight_limit, servers: &self.servers };
        let policy = self.policies.iter().find(|(name, _)| *name == choice);
        let index = policy.map_or(0, |(_, policy)| policy.pick(&view, &replicas, &mut self.rng));
        let server = replicas[index];
        self.picks += 1;
        self.servers[server].last_pick = self.picks;
        Some(server)
    }

    /// The replicas among which the policy chooses: not ejected, not held back by a
    /// slow start, and near if those have capacity. Not empty unless `replicas` is.
    fn preferred(&mut self, now: Time, replicas: Vec<Server>, in_flight_limit: u32) -> Vec<Server> {
        let with_failures: Vec<(Server, Option<u32>)> = replicas
            .into_iter()
            .map(|server| {
                let health = &self.servers[server].health;
                (server, health.is_ejected(now).then(|| health.consecutive_failures()))
            })
            .collect();
        let (kept, _) = health::partition_ejected(
            &with_failures,
            with_failures.len(),
            self.settings.max_ejection_percent,
        );
        let warm = self.skip_slow_starts(now, &kept);
        let replicas = if warm.is_empty() { kept } else { warm };
        match self.settings.prefer_near {
            true => self.near(now, replicas, in_flight_limit),
            false => replicas,
        }
    }

    /// Leaves out each server in slow start with a probability of one minus its
    /// weight.
    fn skip_slow_starts(&mut self, now: Time, servers: &[Server]) -> Vec<Server> {
        let mut warm = Vec::with_capacity(servers.len());
        for server in servers {
            let weight = self.servers[*server].slow_start.weight(now, self.settings.slow_start);
            if weight >= 1.0 || self.rng.random::<f64>() < weight {
                warm.push(*server);
            }
        }
        warm
    }

    /// Those nearest servers that are neither slow nor at the limit of requests in
    /// flight, or all servers if there are none.
    fn near(&self, now: Time, servers: Vec<Server>, in_flight_limit: u32) -> Vec<Server> {
        let nearest = servers.iter().map(|server| self.servers[*server].distance).min();
        let view = View { now, home: None, in_flight_limit, servers: &self.servers };
        let slow_us = view.fastest_us(&servers) * self.settings.slow_factor;
        let is_usable = |server: &&Server| {
            Some(self.servers[**server].distance) == nearest
                && view.in_flight(**server) < in_flight_limit
                && view.expected_us(**server, &servers) <= slow_us
        };
        let near: Vec<Server> = servers.iter().filter(is_usable).copied().collect();
        if near.is_empty() { servers } else { near }
    }

    /// The number of this node's requests in flight at which a server counts as full:
    /// this node's share of the slots of all `replicas`.
    fn in_flight_limit(&self, replicas: &[Server]) -> u32 {
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
        let index = home::assign(&self.settings.node, &self.nodes, &name, group.len());
        let home = index.map(|index| group[index]);
        self.homes.insert(key, home);
        home
    }
}
