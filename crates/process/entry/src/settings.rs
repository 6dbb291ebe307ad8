//! The settings of an entry node.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::source::Timing;
use replica::budget;
use share::bound::Bound;
use site::fleet;

/// The settings of an entry node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name, unique in the deployment.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The region of each data centre.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Its IP address.
    pub ip: IpAddr,
    /// Its share of a processor core, in thousandths.
    pub capacity: u32,
    /// The memory that the process may use, in bytes, if there is a limit.
    pub memory: Option<u64>,
    /// The descriptors that the process may use, if there is a limit.
    pub descriptors: Option<u64>,
    /// The address that serves callers' requests.
    pub caller_address: SocketAddr,
    /// The address that answers readiness checks.
    pub readiness_probe_address: SocketAddr,
    /// The address that answers lookups, by which callers find nodes.
    pub lookup_address: Option<SocketAddr>,
    /// The address that serves the metrics.
    pub metrics_address: Option<SocketAddr>,
    /// The port for traffic between nodes, the same on all nodes.
    pub peer_port: u16,
    /// Whether the whole deployment starts for the first time, so that no node is registered
    /// yet.
    pub first_start: bool,
    /// IP addresses of the nodes to contact first, at `peer_port`; the ports that the
    /// settings file has for them belong to another service.
    pub seeds: Vec<IpAddr>,
    /// The address of the registry.
    pub registry_address: SocketAddr,
    /// The budget of retries and hedges.
    pub retry_budget: budget::Settings,
    /// The time within which a version of the configuration must be in force.
    pub apply_bound: Duration,
    /// The time within which a server that leaves must get no more requests.
    pub departure_bound: Duration,
    /// How long the calls for the registry's state wait.
    pub timing: Timing,
    /// The time within which the evacuation of a data centre must be in force; `None` if the
    /// deployment has no evacuations.
    pub evacuation_bound: Option<Duration>,
    /// What cold servers may get; `None` if the deployment has no bound.
    pub warmup: Option<Bound>,
    /// What customers may send beyond their allowances; `None` if the deployment has none.
    pub allowance: Option<Bound>,
    /// The delays after which missing servers are removed and returned ones are trusted.
    pub fleet: fleet::Settings,
    /// The maximum time that callers may cache the answer to a lookup.
    pub lookup_ttl: Duration,
    /// The time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
}
