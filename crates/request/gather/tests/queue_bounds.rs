//! Which lines at servers a request joins.

use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::plan::Plan;
use replica::table::Selection;

const NOW: Time = Time::from_millis(1000);

fn plan(objective_ms: u64, limit_ms: u64) -> Plan {
    Plan {
        parts: [Service::from_u32(0)].into_iter().collect(),
        least: 1,
        idempotent: true,
        attempts: 2,
        objective: NOW + Duration::from_millis(objective_ms),
        limit: NOW + Duration::from_millis(limit_ms),
        work: Duration::from_millis(10),
    }
}

fn choice(expected_ms: u64, busy: bool) -> Selection {
    Selection {
        server: Server::from_u32(0),
        expected_latency: Duration::from_millis(expected_ms),
        saturated: busy,
    }
}

#[test]
fn reply_in_time_is_waited_for() {
    assert!(plan(100, 700).admits(NOW, &choice(90, true)));
    assert!(!plan(100, 700).admits(NOW, &choice(400, true)));
}

#[test]
fn idle_server_may_be_slow() {
    assert!(plan(100, 700).admits(NOW, &choice(600, false)));
    assert!(!plan(100, 700).admits(NOW, &choice(800, false)));
}

/// A caller that was turned away by a node that just started comes back when its
/// objective is past; it is served if the line is short.
#[test]
fn caller_that_comes_back_late_is_served() {
    assert!(plan(0, 500).admits(NOW, &choice(60, true)));
    assert!(!plan(0, 500).admits(NOW, &choice(300, true)));
}
