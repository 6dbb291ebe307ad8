//! Which queues at servers a request may join.

use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::plan::Plan;
use replica::table::Selection;

const NOW: Time = Time::from_millis(1000);

fn plan(soft_deadline_ms: u64, deadline_ms: u64) -> Plan {
    Plan {
        services: [Service::from_u32(0)].into_iter().collect(),
        min_services: 1,
        idempotent: true,
        max_attempts: 2,
        soft_deadline: NOW + Duration::from_millis(soft_deadline_ms),
        deadline: NOW + Duration::from_millis(deadline_ms),
        usual_service_time: Duration::from_millis(10),
        own_work: Duration::ZERO,
    }
}

fn selection(expected_ms: u64, saturated: bool) -> Selection {
    Selection {
        server: Server::from_u32(0),
        expected_latency: Duration::from_millis(expected_ms),
        saturated,
    }
}

#[test]
fn queue_is_joined_if_the_reply_is_in_time() {
    assert!(plan(100, 700).admits(NOW, &selection(90, true)));
    assert!(!plan(100, 700).admits(NOW, &selection(400, true)));
}

#[test]
fn unsaturated_server_may_answer_until_the_deadline() {
    assert!(plan(100, 700).admits(NOW, &selection(600, false)));
    assert!(!plan(100, 700).admits(NOW, &selection(800, false)));
}

/// Guards against refusing a caller a second time: one that a starting node refused
/// retries when its soft deadline has passed, and is served if the queue is short.
#[test]
fn late_retry_of_a_caller_is_served() {
    assert!(plan(0, 500).admits(NOW, &selection(60, true)));
    assert!(!plan(0, 500).admits(NOW, &selection(300, true)));
}
