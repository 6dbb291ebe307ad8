//! What is remembered of a server's slowness and failures fades independently.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Service;
use base::time::Time;
use replica::record::Distance;
use replica::record::Record;
use site::register::Incarnation;

fn record() -> Record {
    let incarnation = Incarnation { id: Arc::from("a"), born: 1 };
    let address = "10.0.0.1:80".parse().expect("an address");
    Record::new(incarnation, address, Service::from_u32(0), Distance::DataCentre)
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Refusals every 100 ms must not keep an old slowness alive.
#[test]
fn slowness_fades_while_a_server_refuses() {
    let mut record = record();
    (0..40).for_each(|_| record.replied(at(0), 10.0, None));
    let before = record.slowness(at(0));
    (1..=60).for_each(|number| record.refused(at(number * 100), None));
    let after = record.slowness(at(6000));
    assert!(after - 1.0 < (before - 1.0) * 0.1, "{before} and six seconds later {after}");
}

/// Requests that were abandoned as slow say nothing about failures.
#[test]
fn failure_rate_fades_while_a_server_is_slow() {
    let mut record = record();
    (0..20).for_each(|_| record.refused(at(0), None));
    let before = record.failure_rate(at(0));
    let later = at(0) + Duration::from_secs(12);
    (1..=120).for_each(|number| record.abandoned(at(number * 100), 20.0));
    let after = record.failure_rate(later);
    assert!(after < before * 0.1, "{before} and twelve seconds later {after}");
}
