//! One entry node: its table, admission controller, connections and budgets.
//!
//! Invariant: a node never uses more than its share of the connections to a server.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::model::CONNECTIONS;
use crate::model::Case;
use crate::model::GROUPS;
use crate::model::NODES;
use crate::model::REPLICAS;
use crate::model::SLOTS;
use crate::model::Sites;
use admit::controller::Controller;
use admit::settings::Settings as AdmitSettings;
use base::entity::Server;
use base::time::Time;
use conf::catalog::Catalog;
use conf::object;
use conf::object::Admission;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use route::locality::Locality;
use route::settings::Settings;
use route::table::Table;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream::Health;
use wire::upstream::ShardCopy;
use wire::upstream::State;

/// The number of retries that a full budget allows at once.
const RETRY_BURST: u32 = 10;

/// A token bucket that limits extra sends to a ratio of the first sends.
pub struct Budget {
    ratio: f64,
    max_tokens: f64,
    tokens: f64,
}

impl Budget {
    fn new(percent: f64, burst: u32) -> Self {
        Self { ratio: percent / 100.0, max_tokens: f64::from(burst), tokens: f64::from(burst) }
    }

    pub fn first_send(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max_tokens);
    }

    pub fn take_extra(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        self.tokens -= if allowed { 1.0 } else { 0.0 };
        allowed
    }
}

/// The connections of a node to one server.
pub struct Connections {
    pub free: u32,
    /// Attempts that wait for a connection.
    pub queued: VecDeque<usize>,
}

pub struct Node {
    pub table: Table,
    pub gate: Controller,
    pub hedges: Budget,
    pub retries: Budget,
    pub connections: Vec<Connections>,
    /// The time of the controller's next timer event.
    pub timer: Time,
}

pub fn snapshot() -> Snapshot {
    Snapshot { version: 1, map: Arc::from("m") }
}

pub fn incarnation(server: usize) -> Incarnation {
    Incarnation(1000 + server as u64)
}

fn name(server: u32) -> Arc<str> {
    Arc::from(format!("desk-{server}"))
}

fn catalog(case: &Case) -> Catalog {
    let server = |index: u32| object::Server {
        name: name(index),
        address: ([127, 0, 0, 1], 1000 + index as u16).into(),
        data_centre: Arc::from(case.sites.site((index % REPLICAS) as usize)),
    };
    let group = |group: u32| object::Group {
        servers: (0..REPLICAS).map(|replica| server(group * REPLICAS + replica)).collect(),
    };
    let map = object::Map { service: Arc::from("desk"), groups: (0..GROUPS).map(group).collect() };
    let service = object::Service {
        preference: object::Preference::Tail,
        deadline_ms: 500,
        policy: Arc::from("p"),
        map: Arc::from("m"),
        older_maps: Vec::new(),
        slots: SLOTS,
        connections: 25,
    };
    let object = |kind, name: &str, spec| Object {
        key: Key { kind, name: Arc::from(name) },
        revision: 1,
        spec: Some(spec),
    };
    let objects = [
        object(Kind::Map, "m", Spec::Map(map)),
        object(Kind::Service, "desk", Spec::Service(service)),
    ];
    Catalog::new().with_objects(&objects).0
}

impl Node {
    pub fn new(case: &Case, index: usize, seed: u64) -> Self {
        let seed = seed * 1000 + index as u64;
        let names: Vec<Arc<str>> =
            (0..NODES).map(|node| Arc::from(format!("node-{node}"))).collect();
        let data_centre = Arc::from(case.sites.site(index));
        let settings = Settings {
            node: Arc::clone(&names[index]),
            locality: Locality { data_centre, ..Locality::default() },
            seed,
            prefer_near: case.sites == Sites::Three { prefer_near: true },
            ..Settings::default()
        };
        let mut table = Table::new(settings);
        table.update(&catalog(case));
        table.set_nodes(&names);
        for server in 0..GROUPS * REPLICAS {
            let copy = ShardCopy { snapshot: snapshot(), shard: server / REPLICAS };
            let health = Health {
                server: name(server),
                incarnation: incarnation(server as usize),
                state: State::Ready,
                load: 0,
                shard_copies: vec![copy],
            };
            table.update_health(Time::ZERO, Server::from_u32(server), &health);
        }
        let admit = match case.admission {
            true => Admission::default(),
            false => Admission {
                most_running: u32::MAX,
                most_waiting: u32::MAX,
                learn: false,
                deadline_aware: false,
            },
        };
        let mut admission = AdmitSettings::new(admit, GROUPS).with_seed(seed);
        admission.share = table.capacity_share("desk");
        let connections = || Connections { free: CONNECTIONS, queued: VecDeque::new() };
        Self {
            table,
            gate: Controller::new(admission),
            hedges: Budget::new(5.0, case.hedge.burst),
            retries: Budget::new(10.0, RETRY_BURST),
            connections: (0..GROUPS * REPLICAS).map(|_| connections()).collect(),
            timer: Time::NEVER,
        }
    }
}
