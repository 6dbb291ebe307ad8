//! Server entries that drain, disappear, return and restart.

use std::sync::Arc;
use std::time::Duration;

use crate::support::entry;
use crate::support::incarnation;
use base::time::Time;
use site::fleet::Change;
use site::fleet::Event;
use site::fleet::Fleet;
use site::fleet::Settings;
use site::register::Entry;

mod support;

/// The time after which a draining server must get no more requests, and the
/// delay of the watch that reports it.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
const WATCH_DELAY: Duration = Duration::from_millis(700);

fn draining(id: &str, born: u64) -> Entry {
    Entry { draining: true, ..entry(id, born) }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn put(fleet: &mut Fleet, ms: u64, entry: Entry) -> Option<Change> {
    fleet.apply(at(ms), Event::Put(entry))
}

fn removed(fleet: &mut Fleet, ms: u64, id: &str) -> Option<Change> {
    fleet.apply(at(ms), Event::Removed(Arc::from(id)))
}

#[test]
fn draining_is_permanent() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 1));
    assert_eq!(put(&mut fleet, 1, draining("a", 1)), Some(Change::Leaving(incarnation("a", 1))));
    // A stale list shows it as ready again.
    assert_eq!(put(&mut fleet, 2, entry("a", 1)), None);
    assert!(fleet.apply_list(at(3), vec![entry("a", 1)]).is_empty());
    assert!(fleet.is_empty());
}

#[test]
fn new_incarnation_of_a_drained_id_gets_requests() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, draining("a", 1));
    let again = entry("a", 2);
    assert_eq!(put(&mut fleet, 1, again.clone()), Some(Change::Up(again)));
}

#[test]
fn late_write_of_an_earlier_incarnation_is_ignored() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 2));
    assert_eq!(put(&mut fleet, 1, entry("a", 1)), None);
    let kept: Vec<u64> = fleet.entries().map(|entry| entry.incarnation.born).collect();
    assert_eq!(kept, [2]);
}

#[test]
fn missing_entry_is_removed_within_the_bound() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 1));
    assert_eq!(removed(&mut fleet, 100, "a"), Some(Change::Lapsing(incarnation("a", 1))));
    assert!(fleet.expire(at(200)).is_empty());
    let due = fleet.next_expiry().expect("a removal is due");
    assert!(due.since(at(100)) + WATCH_DELAY < DRAIN_BOUND);
    assert_eq!(fleet.expire(due), [Change::Gone(incarnation("a", 1))]);
    assert!(fleet.is_empty());
}

#[test]
fn missing_entry_that_returns_is_kept() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 1));
    removed(&mut fleet, 100, "a");
    assert_eq!(put(&mut fleet, 1500, entry("a", 1)), Some(Change::Up(entry("a", 1))));
    assert!(fleet.expire(at(60_000)).is_empty());
}

#[test]
fn entries_have_time_to_return_after_an_outage() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 1));
    fleet.outage_ended(at(10_000));
    let changes = fleet.apply_list(at(10_000), Vec::new());
    assert_eq!(changes, [Change::Lapsing(incarnation("a", 1))]);
    // Servers register again within two seconds of the end of an outage.
    assert!(fleet.expire(at(12_000)).is_empty());
    assert_eq!(fleet.expire(at(13_000)), [Change::Gone(incarnation("a", 1))]);
}

/// Guards against a removal that counts from when this node hears of it: a node that waits for
/// another one hears of it late.
#[test]
fn removal_that_is_heard_of_late_is_due_in_time() {
    let settings = Settings::default();
    let mut fleet = Fleet::new(settings);
    put(&mut fleet, 0, entry("a", 1));
    fleet.confirm(at(10_000));
    removed(&mut fleet, 12_000, "a");
    assert_eq!(fleet.next_expiry(), Some(at(10_000) + settings.removal_limit));
    put(&mut fleet, 12_100, entry("a", 1));
    removed(&mut fleet, 14_000, "a");
    assert_eq!(fleet.expire(at(14_000)), [Change::Gone(incarnation("a", 1))]);
}

/// An entry that may have expired in an outage has time to return, whatever was confirmed before.
#[test]
fn removal_in_an_outage_is_not_hastened() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 1));
    fleet.confirm(at(1000));
    fleet.outage_ended(at(10_000));
    fleet.apply_list(at(10_000), Vec::new());
    assert!(fleet.expire(at(12_000)).is_empty());
    // After the registry has confirmed the entries again, they are removed in time.
    put(&mut fleet, 12_000, entry("a", 1));
    fleet.confirm(at(12_000));
    removed(&mut fleet, 14_000, "a");
    assert_eq!(fleet.expire(at(14_600)), [Change::Gone(incarnation("a", 1))]);
}

#[test]
fn repeated_removal_does_not_extend_the_delay() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 1));
    removed(&mut fleet, 100, "a");
    let due = fleet.next_expiry();
    assert_eq!(removed(&mut fleet, 1500, "a"), None);
    assert_eq!(fleet.next_expiry(), due);
}

#[test]
fn servers_absent_from_a_list_are_missing() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 1));
    let changes = fleet.apply_list(at(1), vec![entry("b", 1)]);
    assert_eq!(changes, [Change::Up(entry("b", 1)), Change::Lapsing(incarnation("a", 1))]);
}

#[test]
fn late_draining_entry_of_an_earlier_incarnation_is_ignored() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 2));
    assert_eq!(put(&mut fleet, 1, draining("a", 1)), None);
    assert_eq!(fleet.len(), 1);
}

#[test]
fn late_write_of_an_earlier_incarnation_does_not_cancel_a_removal() {
    let mut fleet = Fleet::new(Settings::default());
    put(&mut fleet, 0, entry("a", 2));
    removed(&mut fleet, 100, "a");
    put(&mut fleet, 200, entry("a", 1));
    assert_eq!(fleet.expire(at(10_000)), [Change::Gone(incarnation("a", 2))]);
}

/// Servers come and go for as long as a node runs.
#[test]
fn drained_servers_are_forgotten_in_the_end() {
    let mut fleet = Fleet::new(Settings::default());
    for number in 0..1000 {
        let id = format!("s{number}");
        put(&mut fleet, number * 1000, draining(&id, 1));
        fleet.expire(at(number * 1000));
    }
    assert_eq!(put(&mut fleet, 999_000, entry("s999", 1)), None);
    assert!(fleet.drained_count() < 700, "{} are kept", fleet.drained_count());
}
