//! Servers of evacuated data centres get no requests of any kind.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Server;
use base::region;
use base::time::Time;
use replica::limit::Stated;
use replica::table::Locality;
use replica::table::Table;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const START: Time = Time::from_millis(1000);

fn entry(id: &str, data_centre: &str) -> Entry {
    Entry {
        incarnation: Incarnation { id: Arc::from(id), born: 1 },
        service: Arc::from("desk"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: Arc::from(data_centre),
        slots: 4,
        draining: false,
        warmup: Duration::ZERO,
    }
}

/// Guards against sends of attempts that were chosen before the evacuation, and of trials.
#[test]
fn evacuated_server_is_neither_chosen_nor_sent_to() {
    let locality = Locality { data_centre: Arc::from("hall"), regions: HashMap::new() };
    let mut table = Table::new(locality, 1);
    let (hall, wing) = (Arc::from("hall"), Arc::from("wing"));
    table.apply(START, &Change::Up(entry("s0", "hall")));
    table.apply(START, &Change::Up(entry("s1", "wing")));
    let service = table.intern_service(&Arc::from("desk"));
    let servers: Vec<Server> = table.servers_of(service).collect();
    let choose = |table: &mut Table, now| {
        table.choose(now, service, SERVICE_TIME, 0.0, &[]).map(|selection| selection.server)
    };
    assert_eq!(choose(&mut table, START), Some(servers[0]));
    table.set_evacuated(&hall, true);
    assert!(!table.may_send(START, servers[0]));
    assert_eq!(choose(&mut table, START), Some(servers[1]));
    // An entry that is written again, and a trial that is due, change nothing.
    table.turned_away(START, servers[0], Duration::from_millis(10));
    table.apply(START, &Change::Up(entry("s0", "hall")));
    let later = START + Duration::from_secs(60);
    assert!(!table.may_send(later, servers[0]));
    assert_eq!(choose(&mut table, later), Some(servers[1]));
    // A limit of an evacuated server is not why a service refuses.
    table.limit_stated(later, servers[0], later, Stated::PerSecond(1.0));
    assert!(!table.is_limited(later, service, region::Set::ANY));
    assert!(!table.is_evacuated(service, region::Set::ANY));
    table.set_evacuated(&wing, true);
    assert!(table.is_evacuated(service, region::Set::ANY));
    assert_eq!(choose(&mut table, later), None);
    table.set_evacuated(&wing, false);
    assert_eq!(choose(&mut table, later), Some(servers[1]));
}

/// A server that registers during the evacuation has never been marked.
#[test]
fn server_that_starts_during_the_evacuation_gets_nothing() {
    let locality = Locality { data_centre: Arc::from("hall"), regions: HashMap::new() };
    let mut table = Table::new(locality, 1);
    table.set_evacuated(&Arc::from("wing"), true);
    table.apply(START, &Change::Up(entry("s0", "wing")));
    let service = table.intern_service(&Arc::from("desk"));
    assert!(table.choose(START, service, SERVICE_TIME, 0.0, &[]).is_none());
}

/// Guards against a refusal that names the regions as its cause, though those have servers, which
/// are evacuated.
#[test]
fn service_whose_allowed_servers_are_evacuated_is_evacuated() {
    let regions = [("hall", "north"), ("wing", "south")];
    let regions = regions.map(|(centre, region)| (Arc::from(centre), Arc::from(region)));
    let locality = Locality { data_centre: Arc::from("hall"), regions: HashMap::from(regions) };
    let mut table = Table::new(locality, 1);
    table.apply(START, &Change::Up(entry("s0", "hall")));
    table.apply(START, &Change::Up(entry("s1", "wing")));
    let service = table.intern_service(&Arc::from("desk"));
    let (north, south) = (table.region_of("hall"), table.region_of("wing"));
    table.set_evacuated(&Arc::from("hall"), true);
    assert!(table.is_evacuated(service, north));
    assert!(!table.is_evacuated(service, south));
    assert!(!table.is_evacuated(service, region::Set::NONE));
}
