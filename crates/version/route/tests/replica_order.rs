//! Which snapshots can be served and which replicas may get an attempt.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use support::REGIONS;
use support::catalog;
use support::health;
use support::map;
use support::object;
use support::plain;
use support::report;
use support::servers;
use support::service;
use support::shard;
use support::snapshot;
use support::table;

use base::entity::Server;
use base::time::Time;
use conf::object::Choice;
use conf::object::Kind;
use route::locality::Locality;
use route::observation::Observation;
use route::settings::Settings;
use route::table::Table;
use wire::id::Snapshot;
use wire::upstream::ShardCopy;
use wire::upstream::State;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn replied(latency_ms: u64, load: u32) -> Observation {
    Observation::Replied {
        latency: Duration::from_millis(latency_ms),
        report: report(100, State::Ready, load),
        snapshot: snapshot(1),
        shard: shard(0),
    }
}

/// Sends an attempt and applies its result.
fn exchange(table: &mut Table, now: Time, server: Server, result: Observation) {
    table.observe(now, server, Observation::Sent);
    table.observe(now, server, result);
}

/// How often each server of group 0 is picked in `picks` picks.
fn pick_counts(table: &mut Table, now: Time, choice: Choice, picks: u32) -> BTreeMap<Server, u32> {
    let mut counts = BTreeMap::new();
    for _ in 0..picks {
        let picked = table.pick(now, choice, &snapshot(1), shard(0), &[]).unwrap();
        *counts.entry(picked).or_insert(0) += 1;
    }
    counts
}

/// Reports the shard copies of a server, as versions and shards.
fn set_copies(table: &mut Table, name: &str, copies: &[(u64, u32)]) {
    let server = table.find(name).unwrap();
    table.update_health(at(1), server, &health(name, 100, State::Ready, copies));
}

fn versions(table: &Table) -> Vec<u64> {
    table.snapshots("desk").iter().map(|snapshot| snapshot.version).collect()
}

#[test]
fn the_newest_complete_version_is_preferred() {
    let mut table = table(2, plain());
    set_copies(&mut table, "s0-0", &[(1, 0), (2, 0)]);
    assert_eq!(versions(&table), [1, 2]);
    set_copies(&mut table, "s1-2", &[(1, 1), (2, 1)]);
    assert_eq!(versions(&table), [2, 1]);
}

#[test]
fn without_a_complete_version_the_best_covered_one_is_preferred() {
    let mut table = table(3, plain());
    for index in 0..3 {
        set_copies(&mut table, &format!("s0-{index}"), &[(2, 0)]);
        set_copies(&mut table, &format!("s1-{index}"), &[(1, 1)]);
        set_copies(&mut table, &format!("s2-{index}"), &[(1, 2)]);
    }
    assert_eq!(versions(&table), [1, 2]);
}

#[test]
fn copies_on_leaving_servers_do_not_count() {
    let mut table = table(2, plain());
    set_copies(&mut table, "s0-0", &[(1, 0), (2, 0)]);
    set_copies(&mut table, "s1-0", &[(1, 1), (2, 1)]);
    assert_eq!(versions(&table), [2, 1]);
    let server = table.find("s0-0").unwrap();
    table.update_health(at(2), server, &health("s0-0", 100, State::Draining, &[(2, 0)]));
    assert_eq!(versions(&table), [1, 2]);
    assert!(table.candidates(&snapshot(2), shard(0), &[]).is_empty());
    assert!(table.has_copy(&snapshot(2), shard(0)));
}

/// A map whose shards are not all loaded yet does not replace a complete one.
#[test]
fn an_older_map_answers_until_the_new_one_is_filled() {
    let mut table = table(2, plain());
    let objects = [
        object(Kind::Map, "m", 1, map("s", 2, 3)),
        object(Kind::Map, "n", 3, map("t", 4, 1)),
        object(Kind::Service, "desk", 4, service("n", &["m"])),
    ];
    let before = table.find("s0-1");
    table.update(&catalog(&objects));
    assert_eq!(table.find("s0-1"), before, "references keep their meaning");
    let new = |version| Snapshot { version, map: Arc::from("n") };
    for group in 0..4 {
        assert_eq!(table.snapshots("desk")[0], snapshot(1), "{group} of 4 shards are loaded");
        let name = format!("t{group}-0");
        let server = table.find(&name).unwrap();
        let mut report = health(&name, 100, State::Ready, &[]);
        report.shard_copies = vec![ShardCopy { snapshot: new(5), shard: group }];
        table.update_health(at(1), server, &report);
    }
    assert_eq!(table.snapshots("desk")[0], new(5));
}

#[test]
fn a_mismatch_overrides_a_stale_health_report() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    let mismatched = Observation::Mismatched {
        report: report(100, State::Ready, 0),
        snapshot: snapshot(1),
        shard: shard(0),
    };
    exchange(&mut table, at(1000), server, mismatched);
    table.update_health(at(1500), server, &health("s0-0", 100, State::Ready, &[(1, 0)]));
    assert!(!table.candidates(&snapshot(1), shard(0), &[]).contains(&server));
    table.update_health(at(9000), server, &health("s0-0", 100, State::Ready, &[(1, 0)]));
    assert!(table.candidates(&snapshot(1), shard(0), &[]).contains(&server));
}

#[test]
fn ejection_never_exceeds_its_limit() {
    let mut table = table(1, plain());
    let group = servers(&table, 0);
    for (failing, server) in group.iter().enumerate() {
        for _ in 0..3 + failing {
            exchange(&mut table, at(10), *server, Observation::Failed);
        }
        let counts = pick_counts(&mut table, at(11), Choice::Random, 300);
        let left = counts.len();
        assert_eq!(left, 2, "{} of 3 qualify for ejection", failing + 1);
        assert!(!counts.contains_key(server), "the one with the most failures is ejected");
    }
    let counts = pick_counts(&mut table, at(5000), Choice::Random, 300);
    assert_eq!(counts.len(), 3, "an ejected server is tried again");
}

#[test]
fn a_restarted_server_gets_its_share_gradually() {
    let mut table = table(1, plain());
    let group = servers(&table, 0);
    exchange(&mut table, at(1), group[0], replied(5, 0));
    let restarted = Observation::Replied {
        latency: Duration::from_millis(5),
        report: report(200, State::Cold, 0),
        snapshot: snapshot(1),
        shard: shard(0),
    };
    exchange(&mut table, at(10), group[0], restarted);
    let picks = |table: &mut Table, ms| pick_counts(table, at(ms), Choice::Random, 3000)[&group[0]];
    let (first, middle, last) =
        (picks(&mut table, 10), picks(&mut table, 5010), picks(&mut table, 10010));
    assert!(first < 200, "{first} of 3000 at the start");
    assert!(first < middle && middle < last, "{first}, {middle}, {last}");
    assert!(last > 900, "{last} of 3000 at the end");
}

#[test]
fn a_server_that_misreports_its_load_is_judged_by_its_latency() {
    let mut table = table(1, plain());
    let group = servers(&table, 0);
    for round in 0..20 {
        exchange(&mut table, at(round), group[0], replied(5, 1000));
        exchange(&mut table, at(round), group[1], replied(5, 0));
        exchange(&mut table, at(round), group[2], replied(5, 0));
    }
    for choice in [Choice::LeastOfTwo, Choice::Latency] {
        let counts = pick_counts(&mut table, at(21), choice, 3000);
        let picks = counts.get(&group[0]).copied().unwrap_or(0);
        assert!(picks > 700, "{choice:?}: {picks} of 3000");
    }
}

#[test]
fn a_slow_server_that_reports_no_load_is_avoided() {
    let mut table = table(1, plain());
    let group = servers(&table, 0);
    for round in 0..20 {
        exchange(&mut table, at(round), group[0], replied(200, 0));
        exchange(&mut table, at(round), group[1], replied(5, 3));
        exchange(&mut table, at(round), group[2], replied(5, 3));
    }
    let counts = pick_counts(&mut table, at(21), Choice::Latency, 3000);
    assert_eq!(counts.get(&group[0]), None);
}

#[test]
fn the_wait_of_a_cancelled_attempt_counts_as_latency() {
    let mut table = table(1, plain());
    let group = servers(&table, 0);
    for round in 0..20 {
        for server in &group {
            exchange(&mut table, at(round), *server, replied(5, 0));
        }
    }
    for round in 20..40 {
        let waited = Duration::from_millis(100);
        exchange(&mut table, at(round), group[0], Observation::Cancelled { waited });
    }
    let counts = pick_counts(&mut table, at(41), Choice::Latency, 3000);
    assert_eq!(counts.get(&group[0]), None);
}

#[test]
fn the_near_replica_is_preferred_while_it_has_capacity() {
    let locality = Locality { data_centre: Arc::from(REGIONS[1]), ..Locality::default() };
    let mut table = table(1, Settings { locality, ..Settings::default() });
    let near = servers(&table, 0)[1];
    for choice in Choice::ALL {
        assert_eq!(pick_counts(&mut table, at(1), choice, 30).keys().collect::<Vec<_>>(), [&near]);
    }
    // A single node has all six slots of the group as its share.
    for _ in 0..6 {
        table.observe(at(1), near, Observation::Sent);
    }
    let counts = pick_counts(&mut table, at(1), Choice::Random, 300);
    assert_eq!(counts.len(), 3);
}

#[test]
fn round_robin_is_separate_for_each_group() {
    let mut table = table(3, plain());
    let mut counts = BTreeMap::new();
    for _ in 0..30 {
        for group in 0..3 {
            let picked = table.pick(at(1), Choice::RoundRobin, &snapshot(1), shard(group), &[]);
            *counts.entry(picked.unwrap()).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 9);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

/// Six nodes and groups of three: each server is the home server of two nodes.
#[test]
fn home_servers_are_assigned_evenly() {
    let nodes: Vec<Arc<str>> = (0..6).map(|node| Arc::from(format!("node-{node}"))).collect();
    let mut counts = BTreeMap::new();
    for node in &nodes {
        let mut table = table(10, Settings { node: Arc::clone(node), ..plain() });
        table.set_nodes(&nodes);
        for group in 0..10 {
            let home = table.pick(at(1), Choice::Home, &snapshot(1), shard(group), &[]).unwrap();
            *counts.entry(home).or_insert(0) += 1;
            table.observe(at(1), home, Observation::Sent);
            let spill = table.pick(at(1), Choice::Home, &snapshot(1), shard(group), &[]).unwrap();
            assert_ne!(home, spill, "the requests fill the node's share of the slots");
        }
    }
    assert_eq!(counts.len(), 30);
    assert!(counts.values().all(|count| *count == 2), "{counts:?}");
}

#[test]
fn the_hedge_delay_follows_the_latencies() {
    let mut table = table(1, plain());
    let server = servers(&table, 0)[0];
    assert_eq!(table.hedge_delay(at(0), "desk", 95.0), None);
    for round in 0..100 {
        exchange(&mut table, at(round), server, replied(if round % 10 == 9 { 80 } else { 10 }, 0));
    }
    let delay = table.hedge_delay(at(300), "desk", 85.0).unwrap();
    assert!((9..12).contains(&delay.as_millis()), "{delay:?}");
    let delay = table.hedge_delay(at(300), "desk", 95.0).unwrap();
    assert!((79..82).contains(&delay.as_millis()), "{delay:?}");
    assert_eq!(table.hedge_delay(at(300), "desk", 100.0), None);
    // Both histograms have rotated, so the slow samples no longer count.
    for round in 0..100 {
        exchange(&mut table, at(30_000 + round), server, replied(10, 0));
    }
    let delay = table.hedge_delay(at(31_000), "desk", 95.0).unwrap();
    assert!((9..12).contains(&delay.as_millis()), "{delay:?}");
}

#[test]
fn the_capacity_share_follows_nodes_and_leaving_servers() {
    let mut table = table(2, plain());
    assert_eq!(table.capacity_share("desk"), Some(6.0));
    let nodes: Vec<Arc<str>> = (0..6).map(|node| Arc::from(format!("node-{node}"))).collect();
    table.set_nodes(&nodes);
    assert_eq!(table.capacity_share("desk"), Some(1.0));
    let server = table.find("s1-1").unwrap();
    table.update_health(at(1), server, &health("s1-1", 100, State::Draining, &[(1, 1)]));
    assert_eq!(table.capacity_share("desk"), Some(4.0 / 6.0));
    assert_eq!(table.capacity_share("none"), None);
}
