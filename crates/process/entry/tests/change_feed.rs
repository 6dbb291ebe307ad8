//! The changes that a node passes on to those that follow it.

use std::sync::Arc;

use entry::feed::Feed;
use entry::feed::Since;
use entry::registry::Batch;
use entry::registry::Event;
use entry::revision::Revision;

fn revision(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn batch(number: u64) -> Batch {
    batch_of(0, number)
}

fn batch_of(era: u64, number: u64) -> Batch {
    let events = vec![Event::Removed(Arc::from(format!("s{number}")))];
    Batch { events, revision: revision(era, number) }
}

fn names(since: Since) -> Vec<String> {
    let Since::Changes(batch) = since else { return vec![format!("{since:?}")] };
    let name = |event: Event| match event {
        Event::Removed(name) => name.to_string(),
        other => format!("{other:?}"),
    };
    batch.events.into_iter().map(name).collect()
}

#[test]
fn later_changes_are_returned() {
    let mut feed = Feed::new(8);
    feed.record(&batch(10), true);
    feed.record(&batch(12), false);
    feed.record(&batch(15), false);
    assert_eq!(names(feed.since(Some(revision(0, 10)))), ["s12", "s15"]);
    assert_eq!(names(feed.since(Some(revision(0, 12)))), ["s15"]);
    assert_eq!(feed.since(Some(revision(0, 15))), Since::Nothing);
}

#[test]
fn follower_without_a_state_gets_a_list() {
    let mut feed = Feed::new(8);
    assert_eq!(feed.since(None), Since::Nothing);
    feed.record(&batch(10), true);
    assert_eq!(feed.since(None), Since::List { revision: revision(0, 10) });
    assert_eq!(feed.since(Some(revision(0, 3))), Since::List { revision: revision(0, 10) });
}

#[test]
fn follower_that_missed_dropped_changes_gets_a_list() {
    let mut feed = Feed::new(2);
    feed.record(&batch(1), true);
    (2..6).for_each(|number| feed.record(&batch(number), false));
    assert_eq!(feed.since(Some(revision(0, 2))), Since::List { revision: revision(0, 5) });
    assert_eq!(names(feed.since(Some(revision(0, 3)))), ["s4", "s5"]);
}

#[test]
fn older_batches_are_ignored() {
    let mut feed = Feed::new(8);
    feed.record(&batch(10), true);
    feed.record(&batch(7), false);
    feed.record(&batch(8), true);
    assert_eq!(feed.revision(), Some(revision(0, 10)));
    assert_eq!(feed.since(Some(revision(0, 9))), Since::List { revision: revision(0, 10) });
}

/// A follower that is ahead of the node that it asks gets nothing, so its state does not go
/// back.
#[test]
fn follower_that_is_ahead_gets_nothing() {
    let mut feed = Feed::new(8);
    feed.record(&batch(10), true);
    assert_eq!(feed.since(Some(revision(0, 11))), Since::Nothing);
}

/// Guards against a state from before a return of the registry that counts as newer than the
/// one after it, or is continued by changes, because its revision has a higher number.
#[test]
fn state_of_a_later_era_replaces_one_with_a_higher_number() {
    let mut feed = Feed::new(8);
    feed.record(&batch_of(1, 110), true);
    feed.record(&batch_of(2, 104), true);
    feed.record(&batch_of(2, 112), false);
    assert_eq!(feed.revision(), Some(revision(2, 112)));
    assert_eq!(feed.since(Some(revision(1, 110))), Since::List { revision: revision(2, 112) });
    assert_eq!(names(feed.since(Some(revision(2, 104)))), ["s112"]);
    feed.record(&batch_of(1, 200), true);
    assert_eq!(feed.revision(), Some(revision(2, 112)));
}
