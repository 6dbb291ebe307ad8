//! The choice between near and far servers: traffic between regions is expensive,
//! so a far server is chosen only if the near ones have long queues, and for a request with homes
//! only if it is there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::region;
use base::time::Time;
use replica::limit::Stated;
use replica::record::Distance;
use replica::table::Choice;
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

/// The region of the near servers, and that of the far one.
fn homes(table: &Table) -> (region::Set, region::Set) {
    (table.regions().region("land"), table.regions().region("island"))
}

/// The regions of the servers that `sends` requests are sent to one after the other, without
/// replies; each third one goes to any server, and each second one leaves a reserve.
fn regions(table: &mut Table, service: Service, homes: region::Set, sends: u32) -> region::Set {
    let mut seen = region::Set::NONE;
    for number in 0..sends {
        let (spreads, leaves_reserve) = (number % 3 == 0, number % 2 == 0);
        let choice = Choice { spreads, leaves_reserve, homes };
        let chosen = table.choose_within(NOW, service, SERVICE_TIME, 1.0, &[], choice);
        let server = chosen.expect("a server").server;
        assert!(table.is_allowed(server, homes));
        table.started(NOW, server);
        seen = seen.union(table.record(server).region);
    }
    seen
}

/// Guards against a request that leaves its homes when the servers there are full or turn it away,
/// and against a time to return that servers abroad set.
#[test]
fn servers_abroad_are_never_chosen() {
    let (mut table, service) = table();
    let (land, island) = homes(&table);
    assert_eq!(regions(&mut table, service, land, 500), land);
    assert_eq!(regions(&mut table, service, island, 500), island);
    let near: Vec<Server> =
        table.servers_of(service).filter(|s| table.is_allowed(*s, land)).collect();
    assert_eq!(near.len(), 2);
    near.iter().for_each(|server| table.turned_away(NOW, *server, SERVICE_TIME * 100));
    let choice = Choice { homes: land, ..Choice::default() };
    assert_eq!(table.choose_within(NOW, service, SERVICE_TIME, 0.0, &[], choice), None);
    assert!(table.accepts_at(NOW, service, land) >= Some(NOW + SERVICE_TIME * 100));
    assert_eq!(table.accepts_at(NOW, service, island), None);
    table.limit_stated(NOW, near[0], NOW, Stated::PerSecond(1.0));
    assert!(table.is_limited(NOW, service, land) && !table.is_limited(NOW, service, island));
    assert_eq!(table.return_at(NOW, service, island), None);
}

/// Guards against other servers that take over when all of the homes are gone, and against a server
/// that counts as being in its former region after its entry was corrected.
#[test]
fn region_follows_the_entry() {
    let (mut table, service) = table();
    let (land, island) = homes(&table);
    let choice = Choice { homes: island, ..Choice::default() };
    let moved = Entry { data_centre: Arc::from("next"), ..entry("away") };
    table.apply(NOW, &Change::Up(moved));
    assert_eq!(table.choose_within(NOW, service, SERVICE_TIME, 0.0, &[], choice), None);
    assert!(table.is_restricted(service, island) && !table.is_restricted(service, land));
    let unknown = Entry { data_centre: Arc::from("nowhere"), ..entry("away") };
    table.apply(NOW, &Change::Up(unknown));
    assert!(table.is_restricted(service, land.union(island)));
    assert!(!table.is_restricted(service, region::Set::ANY));
}
