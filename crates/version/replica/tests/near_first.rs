//! Servers near and far: bytes between regions are dear, so a far server is
//! asked only if the wait at the near one is long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use replica::record::Distance;
use replica::table::Place;
use replica::table::Table;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

const NOW: Time = Time::from_millis(1000);
const WORK: Duration = Duration::from_millis(11);
const SLOTS: u32 = 2;

fn entry(data_centre: &str) -> Entry {
    Entry {
        incarnation: Incarnation { id: Arc::from(data_centre), born: 1 },
        service: Arc::from("shard"),
        address: "10.0.0.1:1000".parse().expect("an address"),
        data_centre: Arc::from(data_centre),
        slots: SLOTS,
        draining: false,
        warmup: Duration::ZERO,
    }
}

/// A node in data centre `here` with one server in each data centre.
fn table() -> (Table, Service) {
    let regions = [("here", "land"), ("next", "land"), ("away", "island")];
    let regions: HashMap<Arc<str>, Arc<str>> =
        regions.into_iter().map(|(a, b)| (Arc::from(a), Arc::from(b))).collect();
    let mut table = Table::new(Place { data_centre: Arc::from("here"), regions }, 1);
    for data_centre in ["here", "next", "away"] {
        table.apply(Time::ZERO, &Change::Up(entry(data_centre)));
    }
    let service = table.service(&Arc::from("shard"));
    (table, service)
}

fn chosen(table: &mut Table, service: Service, tried: &[Server]) -> (Distance, Server) {
    let choice = table.choose(NOW, service, WORK, 0.0, tried).expect("a server");
    (table.record(choice.server).distance, choice.server)
}

#[test]
fn nearest_idle_server_is_asked() {
    let (mut table, service) = table();
    let (distance, here) = chosen(&mut table, service, &[]);
    assert_eq!(distance, Distance::DataCentre);
    let (distance, next) = chosen(&mut table, service, &[here]);
    assert_eq!(distance, Distance::Region);
    assert_eq!(chosen(&mut table, service, &[here, next]).0, Distance::Far);
}

/// Requests wait at the two near servers until some rounds of them are there; a
/// longer line goes away.
#[test]
fn short_wait_is_cheaper_than_the_way() {
    let (mut table, service) = table();
    let mut seen = Vec::new();
    for _ in 0..60 {
        let (distance, server) = chosen(&mut table, service, &[]);
        table.sent(NOW, server);
        seen.push(distance);
    }
    let first_far = seen.iter().position(|distance| *distance == Distance::Far);
    let first_far = first_far.expect("a long line goes away");
    let round = 2 * SLOTS as usize;
    assert!(first_far >= 3 * round, "{seen:?}");
    assert!(first_far <= 8 * round, "{seen:?}");
}
