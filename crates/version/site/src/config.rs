//! The operators' configuration: routes, services and limits on callers.
//!
//! Invariant: a configuration is immutable; a newer version replaces it.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use customer::config::Customers;

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version, which increases with every change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that the routes refer to.
    pub services: Vec<Service>,
    /// Limits on what a caller may send.
    pub limits: Limits,
    /// The customers, one of which each request must name; `None` if requests name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<Customers>,
}

/// Which requests go to which services, and how they are sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that a request must name.
    pub host: Arc<str>,
    /// The path prefix that a request must have; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The services that answer its requests.
    pub target: Target,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency objective: an answer within it has its full value.
    pub objective: Duration,
    /// Its priority; zero is the most urgent.
    pub priority: u32,
    /// The maximum number of servers of one service that may run a request; attempts
    /// that were certainly not run don't count.
    pub attempts: u32,
    /// The regions in which its requests may be served; empty if they may be in any.
    #[serde(default)]
    pub homes: Vec<Arc<str>>,
    /// Whether a request needs no key.
    #[serde(default)]
    pub public: bool,
}

/// The services that answer the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One server of one of these services, chosen by weight.
    One(Vec<Share>),
    /// One server of each of these services, the shards. Each shard is a service of its
    /// own.
    All(Shards),
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight relative to the other shares of the route.
    pub weight: f64,
}

/// The shards of a query, and what its answer must hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// The services.
    pub services: Vec<Arc<str>>,
    /// The number of records that the answer holds: the greatest ones, compared byte by
    /// byte.
    #[serde(rename = "top")]
    pub top_k: usize,
    /// The minimum fraction of the shards that an answer must cover, from 0 to 1.
    #[serde(rename = "least")]
    pub required_coverage: f64,
}

/// The operators' settings for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// How many connections each of its servers accepts from all nodes together.
    pub connections: u32,
    /// How long a server that has started is cold.
    #[serde(default)]
    pub warmup: Duration,
    /// The requests per second that a cold server bears; zero if there is no bound.
    #[serde(default)]
    pub warmup_per_second: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive the headers.
    pub header_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
