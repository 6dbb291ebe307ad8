//! What an entry node is told at its start.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use replica::budget;

/// The settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name, unique in the deployment.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The region of each data centre.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Its address.
    pub ip: IpAddr,
    /// Where callers' requests are served.
    pub caller_address: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness_probe_address: SocketAddr,
    /// Where callers ask which addresses to use.
    pub lookup_address: Option<SocketAddr>,
    /// Where the metrics are read.
    pub metrics_address: Option<SocketAddr>,
    /// The port for traffic between nodes, the same on all of them.
    pub peer_port: u16,
    /// Addresses of nodes to ask first; ports are those of another service.
    pub seeds: Vec<IpAddr>,
    /// Where the registry is.
    pub registry_address: SocketAddr,
    /// The budget of extra requests.
    pub retry_budget: budget::Settings,
    /// The longest time that callers keep the answer of a lookup.
    pub lookup_ttl: Duration,
    /// The time from a request to stop until the process is killed.
    pub shutdown_grace: Duration,
}
