//! The messages between nodes as the build before field names defines them.
//!
//! A copy, so that a change of the present definitions can't change it.

// The fields are compared in their debug form only.
#![allow(dead_code)]

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

#[derive(Debug, Deserialize)]
pub struct Revision {
    pub era: u64,
    pub number: u64,
}

#[derive(Debug, Deserialize)]
pub struct Poll {
    pub ip: IpAddr,
    pub config: Option<Revision>,
    pub servers: Option<Revision>,
    pub version: Option<u64>,
    pub era: u64,
    pub is_new: bool,
    pub wait_ms: u64,
}

#[derive(Debug, PartialEq, Deserialize)]
pub enum Kind {
    Config,
    Servers,
    Nodes,
}

#[derive(Debug, Deserialize)]
pub struct Update {
    pub kind: Kind,
    pub is_list: bool,
    pub batch: Batch,
}

#[derive(Debug, Deserialize)]
pub struct Batch {
    pub events: Vec<Event>,
    pub revision: Revision,
}

#[derive(Debug, Deserialize)]
pub enum Event {
    Put(Item),
    Removed(Arc<str>),
    Unreadable { name: Arc<str>, reason: String },
}

#[derive(Debug, Deserialize)]
pub enum Item {
    Config(Box<Config>),
    Server(Entry),
    Node(Node),
}

#[derive(Debug, Deserialize)]
pub struct Node {
    pub name: Arc<str>,
    pub ip: IpAddr,
    pub caller_address: SocketAddr,
    pub data_centre: Arc<str>,
    pub capacity: u32,
}

#[derive(Debug, Deserialize)]
pub struct State {
    pub updates: Vec<Update>,
    pub ages_ms: [u64; 2],
    pub outage_age_ms: Option<u64>,
    pub era: u64,
    pub is_registered: Option<bool>,
    pub leaving: Vec<Incarnation>,
}

#[derive(Debug, Deserialize)]
pub struct Incarnation {
    pub id: Arc<str>,
    pub born: u64,
}

#[derive(Debug, Deserialize)]
pub struct Entry {
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    pub service: Arc<str>,
    pub address: SocketAddr,
    pub data_centre: Arc<str>,
    pub slots: u32,
    pub draining: bool,
    pub warmup: Duration,
}

#[derive(Debug, Deserialize)]
pub struct Config {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
}

#[derive(Debug, Deserialize)]
pub struct Route {
    pub name: Arc<str>,
    pub host: Arc<str>,
    pub prefix: Arc<str>,
    pub target: Target,
    pub idempotent: bool,
    pub timeout: Duration,
    pub objective: Duration,
    pub priority: u32,
    pub attempts: u32,
    #[serde(default)]
    pub homes: Vec<Arc<str>>,
    #[serde(default)]
    pub public: bool,
}

#[derive(Debug, Deserialize)]
pub enum Target {
    One(Vec<Share>),
    All(Shards),
}

#[derive(Debug, Deserialize)]
pub struct Share {
    pub service: Arc<str>,
    pub weight: f64,
}

#[derive(Debug, Deserialize)]
pub struct Shards {
    pub services: Vec<Arc<str>>,
    #[serde(rename = "top")]
    pub top_k: usize,
    #[serde(rename = "least")]
    pub required_coverage: f64,
}

#[derive(Debug, Deserialize)]
pub struct Service {
    pub name: Arc<str>,
    pub connections: u32,
    #[serde(default)]
    pub warmup: Duration,
    #[serde(default)]
    pub warmup_per_second: f64,
}

#[derive(Debug, Deserialize)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}
