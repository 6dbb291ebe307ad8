//! Nodes that were replaced and whose entries stay in the registry.

use std::collections::HashSet;
use std::net::IpAddr;
use std::time::Duration;

use crate::support::at;
use crate::support::heartbeat;
use crate::support::ip;
use crate::support::members;
use crate::support::peer;
use entry::members::HEARTBEAT_INTERVAL;
use entry::members::Members;
use entry::serving::Own;
use entry::serving::Role;

mod support;

/// The replacements of some years.
const REPLACED: usize = 20_000;
/// The number of nodes of the largest deployment.
const LARGEST: usize = 300;
/// The nodes of the data centre that run.
const RUNNING: usize = 6;
/// How long the node has run.
const UPTIME: Duration = Duration::from_secs(3600);
/// The intervals over which heartbeats are counted.
const INTERVALS: u64 = 50;

/// The heartbeats of a serving node in some intervals, beside `running` nodes and `replaced` ones that
/// were listed at its start and have not been heard for long.
fn heartbeats(running: usize, replaced: usize, were_heard: bool) -> usize {
    let mut members: Members = members(&peer(0, 1, 500));
    if were_heard {
        for number in 2 + running..2 + running + replaced {
            members.on_heartbeat(at(0), ip(0, number), heartbeat(&peer(0, number, 500), 1));
        }
    }
    (2..2 + running + replaced).for_each(|number| members.add_peer(peer(0, number, 500)));
    let first = UPTIME.as_millis() as u64;
    let interval = HEARTBEAT_INTERVAL.as_millis() as u64;
    let mut sent = 0;
    for number in 0..INTERVALS {
        let now = at(first + number * interval);
        members.tick(now);
        for number in 2..2 + running {
            let beat = heartbeat(&peer(0, number, 500), 1);
            members.on_heartbeat(now, ip(0, number), beat);
        }
        sent += members.targets(now, 9_000 + number, true, false).len();
    }
    sent
}

/// Guards against heartbeats to nodes that no longer exist, which grow with each replacement.
#[test]
fn replaced_nodes_cost_less_than_a_large_fleet() {
    assert_eq!(heartbeats(RUNNING, 0, false), RUNNING * INTERVALS as usize);
    let large = heartbeats(LARGEST, 0, false);
    for were_heard in [false, true] {
        let with = heartbeats(RUNNING, REPLACED, were_heard);
        assert!(with <= large, "{with} heartbeats, {large} in a fleet of {LARGEST}");
    }
}

/// Guards against standby nodes of other data centres, which are not heard, and that take this one
/// for silent since it sends them too few heartbeats.
#[test]
fn quiet_nodes_get_heartbeats_in_time() {
    let mut members: Members = members(&peer(0, 1, 500));
    (2..=LARGEST).for_each(|number| members.add_peer(peer(1, number, 500)));
    let now = at(UPTIME.as_millis() as u64);
    // A node is silent after four missed ones.
    for first in 9_000..9_020 {
        let targets: HashSet<IpAddr> = (first..first + 3)
            .flat_map(|number| members.targets(now, number, true, false))
            .collect();
        assert_eq!(targets.len(), LARGEST - 1);
    }
}

/// Guards against regions that never hear of each other since the nodes that come first in a data
/// centre were replaced.
#[test]
fn replaced_nodes_hide_no_region() {
    let mut members: Members = members(&peer(0, 1, 500));
    (0..100).for_each(|number| members.add_peer(peer(2, number, 500)));
    members.add_peer(peer(2, 100, 120));
    let first = UPTIME.as_millis() as u64;
    let is_contacted = |number: u64| {
        let now = at(first + number * HEARTBEAT_INTERVAL.as_millis() as u64);
        members.targets(now, 9_000 + number, true, false).contains(&ip(2, 100))
    };
    assert!((0..50).any(is_contacted), "not contacted within 20 s");
}

/// Guards against a data centre in which nobody serves since all that come first in the order were
/// replaced: the callers must be served 12 s after a restart of all nodes.
#[test]
fn replaced_nodes_first_in_the_order_delay_no_recovery() {
    let own = Own { ready: true, sends_per_second: 0, slow: false, reach: 100, path_proven: true };
    let mut members: Members = members(&peer(0, REPLACED + 1, 120));
    (0..REPLACED).for_each(|number| members.add_peer(peer(0, number, 500)));
    let mut role = Role::default();
    let mut serves_after = None;
    for tick in 0..25 {
        let now = at(tick * HEARTBEAT_INTERVAL.as_millis() as u64);
        members.tick(now);
        if role.update(now, &members, &own) {
            serves_after = Some(now.since(at(0)));
        }
    }
    assert!(role.is_serving(), "stands by after 10 s");
    assert!(serves_after < Some(Duration::from_secs(10)), "{serves_after:?}");
}
