//! A configuration compiled for request routing: routes by host and longest
//! path prefix, services as dense indices.
//!
//! Invariant: a request uses the same router from start to end.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Config;
use crate::config::Limits;
use crate::config::Target;
use base::entity::Service;
use base::region;
use customer::book::Book;
use customer::book::Customer;

/// A route with its services resolved.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The services that answer its requests.
    pub fanout: Fanout,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency objective: an answer within it has its full value.
    pub objective: Duration,
    /// Its priority; zero is the most urgent.
    pub priority: u32,
    /// The highest priority, that is the lowest number, of the routes to its services and of all
    /// customers.
    pub highest_priority: u32,
    /// The maximum number of servers of one service that may run a request; attempts
    /// that were certainly not run don't count.
    pub max_attempts: u32,
    /// The regions in which its requests may be served.
    pub homes: region::Set,
    /// Whether a request needs no key.
    pub public: bool,
}

impl Route {
    /// The priority of a request: that of its customer, if it has one.
    pub fn priority_of(&self, customer: Option<&Customer>) -> u32 {
        customer.and_then(|customer| customer.priority).unwrap_or(self.priority)
    }

    /// Whether no request to one of its services may have a higher priority than this one.
    pub fn is_most_urgent(&self, customer: Option<&Customer>) -> bool {
        self.priority_of(customer) <= self.highest_priority
    }
}

/// The services that answer a request.
#[derive(Clone, Debug)]
pub enum Fanout {
    /// One server of one of these services; each service has an interval between
    /// 0 and 1, given by its upper end.
    One(Vec<(f64, Service)>),
    /// One server of each shard. Each shard is a service of its own.
    All {
        /// The shards.
        shards: Arc<[Service]>,
        /// The number of records that the answer holds: the greatest ones, compared byte
        /// by byte.
        top_k: usize,
        /// The minimum number of shards that an answer must cover.
        min_shards: usize,
    },
}

/// A configuration version, ready to route requests.
#[derive(Clone, Debug)]
pub struct Router {
    /// The version.
    pub version: u64,
    /// Limits on what a caller may send.
    pub limits: Limits,
    /// The customers, one of which each request must name; `None` if requests name none.
    pub customers: Option<Book>,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    /// See [`Self::common_homes`]; only hosts that have routes with homes.
    homes: HashMap<Arc<str>, region::Set>,
}

impl Router {
    /// Compiles `config`; `resolve` returns the index of each service, and `regions` has those of
    /// the deployment.
    pub fn new(
        config: &Config,
        regions: &region::Index,
        mut resolve: impl FnMut(&Arc<str>) -> Service,
    ) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        let mut homes: HashMap<Arc<str>, region::Set> = HashMap::new();
        let customers = config.customers.as_ref().map(|customers| Book::new(customers, regions));
        let of_customers = customers.as_ref().and_then(Book::highest_priority);
        let highest = highest_priorities(config);
        for route in &config.routes {
            let of_services = services_of(&route.target).filter_map(|name| highest.get(name));
            let highest_priority = of_services.copied().chain(of_customers).min();
            let resolved = Arc::new(Route {
                name: Arc::clone(&route.name),
                fanout: fanout(&route.target, &mut resolve),
                idempotent: route.idempotent,
                timeout: route.timeout,
                objective: route.objective,
                priority: route.priority,
                highest_priority: highest_priority.unwrap_or(route.priority),
                max_attempts: route.attempts.max(1),
                homes: regions.homes(&route.homes),
                public: route.public,
            });
            if !resolved.homes.is_any() {
                let common = homes.entry(Arc::clone(&route.host)).or_default();
                *common = common.intersect(resolved.homes);
            }
            let host = hosts.entry(Arc::clone(&route.host)).or_default();
            host.insert(Arc::clone(&route.prefix), resolved);
        }
        Self { version: config.version, limits: config.limits, customers, hosts, homes }
    }

    /// The greatest number of services that a request is sent to.
    pub fn max_fan_out(&self) -> usize {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.map(|route| route.fanout.width()).max().unwrap_or(1)
    }

    /// The regions that all routes of `host` with homes and all customers allow; all if it has no
    /// such route and there is no such customer.
    pub fn common_homes(&self, host: &str) -> region::Set {
        let of_customers = self.customers.as_ref().map(Book::common_homes).unwrap_or_default();
        self.homes.get(host).copied().unwrap_or_default().intersect(of_customers)
    }

    /// The route of `host` with the longest prefix of `path`. Prefixes match only up to a
    /// slash, so `/one/` does not match `/onerous/`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(index, _)| &path[..=index]).find_map(|prefix| routes.get(prefix))
    }
}

/// The services that a target names.
fn services_of(target: &Target) -> Box<dyn Iterator<Item = &Arc<str>> + '_> {
    match target {
        Target::One(shares) => Box::new(shares.iter().map(|share| &share.service)),
        Target::All(query) => Box::new(query.services.iter()),
    }
}

/// The highest priority, that is the lowest number, of the routes to each service.
fn highest_priorities(config: &Config) -> HashMap<&Arc<str>, u32> {
    let mut highest: HashMap<&Arc<str>, u32> = HashMap::new();
    for route in &config.routes {
        for service in services_of(&route.target) {
            let known = highest.entry(service).or_insert(route.priority);
            *known = route.priority.min(*known);
        }
    }
    highest
}

/// Resolves a target; weights become the upper ends of intervals between 0 and 1.
fn fanout(target: &Target, resolve: &mut impl FnMut(&Arc<str>) -> Service) -> Fanout {
    match target {
        Target::One(shares) => {
            let sum: f64 = shares.iter().map(|share| share.weight.max(0.0)).sum();
            let mut end = 0.0;
            let intervals = shares.iter().map(|share| {
                end += if sum > 0.0 { share.weight.max(0.0) / sum } else { 1.0 };
                (end, resolve(&share.service))
            });
            Fanout::One(intervals.collect())
        }
        Target::All(query) => {
            let shards: Arc<[Service]> = query.services.iter().map(resolve).collect();
            // Rounding can put a product such as 0.75 * 4 just above the whole number.
            let min_shards =
                (query.required_coverage * shards.len() as f64 - 1e-9).ceil().max(1.0) as usize;
            Fanout::All {
                min_shards: min_shards.min(shards.len().max(1)),
                shards,
                top_k: query.top_k,
            }
        }
    }
}

impl Fanout {
    /// The number of services that one request is sent to.
    pub fn width(&self) -> usize {
        match self {
            Self::One(_) => 1,
            Self::All { shards, .. } => shards.len(),
        }
    }

    /// The minimum number of services that an answer must cover.
    pub fn min_services(&self) -> usize {
        match self {
            Self::One(_) => 1,
            Self::All { min_shards, .. } => *min_shards,
        }
    }

    /// The services that a request is sent to; `fraction` is a random number from
    /// 0 to 1 that picks one by weight.
    pub fn services(&self, fraction: f64) -> Arc<[Service]> {
        match self {
            Self::All { shards, .. } => Arc::clone(shards),
            Self::One(intervals) => {
                let found = intervals.iter().find(|(end, _)| fraction < *end).or(intervals.last());
                found.map(|(_, service)| *service).into_iter().collect()
            }
        }
    }
}
