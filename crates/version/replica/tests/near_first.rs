//! The choice between near and far servers: traffic between regions is expensive,
//! so a far server is chosen only if the near ones have long queues.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use replica::record::Distance;
use replica::table::Locality;
use replica::table::Table;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

const NOW: Time = Time::from_millis(1000);
const SERVICE_TIME: Duration = Duration::from_millis(11);
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
    let mut table = Table::new(Locality { data_centre: Arc::from("here"), regions }, 1);
    for data_centre in ["here", "next", "away"] {
        table.apply(Time::ZERO, &Change::Up(entry(data_centre)));
    }
    let service = table.intern_service(&Arc::from("shard"));
    (table, service)
}

fn chosen(table: &mut Table, service: Service, tried: &[Server]) -> (Distance, Server) {
    let selection = table.choose(NOW, service, SERVICE_TIME, 0.0, tried).expect("a server");
    (table.record(selection.server).distance, selection.server)
}

#[test]
fn nearest_idle_server_is_chosen() {
    let (mut table, service) = table();
    let (distance, here) = chosen(&mut table, service, &[]);
    assert_eq!(distance, Distance::DataCentre);
    let (distance, next) = chosen(&mut table, service, &[here]);
    assert_eq!(distance, Distance::Region);
    assert_eq!(chosen(&mut table, service, &[here, next]).0, Distance::Far);
}

/// Requests queue at the two near servers until each has several times its slots;
/// only then is the far server chosen.
#[test]
fn short_queue_costs_less_than_a_far_server() {
    let (mut table, service) = table();
    let mut seen = Vec::new();
    for _ in 0..60 {
        let (distance, server) = chosen(&mut table, service, &[]);
        table.started(NOW, server);
        seen.push(distance);
    }
    let first_far = seen.iter().position(|distance| *distance == Distance::Far);
    let first_far = first_far.expect("the far server is chosen at last");
    let round = 2 * SLOTS as usize;
    assert!(first_far >= 3 * round, "{seen:?}");
    assert!(first_far <= 8 * round, "{seen:?}");
}
