//! Servers that turn requests away for a time that they state: when they are chosen again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::region;
use base::time::Time;
use replica::table::Locality;
use replica::table::Observation;
use replica::table::Table;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

const ASKED: Duration = Duration::from_secs(4);
const SERVICE_TIME: Duration = Duration::from_millis(10);
const START: Time = Time::from_millis(1000);

fn entry(id: &str) -> Entry {
    Entry {
        incarnation: Incarnation { id: Arc::from(id), born: 1 },
        service: Arc::from("desk"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: Arc::from("hall"),
        slots: 4,
        draining: false,
        warmup: Duration::ZERO,
    }
}

/// A node's table with the servers of one service.
fn table(seed: u64, servers: usize) -> (Table, Service) {
    let locality = Locality { data_centre: Arc::from("hall"), regions: HashMap::new() };
    let mut table = Table::new(locality, seed);
    for number in 0..servers {
        table.apply(START, &Change::Up(entry(&format!("s{number}"))));
    }
    let service = table.intern_service(&Arc::from("desk"));
    (table, service)
}

fn choose(table: &mut Table, now: Time, service: Service) -> Option<Server> {
    Some(table.choose(now, service, SERVICE_TIME, 0.0, &[])?.server)
}

fn observe(table: &mut Table, now: Time, server: Server, started: Time, observation: Observation) {
    table.observe(now, server, started, started, SERVICE_TIME, observation);
}

/// Pattern: a whole shard turns away at once. Guards against sends within the time, and against
/// a service that is reported to accept requests when none of its servers does.
#[test]
fn shard_that_turns_away_gets_nothing_until_the_earliest_end() {
    let (mut table, service) = table(1, 3);
    let servers: Vec<Server> = table.servers_of(service).collect();
    assert_eq!(table.accepts_at(START, service, region::Set::ANY), None);
    for (server, factor) in servers.iter().zip([3, 1, 2]) {
        table.turned_away(START, *server, ASKED * factor);
    }
    let accepts_at =
        table.accepts_at(START, service, region::Set::ANY).expect("all turn requests away");
    assert!(accepts_at >= START + ASKED);
    assert!(accepts_at <= START + ASKED + Duration::from_millis(500));
    let mut now = START;
    while now < accepts_at {
        assert_eq!(choose(&mut table, now, service), None);
        assert!(servers.iter().all(|server| !table.may_send(now, *server)));
        now = now + Duration::from_millis(50);
    }
    assert_eq!(choose(&mut table, accepts_at, service), Some(servers[1]));
}

#[test]
fn other_servers_are_used_meanwhile() {
    let (mut table, service) = table(1, 2);
    let servers: Vec<Server> = table.servers_of(service).collect();
    table.turned_away(START, servers[0], ASKED);
    assert_eq!(table.accepts_at(START, service, region::Set::ANY), None);
    for ms in 0..100 {
        let now = START + Duration::from_millis(ms * 40);
        assert_eq!(choose(&mut table, now, service), Some(servers[1]));
    }
}

/// Pattern: the end of many `Retry-After` at the same moment. Guards against all nodes and all
/// their requests returning at once.
#[test]
fn requests_return_by_single_trials_spread_over_nodes() {
    let end = START + ASKED;
    let mut trials = Vec::new();
    for node in 0..60 {
        let (mut table, service) = table(node, 1);
        let server = table.servers_of(service).next().expect("a server");
        table.turned_away(START, server, ASKED);
        let mut now = end;
        // Requests wait at every node: one is sent per node, the others are not.
        let first = loop {
            match choose(&mut table, now, service) {
                Some(_) => break now,
                None => now = now + Duration::from_millis(1),
            }
        };
        table.started(first, server);
        assert_eq!(choose(&mut table, first + Duration::from_millis(5), service), None);
        trials.push(first);
    }
    trials.sort();
    let busiest = trials
        .iter()
        .map(|at| trials.iter().filter(|t| t >= &at && t.since(*at).as_millis() < 50).count());
    assert!(busiest.max() < Some(20), "too many trials within 50 ms");
}

#[test]
fn trial_decides_whether_all_requests_return() {
    let (mut table, service) = table(1, 1);
    let server = table.servers_of(service).next().expect("a server");
    table.turned_away(START, server, ASKED);
    let trial = table.accepts_at(START, service, region::Set::ANY).expect("it turns requests away");
    table.started(trial, server);
    let refused = trial + Duration::from_millis(5);
    observe(&mut table, refused, server, trial, Observation::Refused { load: None });
    assert_eq!(choose(&mut table, refused, service), None);
    let next = table.accepts_at(refused, service, region::Set::ANY).expect("the trial was refused");
    assert!(next > refused);
    table.started(next, server);
    let replied = next + Duration::from_millis(5);
    observe(&mut table, replied, server, next, Observation::Replied { load: None });
    for _ in 0..5 {
        assert_eq!(choose(&mut table, replied, service), Some(server));
        table.started(replied, server);
    }
}

/// Guards against a reply to a request from before the time that ends it.
#[test]
fn earlier_request_does_not_end_the_time() {
    let (mut table, service) = table(1, 1);
    let server = table.servers_of(service).next().expect("a server");
    table.started(START, server);
    table.turned_away(START + Duration::from_millis(5), server, ASKED);
    let replied = START + Duration::from_millis(50);
    observe(&mut table, replied, server, START, Observation::Replied { load: None });
    assert_eq!(choose(&mut table, replied, service), None);
}

/// A second, shorter time does not end the first one.
#[test]
fn latest_end_counts() {
    let (mut table, service) = table(1, 1);
    let server = table.servers_of(service).next().expect("a server");
    table.turned_away(START, server, ASKED);
    table.turned_away(START, server, Duration::from_millis(10));
    assert_eq!(choose(&mut table, START + Duration::from_secs(3), service), None);
}
