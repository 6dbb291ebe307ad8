//! Limits that servers name, as one node keeps to them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::region;
use base::time::Time;
use replica::limit::Change;
use replica::limit::Stated;
use replica::table::Choice;
use replica::table::Locality;
use replica::table::Observation;
use replica::table::Table;
use share::limit::Quota;
use site::fleet;
use site::register::Entry;
use site::register::Incarnation;

const START: Time = Time::from_millis(1000);
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// A node's table with the servers of one service.
fn table(servers: usize) -> (Table, Service, Vec<Server>) {
    let locality = Locality { data_centre: Arc::from("hall"), regions: HashMap::new() };
    let mut table = Table::new(locality, 1);
    for number in 0..servers {
        let entry = Entry {
            incarnation: Incarnation { id: Arc::from(format!("s{number}")), born: 1 },
            service: Arc::from("desk"),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_centre: Arc::from("hall"),
            slots: 64,
            draining: false,
            warmup: Duration::ZERO,
        };
        table.apply(START, &fleet::Change::Up(entry));
    }
    let service = table.intern_service(&Arc::from("desk"));
    let servers = table.servers_of(service).collect();
    (table, service, servers)
}

/// Names a limit of which this node may use all.
fn name_limit(table: &mut Table, now: Time, server: Server, per_second: f64) {
    table.limit_stated(now, server, now, Stated::PerSecond(per_second));
    table
        .divide_limits(now, |_, _, limit| Quota { even: limit.per_second, most: limit.per_second });
}

/// The sends to `server` in `seconds`, with a request of the service every millisecond.
fn sends(table: &mut Table, from: Time, seconds: u64, service: Service, server: Server) -> usize {
    let mut sent = 0;
    for ms in 0..seconds * 1000 {
        let now = from + Duration::from_millis(ms);
        if let Some(selection) = table.choose(now, service, SERVICE_TIME, 0.0, &[]) {
            table.started(now, selection.server);
            let observation = Observation::Replied { load: None };
            table.observe(now, selection.server, now, now, SERVICE_TIME, observation);
            sent += usize::from(selection.server == server);
        }
    }
    sent
}

/// Guards against a limit that any value ends or removes: zero, tiny, huge and unreadable ones.
#[test]
fn odd_limits_are_kept() {
    for (per_second, most) in [(0.0, 2), (0.01, 2), (7.0, 32), (1e300, usize::MAX)] {
        let (mut table, service, servers) = table(2);
        name_limit(&mut table, START, servers[0], per_second);
        let sent = sends(&mut table, START, 4, service, servers[0]);
        assert!(sent <= most, "{sent} at a limit of {per_second}");
        let unreadable = table.limit_stated(START, servers[0], START, Stated::Unreadable);
        assert_eq!(unreadable, Change::Unreadable);
        assert!(table.record(servers[0]).limit().is_some());
    }
}

/// Guards against a limit that holds on after its end, and against one that ends by a reply to a
/// request that was sent before the limit was named.
#[test]
fn limit_ends_with_a_later_reply_that_names_none() {
    let (mut table, service, servers) = table(1);
    let later = START + Duration::from_millis(50);
    name_limit(&mut table, later, servers[0], 1.0);
    assert_eq!(table.limit_stated(later, servers[0], START, Stated::Absent), Change::Same);
    assert!(table.record(servers[0]).limit().is_some());
    assert_eq!(table.limit_stated(later, servers[0], later, Stated::Absent), Change::Ended);
    assert_eq!(sends(&mut table, later, 1, service, servers[0]), 1000);
    // Another node that has not heard of the end yet reports the limit.
    let key = table.key(servers[0]);
    table.limit_reported(later + Duration::from_millis(10), key, later, 1.0);
    assert!(table.record(servers[0]).limit().is_none());
}

/// Guards against a request that counts although it never left the node.
#[test]
fn request_that_is_not_sent_spends_nothing() {
    let (mut table, service, servers) = table(1);
    name_limit(&mut table, START, servers[0], 1.0);
    for ms in 1000..3000 {
        let now = START + Duration::from_millis(ms);
        if table.choose(now, service, SERVICE_TIME, 0.0, &[]).is_some() {
            table.started(now, servers[0]);
            table.observe(now, servers[0], now, now, SERVICE_TIME, Observation::NotSent);
        }
    }
    let now = START + Duration::from_millis(3000);
    assert!(table.choose(now, service, SERVICE_TIME, 0.0, &[]).is_some());
}

/// Guards against refused requests that are told to return all at the same time.
#[test]
fn refused_requests_return_one_after_the_other() {
    let (mut table, service, servers) = table(1);
    name_limit(&mut table, START, servers[0], 10.0);
    assert!(table.choose(START, service, SERVICE_TIME, 0.0, &[]).is_none());
    assert!(table.accepts_at(START, service, region::Set::ANY).is_some());
    let returns: Vec<Time> =
        (0..10).filter_map(|_| table.return_at(START, service, region::Set::ANY)).collect();
    assert_eq!(returns.len(), 10);
    let interval = Duration::from_millis(99);
    assert!(returns.windows(2).all(|pair| pair[1].since(pair[0]) >= interval), "{returns:?}");
}

/// Guards against less urgent requests that use up what the urgent ones need.
#[test]
fn less_urgent_requests_leave_a_reserve() {
    let (mut table, service, servers) = table(1);
    name_limit(&mut table, START, servers[0], 10.0);
    let now = START + Duration::from_millis(150);
    let choose = |table: &mut Table, leaves_reserve| {
        let choice = Choice { leaves_reserve, ..Choice::default() };
        table.choose_within(now, service, SERVICE_TIME, 0.0, &[], choice).is_some()
    };
    assert!(!choose(&mut table, true));
    assert!(choose(&mut table, false));
}
