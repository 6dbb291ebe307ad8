//! The operators' configuration: routes, services and the limits for callers.
//!
//! Invariant: a configuration never changes; a newer version replaces it.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; versions only grow.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: Limits,
}

/// Which requests go to which services, and on what terms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The beginning of the paths that it takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Who answers.
    pub target: Target,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub objective: Duration,
    /// Its rank; zero is the most urgent.
    pub priority: u32,
    /// The most servers that one request may be sent to, for each service.
    pub attempts: u32,
}

/// Who answers the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One server of one of these services, chosen by weight.
    One(Vec<Share>),
    /// One server of each of these services, the shards.
    All(Shards),
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among all shares of the route.
    pub weight: f64,
}

/// The shards of a query, and what its answer must hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// The services.
    pub services: Vec<Arc<str>>,
    /// How many of the greatest records are answered.
    pub top: usize,
    /// The least part of the shards that an answer must cover, from 0 to 1.
    pub least: f64,
}

/// What the operators say of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that each of its servers accepts, from all nodes together.
    pub connections: u32,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest header, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time that a header may take.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
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
