//! The semantic check of an object before it is accepted.
//!
//! Invariant: all issues are collected. An object without issues can be used by every
//! node that has the same catalog, and does not break a reference from another object
//! of that catalog.
//!
//! A service and its map refer to each other, so one of them must be written first: a
//! map may name a service that does not exist yet. The check of the service requires
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
const MAX_NAME_CHARS: usize = 63;
/// The largest spec as JSON, in bytes. The platform stores up to a megabyte per value;
/// the remainder is reserved for the metadata stored with the spec.
const MAX_SPEC_BYTES: usize = 1_000_000;
/// The range of a service's deadline, in milliseconds.
const DEADLINE_MS: RangeInclusive<u32> = 1..=600_000;
/// The range of a server's slots.
const SLOTS: RangeInclusive<u32> = 1..=1_024;
/// The range of a server's connections over all nodes.
const CONNECTIONS: RangeInclusive<u32> = 1..=65_535;
/// The range of the latency quantile after which a hedge is sent, in percent.
const HEDGE_QUANTILE_PERCENT: RangeInclusive<f64> = 50.0..=100.0;
/// The range of the hedge budget, in percent of first sends.
const HEDGE_BUDGET_PERCENT: RangeInclusive<f64> = 0.0..=5.0;
/// The range of the retry budget, in percent of first sends.
const RETRY_BUDGET_PERCENT: RangeInclusive<f64> = 0.0..=10.0;
/// The range of the maximum number of attempts for one shard.
const ATTEMPTS: RangeInclusive<u32> = 1..=10;
/// The range of the maximum number of requests that run concurrently on a node.
const MOST_RUNNING: RangeInclusive<u32> = 1..=1_000_000;
/// The range of the maximum number of requests that wait on a node.
const MOST_WAITING: RangeInclusive<u32> = 0..=1_000_000;
/// The range of the part of the deadline after which a service that prefers low tail
/// latency answers, in percent.
const SLICE_PERCENT: RangeInclusive<u32> = 1..=100;

/// Checks `object` as the next state of its key in `catalog`.
pub fn object(catalog: &Catalog, object: &Object) -> Vec<Issue> {
    let mut check = Check { catalog, object, issues: Vec::new() };
    match &object.spec {
        None => check.check_deletion(),
        Some(spec) => check.check_spec(spec),
    }
    check.issues
}

/// A check in progress.
struct Check<'a> {
    catalog: &'a Catalog,
    object: &'a Object,
    issues: Vec<Issue>,
}

impl Check<'_> {
    fn add_issue(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.issues.push(Issue::new(path, message));
    }

    fn check_range<T>(&mut self, path: &str, value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + std::fmt::Display,
    {
        if !range.contains(&value) {
            let (min, max) = range.into_inner();
            self.add_issue(path, format!("{value} is not between {min} and {max}"));
        }
    }

    fn check_spec(&mut self, spec: &Spec) {
        self.check_name("", &self.object.key.name.clone());
        if spec.kind() != self.object.key.kind {
            self.add_issue(
                "",
                format!("a {} object can't hold a {} spec", self.object.key.kind, spec.kind()),
            );
            return;
        }
        let size = schema::to_json(spec).to_string().len();
        if size > MAX_SPEC_BYTES {
            self.add_issue("", format!("the spec has {size} bytes, more than {MAX_SPEC_BYTES}"));
        }
        match spec {
            Spec::Service(service) => self.check_service(service),
            Spec::Map(map) => self.check_map(map),
            Spec::Policy(policy) => self.check_policy(policy),
            Spec::Experiment(experiment) => self.check_experiment(experiment),
        }
    }

    fn check_name(&mut self, path: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let too_long = name.chars().count() > MAX_NAME_CHARS;
        let outer_dash = name.starts_with('-') || name.ends_with('-');
        if name.is_empty() || too_long || outer_dash || !name.chars().all(allowed) {
            let rule = "a name has 1 to 63 lowercase letters, digits and inner dashes";
            self.add_issue(path, format!("`{name}`: {rule}"));
        }
    }

    fn check_reference(&mut self, path: &str, kind: Kind, name: &str) {
        let exists = match kind {
            Kind::Service => self.catalog.service(name).is_some(),
            Kind::Map => self.catalog.map(name).is_some(),
            Kind::Policy => self.catalog.policy(name).is_some(),
            Kind::Experiment => self.catalog.experiment(name).is_some(),
        };
        if !exists {
            self.add_issue(path, format!("there is no {kind} `{name}`"));
        }
    }

    fn check_service(&mut self, service: &Service) {
        self.check_range("deadline_ms", service.deadline_ms, DEADLINE_MS);
        self.check_range("slots", service.slots, SLOTS);
        self.check_range("connections", service.connections, CONNECTIONS);
        self.check_reference("policy", Kind::Policy, &service.policy);
        self.check_own_map("map", &service.map);
        let mut seen = BTreeSet::from([&service.map]);
        for (index, map) in service.older_maps.iter().enumerate() {
            let path = format!("older_maps[{index}]");
            self.check_own_map(&path, map);
            if !seen.insert(map) {
                self.add_issue(path, format!("map `{map}` is named twice"));
            }
        }
    }

    fn check_own_map(&mut self, path: &str, name: &str) {
        self.check_reference(path, Kind::Map, name);
        let owner = self.catalog.map(name).map(|map| map.service.clone());
        if let Some(owner) = owner.filter(|owner| *owner != self.object.key.name) {
            self.add_issue(path, format!("map `{name}` belongs to service `{owner}`"));
        }
    }

    fn check_map(&mut self, map: &Map) {
        self.check_name("service", &map.service);
        if map.groups.is_empty() {
            self.add_issue("groups", "a map needs at least one group");
        }
        let mut names = BTreeMap::new();
        for (index, group) in map.groups.iter().enumerate() {
            let path = format!("groups[{index}]");
            if group.servers.is_empty() {
                self.add_issue(format!("{path}.servers"), "a group needs at least one server");
            }
            self.check_servers(&path, &group.servers, &mut names);
        }
        for user in self.services_using_map() {
            if user != map.service {
                self.add_issue("service", format!("service `{user}` uses this map"));
            }
        }
    }

    fn check_servers(
        &mut self,
        group: &str,
        servers: &[Server],
        names: &mut BTreeMap<Arc<str>, String>,
    ) {
        let mut addresses = BTreeMap::new();
        for (index, server) in servers.iter().enumerate() {
            let path = format!("{group}.servers[{index}]");
            self.check_name(&format!("{path}.name"), &server.name);
            self.check_name(&format!("{path}.data_centre"), &server.data_centre);
            if server.address.port() == 0 {
                self.add_issue(format!("{path}.address"), "port 0 can't be connected to");
            }
            if let Some(first) = names.insert(server.name.clone(), path.clone()) {
                let message = format!("server `{}` is also {first}", server.name);
                self.add_issue(format!("{path}.name"), message);
            }
            if let Some(first) = addresses.insert(server.address, path.clone()) {
                let message = format!("address {} is also that of {first}", server.address);
                self.add_issue(format!("{path}.address"), message);
            }
        }
    }

    fn services_using_map(&self) -> Vec<Arc<str>> {
        let name = &self.object.key.name;
        let services = self.catalog.of_kind(Kind::Service);
        let users = services.filter(|(_, spec)| match spec {
            Spec::Service(service) => service.map == *name || service.older_maps.contains(name),
            _ => false,
        });
        users.map(|(user, _)| user.clone()).collect()
    }

    fn check_policy(&mut self, policy: &Policy) {
        self.check_range(
            "hedge.quantile_percent",
            policy.hedge.quantile_percent,
            HEDGE_QUANTILE_PERCENT,
        );
        self.check_range("hedge.budget_percent", policy.hedge.budget_percent, HEDGE_BUDGET_PERCENT);
        self.check_range("retry.attempts", policy.retry.attempts, ATTEMPTS);
        self.check_range("retry.budget_percent", policy.retry.budget_percent, RETRY_BUDGET_PERCENT);
        self.check_range("admit.most_running", policy.admit.most_running, MOST_RUNNING);
        self.check_range("admit.most_waiting", policy.admit.most_waiting, MOST_WAITING);
        self.check_range("slice_percent", policy.slice_percent, SLICE_PERCENT);
    }

    fn check_deletion(&mut self) {
        let key = self.object.key.clone();
        let users: Vec<_> = match key.kind {
            Kind::Map => self.services_using_map().iter().map(|n| format!("service/{n}")).collect(),
            Kind::Policy | Kind::Service => self.referrers(key.kind, &key.name),
            Kind::Experiment => Vec::new(),
        };
        for user in users {
            self.add_issue("", format!("{user} uses it"));
        }
    }

    fn referrers(&self, kind: Kind, name: &Arc<str>) -> Vec<String> {
        let uses = |spec: &Spec| match (kind, spec) {
            (Kind::Policy, Spec::Service(service)) => service.policy == *name,
            (Kind::Policy, Spec::Experiment(experiment)) => {
                experiment.arms.iter().any(|arm| arm.policy == *name)
            }
            (Kind::Service, Spec::Experiment(experiment)) => experiment.service == *name,
            _ => false,
        };
        let referring = self.catalog.iter().filter(|object| object.spec.as_ref().is_some_and(uses));
        referring.map(|object| object.key.to_string()).collect()
    }
}
