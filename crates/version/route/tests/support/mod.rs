//! A table of one service with groups of three servers, where each server has a copy
//! of its group's shard.

#![allow(dead_code)]

use std::sync::Arc;

use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::catalog::Catalog;
use conf::object::Group;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Map;
use conf::object::Object;
use conf::object::Preference;
use conf::object::Service;
use conf::object::Spec;
use route::settings::Settings;
use route::table::Table;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream::Health;
use wire::upstream::Report;
use wire::upstream::ShardCopy;
use wire::upstream::State;

pub const REGIONS: [&str; 3] = ["luzon", "visayas", "mindanao"];

pub fn object(kind: Kind, name: &str, revision: u64, spec: Spec) -> Object {
    Object { key: Key { kind, name: Arc::from(name) }, revision, spec: Some(spec) }
}

pub fn service(map: &str, older: &[&str]) -> Spec {
    Spec::Service(Service {
        preference: Preference::Tail,
        deadline_ms: 500,
        policy: Arc::from("p"),
        map: Arc::from(map),
        older_maps: older.iter().map(|name| Arc::from(*name)).collect(),
        slots: 2,
        connections: 25,
    })
}

/// A map whose server `i` of group `g` is named `{prefix}{g}-{i}`.
pub fn map(prefix: &str, groups: u16, replicas: u16) -> Spec {
    let server = |group: u16, index: u16| conf::object::Server {
        name: Arc::from(format!("{prefix}{group}-{index}")),
        address: ([127, 0, 0, 1], 1000 + group * 100 + index).into(),
        data_centre: Arc::from(REGIONS[usize::from(index) % 3]),
    };
    let group =
        |group| Group { servers: (0..replicas).map(|index| server(group, index)).collect() };
    Spec::Map(Map { service: Arc::from("desk"), groups: (0..groups).map(group).collect() })
}

pub fn catalog(objects: &[Object]) -> Catalog {
    Catalog::new().with_objects(objects).0
}

pub fn snapshot(version: u64) -> Snapshot {
    Snapshot { version, map: Arc::from("m") }
}

pub fn shard(index: u32) -> Shard {
    Shard::from_u32(index)
}

pub fn health(name: &str, incarnation: u64, state: State, copies: &[(u64, u32)]) -> Health {
    let copy =
        |(version, shard): &(u64, u32)| ShardCopy { snapshot: snapshot(*version), shard: *shard };
    Health {
        server: Arc::from(name),
        incarnation: Incarnation(incarnation),
        state,
        load: 0,
        shard_copies: copies.iter().map(copy).collect(),
    }
}

pub fn report(incarnation: u64, state: State, load: u32) -> Report {
    Report { incarnation: Some(Incarnation(incarnation)), state: Some(state), load: Some(load) }
}

/// A table of `groups` groups of three servers; each server is incarnation 100 and
/// has version 1.
pub fn table(groups: u16, settings: Settings) -> Table {
    let mut table = Table::new(settings);
    table.update(&catalog(&[
        object(Kind::Map, "m", 1, map("s", groups, 3)),
        object(Kind::Service, "desk", 2, service("m", &[])),
    ]));
    for group in 0..u32::from(groups) {
        for index in 0..3 {
            let name = format!("s{group}-{index}");
            let server = table.find(&name).unwrap();
            table.update_health(
                Time::ZERO,
                server,
                &health(&name, 100, State::Ready, &[(1, group)]),
            );
        }
    }
    table
}

/// Settings under which the policy alone decides.
pub fn plain() -> Settings {
    Settings { prefer_near: false, ..Settings::default() }
}

pub fn servers(table: &Table, group: u32) -> Vec<Server> {
    (0..3).map(|index| table.find(&format!("s{group}-{index}")).unwrap()).collect()
}
