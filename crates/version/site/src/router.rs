//! A configuration made ready for requests: routes by host and longest prefix,
//! services as dense references.
//!
//! Invariant: a request uses one snapshot from its start to its end.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::config::Limits;
use crate::config::Target;
use base::entity::Service;

/// A route with its services resolved.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Who answers.
    pub plan: Plan,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub objective: Duration,
    /// Its rank; zero is the most urgent.
    pub priority: u32,
    /// The most servers that may run one request, for each service.
    pub attempts: u32,
}

/// Who answers a request.
#[derive(Clone, Debug)]
pub enum Plan {
    /// One server of one of these services; each with the upper end of its part
    /// of the interval from 0 to 1.
    One(Vec<(f64, Service)>),
    /// One server of each shard.
    All {
        /// The shards.
        parts: Arc<[Service]>,
        /// How many of the greatest records are answered.
        top: usize,
        /// The fewest shards that an answer must cover.
        least: usize,
    },
}

/// A version in force.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The version.
    pub version: u64,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl Snapshot {
    /// Makes `config` ready; `resolve` gives each service its reference.
    pub fn new(config: &Config, mut resolve: impl FnMut(&Arc<str>) -> Service) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let made = Arc::new(Route {
                name: Arc::clone(&route.name),
                plan: plan(&route.target, &mut resolve),
                idempotent: route.idempotent,
                timeout: route.timeout,
                objective: route.objective,
                priority: route.priority,
                attempts: route.attempts.max(1),
            });
            let host = hosts.entry(Arc::clone(&route.host)).or_default();
            host.insert(Arc::clone(&route.prefix), made);
        }
        Self { version: config.version, limits: config.limits, hosts }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }
}

/// Turns weights into ends of intervals.
fn plan(target: &Target, resolve: &mut impl FnMut(&Arc<str>) -> Service) -> Plan {
    match target {
        Target::One(shares) => {
            let sum: f64 = shares.iter().map(|share| share.weight.max(0.0)).sum();
            let mut end = 0.0;
            let ends = shares.iter().map(|share| {
                end += if sum > 0.0 { share.weight.max(0.0) / sum } else { 1.0 };
                (end, resolve(&share.service))
            });
            Plan::One(ends.collect())
        }
        Target::All(shards) => {
            let parts: Arc<[Service]> = shards.services.iter().map(resolve).collect();
            // A product such as 0.75 * 4 may lie just above the whole number.
            let least = (shards.least * parts.len() as f64 - 1e-9).ceil().max(1.0) as usize;
            Plan::All { least: least.min(parts.len().max(1)), parts, top: shards.top }
        }
    }
}

impl Plan {
    /// The services that a request is sent to, `draw` being a number from 0 to 1.
    pub fn services(&self, draw: f64) -> Arc<[Service]> {
        match self {
            Self::All { parts, .. } => Arc::clone(parts),
            Self::One(shares) => {
                let found = shares.iter().find(|(end, _)| draw < *end).or(shares.last());
                found.map(|(_, service)| *service).into_iter().collect()
            }
        }
    }
}
