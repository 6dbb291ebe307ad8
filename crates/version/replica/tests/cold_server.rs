//! What one node sends to a cold server, and when a server is cold.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::region;
use base::time::Time;
use replica::cold::Warmup;
use replica::table::Locality;
use replica::table::Observation;
use replica::table::Table;
use share::limit::Quota;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const START: Time = Time::from_millis(1000);
const WARMUP: Warmup = Warmup { time: Duration::from_secs(20), per_second: 10.0 };

fn put(table: &mut Table, now: Time, born: u64, left: Duration) -> Server {
    let incarnation = Incarnation { id: Arc::from("s0"), born };
    let entry = Entry {
        incarnation,
        service: Arc::from("desk"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: Arc::from("hall"),
        slots: 4,
        draining: false,
        warmup: left,
    };
    table.apply(now, &Change::Up(entry));
    let service = table.intern_service(&Arc::from("desk"));
    table.servers_of(service).next().expect("a server")
}

fn table(warmup: Warmup) -> (Table, Service) {
    let locality = Locality { data_centre: Arc::from("hall"), regions: HashMap::new() };
    let mut table = Table::new(locality, 1);
    let service = table.intern_service(&Arc::from("desk"));
    table.set_warmup(START, service, warmup);
    (table, service)
}

fn is_cold(table: &Table, now: Time, server: Server) -> bool {
    table.record(server).cold(now).is_some()
}

/// Without a part, a node sends a cold server nothing; with one, as many as it has tokens.
#[test]
fn cold_server_gets_as_many_requests_as_there_are_tokens() {
    let (mut table, service) = table(WARMUP);
    let server = put(&mut table, START, 1, WARMUP.time);
    assert!(table.choose(START, service, SERVICE_TIME, 0.0, &[]).is_none());
    assert!(table.is_limited(START, service, region::Set::ANY));
    table.divide_cold(START, |_, _, _| Quota { even: 5.0, most: 5.0 });
    let mut sent = 0;
    for ms in 0..2000 {
        let now = START + Duration::from_millis(ms);
        if table.choose(now, service, SERVICE_TIME, 0.0, &[]).is_some() {
            table.started(now, server);
            sent += 1;
        }
    }
    assert!((9..=11).contains(&sent), "{sent}");
    assert!(table.choose(START + WARMUP.time, service, SERVICE_TIME, 0.0, &[]).is_some());
}

/// A deployment that names no rate has no cold servers, only slow ones.
#[test]
fn server_without_a_rate_is_not_limited() {
    let (mut table, service) = table(Warmup { per_second: 0.0, ..WARMUP });
    let server = put(&mut table, START, 1, WARMUP.time);
    table.returned(START, "hall");
    assert!(!is_cold(&table, START, server));
    assert!(table.choose(START, service, SERVICE_TIME, 0.0, &[]).is_some());
}

#[test]
fn entries_and_replies_begin_renew_and_end_it() {
    let (mut table, _) = table(WARMUP);
    let server = put(&mut table, START, 1, Duration::ZERO);
    assert!(!is_cold(&table, START, server));
    table.set_warmup_left(START, server, Duration::from_secs(2));
    assert!(is_cold(&table, START, server));
    assert!(!is_cold(&table, START + Duration::from_secs(2), server));
    assert_eq!(put(&mut table, START, 1, WARMUP.time), server);
    assert!(is_cold(&table, START + Duration::from_secs(2), server));
    table.set_warmup_left(START, server, Duration::ZERO);
    assert!(!is_cold(&table, START, server));
}

/// A server that starts again under its id has nothing of the earlier incarnation's state.
#[test]
fn restarted_server_is_cold_again() {
    let (mut table, _) = table(WARMUP);
    let old = put(&mut table, START, 1, Duration::ZERO);
    let new = put(&mut table, START, 2, WARMUP.time);
    assert_ne!(old, new);
    assert!(!table.may_send(START, old));
    assert!(is_cold(&table, START, new));
    assert_ne!(table.cold_key(old), table.cold_key(new));
    assert_ne!(table.cold_key(new), table.key(new));
}

/// Guards against attempts that waited for a connection and all leave when the server, which has
/// started again, accepts one.
#[test]
fn server_that_accepts_again_is_cold_for_attempts_from_before() {
    let (mut table, _) = table(WARMUP);
    let server = put(&mut table, START, 1, Duration::ZERO);
    table.started(START, server);
    table.connect_failed(START, server);
    let later = START + Duration::from_secs(1);
    assert!(table.accepted(later, server));
    assert!(is_cold(&table, later, server));
    assert!(!table.has_token(later, server, START));
    let not_sent = Observation::NotSent;
    table.observe(later, server, START, START, SERVICE_TIME, not_sent);
    // A connection that was not refused before says nothing.
    table.set_warmup_left(later, server, Duration::ZERO);
    assert!(!table.accepted(later, server));
    assert!(!is_cold(&table, later, server));
}

#[test]
fn evacuated_data_centre_returns_cold() {
    let (mut table, _) = table(WARMUP);
    let server = put(&mut table, START, 1, Duration::ZERO);
    table.returned(START, "wing");
    assert!(!is_cold(&table, START, server));
    table.returned(START, "hall");
    assert!(is_cold(&table, START, server));
}

/// Guards against refusals that name a limit after the cold state has ended with time.
#[test]
fn server_that_was_cold_is_not_limited() {
    let (mut table, service) = table(WARMUP);
    put(&mut table, START, 1, WARMUP.time);
    assert!(table.is_limited(START, service, region::Set::ANY));
    assert!(!table.is_limited(START + WARMUP.time, service, region::Set::ANY));
}

/// Guards against refused requests that all return for the same token.
#[test]
fn requests_refused_for_a_cold_server_return_one_after_the_other() {
    let (mut table, service) = table(WARMUP);
    put(&mut table, START, 1, WARMUP.time);
    table.divide_cold(START, |_, _, _| Quota { even: 5.0, most: 5.0 });
    let returns: Vec<Time> =
        (0..5).filter_map(|_| table.return_at(START, service, region::Set::ANY)).collect();
    assert_eq!(returns.len(), 5);
    for pair in returns.windows(2) {
        assert_eq!(pair[1].since(pair[0]), Duration::from_millis(200), "{returns:?}");
    }
}
