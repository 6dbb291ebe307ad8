//! The check of an object as a whole before it is accepted.
//!
//! Invariant: all findings are collected. An object without findings can be
//! used by every node that holds the same catalog, and does not take away what
//! another object of that catalog needs.
//!
//! Two objects that refer to each other can't both come second, so a map may
//! name a service that does not exist yet; the service's own check then asks
//! that its map exists and belongs to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::catalog::Catalog;
use crate::object::Kind;
use crate::object::Map;
use crate::object::Object;
use crate::object::Policy;
use crate::object::Server;
use crate::object::Service;
use crate::object::Spec;
use crate::schema;
pub use crate::shape::Issue;

mod experiment;

/// The longest name, in characters.
const NAME_LIMIT: usize = 63;
/// The largest spec as JSON, in bytes; the platform holds a megabyte a value and
/// the rest is left for what goes with it.
const SIZE_LIMIT: usize = 1_000_000;
/// The range of a service's deadline, in milliseconds.
const DEADLINE_MS: RangeInclusive<u32> = 1..=600_000;
/// The range of a server's slots.
const SLOTS: RangeInclusive<u32> = 1..=1_024;
/// The range of a server's connections over all nodes.
const CONNECTIONS: RangeInclusive<u32> = 1..=65_535;
/// The range of the quantile after which a hedge is sent, in percent.
const HEDGE_QUANTILE: RangeInclusive<f64> = 50.0..=100.0;
/// The range of the hedge budget, in percent of first sends.
const HEDGE_BUDGET: RangeInclusive<f64> = 0.0..=5.0;
/// The range of the retry budget, in percent of first sends.
const RETRY_BUDGET: RangeInclusive<f64> = 0.0..=10.0;
/// The range of attempts of one shard.
const ATTEMPTS: RangeInclusive<u32> = 1..=10;
/// The range of requests that run at once on a node.
const RUNNING: RangeInclusive<u32> = 1..=1_000_000;
/// The range of requests that wait on a node.
const WAITING: RangeInclusive<u32> = 0..=1_000_000;
/// The range of the slice of the deadline, in percent.
const SLICE: RangeInclusive<u32> = 1..=100;

/// The faults of `object` as the next state of its key in `catalog`.
pub fn object(catalog: &Catalog, object: &Object) -> Vec<Issue> {
    let mut check = Check { catalog, object, findings: Vec::new() };
    match &object.spec {
        None => check.deletion(),
        Some(spec) => check.spec(spec),
    }
    check.findings
}

/// One check in progress.
struct Check<'a> {
    catalog: &'a Catalog,
    object: &'a Object,
    findings: Vec<Issue>,
}

impl Check<'_> {
    fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.findings.push(Issue::new(path, message));
    }

    fn within<T>(&mut self, path: &str, value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + std::fmt::Display,
    {
        if !range.contains(&value) {
            let (least, most) = range.into_inner();
            self.add(path, format!("{value} is not between {least} and {most}"));
        }
    }

    fn spec(&mut self, spec: &Spec) {
        self.name("", &self.object.key.name.clone());
        if spec.kind() != self.object.key.kind {
            self.add("", format!("a {} can't hold a {}", self.object.key.kind, spec.kind()));
            return;
        }
        let size = schema::to_json(spec).to_string().len();
        if size > SIZE_LIMIT {
            self.add("", format!("{size} bytes are more than {SIZE_LIMIT}"));
        }
        match spec {
            Spec::Service(service) => self.service(service),
            Spec::Map(map) => self.map(map),
            Spec::Policy(policy) => self.policy(policy),
            Spec::Experiment(experiment) => self.experiment(experiment),
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let long = name.chars().count() > NAME_LIMIT;
        let edge = name.starts_with('-') || name.ends_with('-');
        if name.is_empty() || long || edge || !name.chars().all(allowed) {
            let rule = "a name has 1 to 63 small letters, digits and inner dashes";
            self.add(path, format!("`{name}`: {rule}"));
        }
    }

    fn reference(&mut self, path: &str, kind: Kind, name: &str) {
        let found = match kind {
            Kind::Service => self.catalog.service(name).is_some(),
            Kind::Map => self.catalog.map(name).is_some(),
            Kind::Policy => self.catalog.policy(name).is_some(),
            Kind::Experiment => self.catalog.experiment(name).is_some(),
        };
        if !found {
            self.add(path, format!("there is no {kind} `{name}`"));
        }
    }

    fn service(&mut self, service: &Service) {
        self.within("deadline_ms", service.deadline_ms, DEADLINE_MS);
        self.within("slots", service.slots, SLOTS);
        self.within("connections", service.connections, CONNECTIONS);
        self.reference("policy", Kind::Policy, &service.policy);
        self.own_map("map", &service.map);
        let mut seen = BTreeSet::from([&service.map]);
        for (index, map) in service.older_maps.iter().enumerate() {
            let path = format!("older_maps[{index}]");
            self.own_map(&path, map);
            if !seen.insert(map) {
                self.add(path, format!("map `{map}` is named twice"));
            }
        }
    }

    fn own_map(&mut self, path: &str, name: &str) {
        self.reference(path, Kind::Map, name);
        let owner = self.catalog.map(name).map(|map| map.service.clone());
        if let Some(owner) = owner.filter(|owner| *owner != self.object.key.name) {
            self.add(path, format!("map `{name}` belongs to service `{owner}`"));
        }
    }

    fn map(&mut self, map: &Map) {
        self.name("service", &map.service);
        if map.groups.is_empty() {
            self.add("groups", "a map needs at least one group");
        }
        let mut names = BTreeMap::new();
        for (index, group) in map.groups.iter().enumerate() {
            let path = format!("groups[{index}]");
            if group.servers.is_empty() {
                self.add(format!("{path}.servers"), "a group needs at least one server");
            }
            self.servers(&path, &group.servers, &mut names);
        }
        for user in self.services_with_map() {
            if user != map.service {
                self.add("service", format!("service `{user}` uses this map"));
            }
        }
    }

    fn servers(&mut self, group: &str, servers: &[Server], names: &mut BTreeMap<Arc<str>, String>) {
        let mut addresses = BTreeMap::new();
        for (index, server) in servers.iter().enumerate() {
            let path = format!("{group}.servers[{index}]");
            self.name(&format!("{path}.name"), &server.name);
            self.name(&format!("{path}.data_centre"), &server.data_centre);
            if server.address.port() == 0 {
                self.add(format!("{path}.address"), "port 0 can't be connected to");
            }
            if let Some(first) = names.insert(server.name.clone(), path.clone()) {
                let message = format!("server `{}` is also {first}", server.name);
                self.add(format!("{path}.name"), message);
            }
            if let Some(first) = addresses.insert(server.address, path.clone()) {
                let message = format!("address {} is also that of {first}", server.address);
                self.add(format!("{path}.address"), message);
            }
        }
    }

    fn services_with_map(&self) -> Vec<Arc<str>> {
        let name = &self.object.key.name;
        let services = self.catalog.of_kind(Kind::Service);
        let users = services.filter(|(_, spec)| match spec {
            Spec::Service(service) => service.map == *name || service.older_maps.contains(name),
            _ => false,
        });
        users.map(|(user, _)| user.clone()).collect()
    }

    fn policy(&mut self, policy: &Policy) {
        self.within("hedge.quantile_percent", policy.hedge.quantile_percent, HEDGE_QUANTILE);
        self.within("hedge.budget_percent", policy.hedge.budget_percent, HEDGE_BUDGET);
        self.within("retry.attempts", policy.retry.attempts, ATTEMPTS);
        self.within("retry.budget_percent", policy.retry.budget_percent, RETRY_BUDGET);
        self.within("admit.most_running", policy.admit.most_running, RUNNING);
        self.within("admit.most_waiting", policy.admit.most_waiting, WAITING);
        self.within("slice_percent", policy.slice_percent, SLICE);
    }

    fn deletion(&mut self) {
        let key = self.object.key.clone();
        let users: Vec<_> = match key.kind {
            Kind::Map => self.services_with_map().iter().map(|n| format!("service/{n}")).collect(),
            Kind::Policy | Kind::Service => self.users(key.kind, &key.name),
            Kind::Experiment => Vec::new(),
        };
        for user in users {
            self.add("", format!("{user} uses it"));
        }
    }

    fn users(&self, kind: Kind, name: &Arc<str>) -> Vec<String> {
        let uses = |spec: &Spec| match (kind, spec) {
            (Kind::Policy, Spec::Service(service)) => service.policy == *name,
            (Kind::Policy, Spec::Experiment(trial)) => {
                trial.arms.iter().any(|arm| arm.policy == *name)
            }
            (Kind::Service, Spec::Experiment(trial)) => trial.service == *name,
            _ => false,
        };
        let live = self.catalog.iter().filter(|object| object.spec.as_ref().is_some_and(uses));
        live.map(|object| object.key.to_string()).collect()
    }
}
