//! Measures the time for each pick and observation and the memory for each server,
//! for tables of several sizes.
//!
//! Run with `cargo run --release -p route --example cost`. The times depend on the
//! machine; compare how they grow with the size.

use std::fs;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::catalog::Catalog;
use conf::object;
use conf::object::Choice;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use route::observation::Observation;
use route::settings::Settings;
use route::table::Table;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream::Health;
use wire::upstream::Report;
use wire::upstream::ShardCopy;
use wire::upstream::State;

/// The number of servers in a group.
const REPLICAS: u32 = 3;
/// The number of rounds that are timed.
const ROUNDS: u32 = 200_000;
/// The page size, the unit in which the kernel reports resident memory.
const PAGE_BYTES: u64 = 4096;

fn snapshot() -> Snapshot {
    Snapshot { version: 1, map: Arc::from("m") }
}

/// The resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn table(groups: u32) -> Table {
    let server = |index: u32| object::Server {
        name: Arc::from(format!("desk-{index}")),
        address: ([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 80).into(),
        data_centre: Arc::from("luzon"),
    };
    let group = |group: u32| object::Group {
        servers: (0..REPLICAS).map(|replica| server(group * REPLICAS + replica)).collect(),
    };
    let map = object::Map { service: Arc::from("desk"), groups: (0..groups).map(group).collect() };
    let service = object::Service {
        preference: object::Preference::Tail,
        deadline_ms: 500,
        policy: Arc::from("p"),
        map: Arc::from("m"),
        older_maps: Vec::new(),
        slots: 2,
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
    let mut table = Table::new(Settings::default());
    table.update(&Catalog::new().with_objects(&objects).0);
    for index in 0..groups * REPLICAS {
        let health = Health {
            server: Arc::from(format!("desk-{index}")),
            incarnation: Incarnation(1),
            state: State::Ready,
            load: 0,
            shard_copies: vec![ShardCopy { snapshot: snapshot(), shard: index / REPLICAS }],
        };
        table.update_health(Time::ZERO, Server::from_u32(index), &health);
    }
    table
}

/// The time for each round, in nanoseconds.
fn nanos_per_round(rounds: u32, since: Instant) -> f64 {
    since.elapsed().as_nanos() as f64 / f64::from(rounds)
}

fn measure(groups: u32) {
    let before = resident_bytes();
    let mut table = table(groups);
    let (requested, report) = (snapshot(), Report { load: Some(1), ..Report::default() });
    let shard = |round: u32| Shard::from_u32(round % groups);
    let now = |round: u32| Time::from_micros(u64::from(round) * 10);
    let began = Instant::now();
    for round in 0..ROUNDS {
        let picked = table.pick(now(round), Choice::LeastOfTwo, &requested, shard(round), &[]);
        let Some(server) = picked else { continue };
        table.observe(now(round), server, Observation::Sent);
        let reply = Observation::Replied {
            latency: Duration::from_millis(5),
            report,
            snapshot: requested.clone(),
            shard: shard(round),
        };
        table.observe(now(round), server, reply);
    }
    let pick = nanos_per_round(ROUNDS, began);
    let began = Instant::now();
    let rounds = (2_000_000 / (groups * REPLICAS)).max(1);
    for _ in 0..rounds {
        assert_eq!(table.snapshots("desk").len(), 1);
    }
    let snapshots = nanos_per_round(rounds, began) / 1000.0;
    let began = Instant::now();
    for round in 0..ROUNDS {
        assert!(table.may_send(Server::from_u32(round % (groups * REPLICAS))));
    }
    let may_send = nanos_per_round(ROUNDS, began);
    let bytes = resident_bytes().saturating_sub(before) / u64::from(groups * REPLICAS);
    println!(
        "{:>7} servers: pick and two observations {pick:>6.0} ns, may_send {may_send:>4.0} ns, \
         snapshots {snapshots:>8.1} us, {bytes} bytes a server",
        groups * REPLICAS,
    );
}

fn main() {
    for groups in [10, 100, 1000, 10_000, 31_333] {
        measure(groups);
    }
}
