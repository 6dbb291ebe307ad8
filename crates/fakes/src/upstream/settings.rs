//! Settings of a fleet of stand-in upstream servers.
//!
//! Invariant: the same settings give servers with the same names, shards and
//! service times.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Settings of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The IP address that all servers listen on.
    pub ip: IpAddr,
    /// The control port; zero picks a free port.
    pub control_port: u16,
    /// The first server's port; the others use the ports after it. Zero picks free
    /// ports.
    pub base_port: u16,
    /// The seed of all service times and incarnations.
    pub seed: u64,
    /// The services.
    pub services: Vec<Service>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            control_port: 0,
            base_port: 0,
            seed: 1,
            services: Vec::new(),
        }
    }
}

/// Settings of the servers of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The name of its shard map.
    pub map: Arc<str>,
    /// The index version that all servers hold at the start.
    pub version: u64,
    /// The number of groups of servers, one per shard.
    pub groups: u32,
    /// The first group's shard number; above zero if another process hosts the
    /// shards before it.
    pub first_shard: u32,
    /// Servers per group.
    pub replicas: u32,
    /// The data centres that the replicas of a group are assigned to in turn.
    pub data_centres: Vec<Arc<str>>,
    /// Requests that a server runs at once.
    pub slots: usize,
    /// Requests that a server queues; more are refused.
    pub queue: usize,
    /// Connections that a server accepts; more are closed at once.
    pub connections: usize,
    /// The delay of a new connection before its first request, in milliseconds.
    pub connect_ms: u64,
    /// The median service time, in microseconds.
    pub median_us: u64,
    /// The standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// The share of requests that are stragglers, 0 to 1.
    pub straggler_share: f64,
    /// The factor by which the service time of a straggler is longer.
    pub straggler_factor: f64,
    /// How long a server is cold after a restart, in milliseconds.
    pub cold_ms: u64,
    /// The factor by which the service times of a cold server are longer.
    pub cold_factor: f64,
    /// Whether the servers are cold at the start, too.
    pub starts_cold: bool,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: Arc::from("search"),
            map: Arc::from("search-1"),
            version: 1,
            groups: 3,
            first_shard: 0,
            replicas: 3,
            data_centres: vec![Arc::from("a"), Arc::from("b"), Arc::from("c")],
            slots: 2,
            queue: 8,
            connections: 25,
            connect_ms: 0,
            median_us: 2000,
            sigma: 0.3,
            straggler_share: 0.0,
            straggler_factor: 10.0,
            cold_ms: 2000,
            cold_factor: 4.0,
            starts_cold: false,
        }
    }
}
