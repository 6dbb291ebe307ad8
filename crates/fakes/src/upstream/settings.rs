//! What a fleet of stand-in servers is made of.
//!
//! Invariant: the same settings give the same servers with the same names,
//! holdings and service times.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// A whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Where all servers listen.
    pub ip: IpAddr,
    /// The control port; zero takes any.
    pub control_port: u16,
    /// The first server's port, the others follow; zero takes any.
    pub base_port: u16,
    /// Of all service times and incarnations.
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

/// The servers of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Its shard map's name.
    pub map: Arc<str>,
    /// The index version that all servers hold at first.
    pub version: u64,
    /// Groups of servers, one a shard.
    pub groups: u32,
    /// The first group's shard number, where other processes host the others.
    pub first_shard: u32,
    /// Servers of a group.
    pub replicas: u32,
    /// The data centres that the replicas of a group take in turn.
    pub data_centres: Vec<Arc<str>>,
    /// Requests that a server runs at once.
    pub slots: usize,
    /// Requests that may wait at a server; more are refused.
    pub queue: usize,
    /// Connections that a server accepts; more are closed at once.
    pub connections: usize,
    /// What a new connection costs before its first request, in milliseconds.
    pub connect_ms: u64,
    /// The median service time, in microseconds.
    pub median_us: u64,
    /// The spread of the service time: sigma of its logarithm.
    pub sigma: f64,
    /// The share of requests that are stragglers, 0 to 1.
    pub straggler_share: f64,
    /// By how much a straggler takes longer.
    pub straggler_factor: f64,
    /// How long a server is cold after a restart, in milliseconds.
    pub cold_ms: u64,
    /// By how much a cold server takes longer.
    pub cold_factor: f64,
    /// Whether the servers are cold at first, too.
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
