//! Which data centres are evacuated while the registry changes and returns from a copy.

use std::sync::Arc;

use base::time::Time;
use site::evacuation::Change;
use site::evacuation::Evacuations;
use site::evacuation::HOLD_TIME;
use site::evacuation::Origin;

const FIRST: Origin = Origin { era: 1, revision: 10 };
const COPY: Origin = Origin { era: 2, revision: 4 };

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn hall() -> Arc<str> {
    Arc::from("hall-a")
}

#[test]
fn object_begins_and_its_removal_ends() {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.put(at(1), FIRST, &hall()), Some(Change::Began(hall())));
    assert_eq!(evacuations.put(at(2), COPY, &hall()), None);
    let (_, known) = evacuations.iter().next().expect("one");
    assert_eq!((known.origin, known.since), (FIRST, at(1)));
    assert_eq!(evacuations.removed("hall-a"), Some(Change::Ended(hall())));
    assert_eq!(evacuations.removed("hall-a"), None);
}

/// A list of the same history that lacks the object means that it was removed.
#[test]
fn list_without_object_ends() {
    let mut evacuations = Evacuations::default();
    evacuations.put(at(1), FIRST, &hall());
    assert_eq!(evacuations.apply_list(at(2), FIRST, &[], false), [Change::Ended(hall())]);
}

/// An older copy that lacks the object must not send requests to the data centre before operators
/// could write it again.
#[test]
fn copy_without_object_holds_for_ten_seconds() {
    let mut evacuations = Evacuations::default();
    evacuations.put(at(1), FIRST, &hall());
    assert_eq!(evacuations.apply_list(at(100), COPY, &[], true), []);
    assert_eq!(evacuations.apply_list(at(5000), COPY, &[], false), []);
    assert_eq!(evacuations.registered().count(), 0);
    assert_eq!(evacuations.expire(at(10_099)), []);
    assert!(evacuations.contains("hall-a"));
    assert_eq!(evacuations.expire(at(100) + HOLD_TIME), [Change::Ended(hall())]);
}

#[test]
fn object_that_is_written_again_stays() {
    let mut evacuations = Evacuations::default();
    evacuations.put(at(1), FIRST, &hall());
    evacuations.apply_list(at(100), COPY, &[], true);
    assert_eq!(evacuations.put(at(200), COPY, &hall()), None);
    assert_eq!(evacuations.expire(at(60_000)), []);
    assert!(evacuations.contains("hall-a"));
}

/// A node that starts after the return has never seen the object.
#[test]
fn other_nodes_hold_is_taken_over() {
    let mut evacuations = Evacuations::default();
    let left = HOLD_TIME / 2;
    assert_eq!(evacuations.hold(at(0), COPY, &hall(), left), Some(Change::Began(hall())));
    assert_eq!(evacuations.apply_list(at(10), COPY, &[], false), []);
    assert_eq!(evacuations.held(at(1000)).next(), Some((&hall(), left - (at(1000).since(at(0))))));
    assert_eq!(evacuations.expire(at(0) + left), [Change::Ended(hall())]);
}

/// Guards against an evacuation that operators ended, and that begins again because another node,
/// which has not heard of its end, still holds it.
#[test]
fn evacuation_that_ended_here_is_not_taken_over() {
    let mut evacuations = Evacuations::default();
    evacuations.put(at(0), COPY, &hall());
    evacuations.removed("hall-a");
    assert_eq!(evacuations.hold(at(100), COPY, &hall(), HOLD_TIME), None);
    // A state of a later era is another history.
    let later = Origin { era: 3, revision: 1 };
    let began = Some(Change::Began(hall()));
    assert_eq!(evacuations.hold(at(200), later, &hall(), HOLD_TIME), began);
}

/// Guards against a held evacuation that begins again at each node that ended it a moment before
/// the others.
#[test]
fn expired_hold_is_not_taken_over_again() {
    let mut evacuations = Evacuations::default();
    evacuations.hold(at(0), COPY, &hall(), HOLD_TIME);
    assert_eq!(evacuations.expire(at(0) + HOLD_TIME).len(), 1);
    assert_eq!(evacuations.hold(at(10_100), COPY, &hall(), HOLD_TIME / 20), None);
}
