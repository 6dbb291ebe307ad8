//! The changes that a node passes on to those that follow it.

use std::sync::Arc;

use entry::feed::Feed;
use entry::feed::Since;
use entry::registry::Batch;
use entry::registry::Event;

fn batch(revision: u64) -> Batch {
    Batch { events: vec![Event::Removed(Arc::from(format!("s{revision}")))], revision }
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
    assert_eq!(names(feed.since(Some(10))), ["s12", "s15"]);
    assert_eq!(names(feed.since(Some(12))), ["s15"]);
    assert_eq!(feed.since(Some(15)), Since::Nothing);
}

#[test]
fn follower_without_a_state_gets_a_list() {
    let mut feed = Feed::new(8);
    assert_eq!(feed.since(None), Since::Nothing);
    feed.record(&batch(10), true);
    assert_eq!(feed.since(None), Since::List { revision: 10 });
    assert_eq!(feed.since(Some(3)), Since::List { revision: 10 });
}

#[test]
fn follower_that_missed_dropped_changes_gets_a_list() {
    let mut feed = Feed::new(2);
    feed.record(&batch(1), true);
    (2..6).for_each(|revision| feed.record(&batch(revision), false));
    assert_eq!(feed.since(Some(2)), Since::List { revision: 5 });
    assert_eq!(names(feed.since(Some(3))), ["s4", "s5"]);
}

#[test]
fn older_batches_are_ignored() {
    let mut feed = Feed::new(8);
    feed.record(&batch(10), true);
    feed.record(&batch(7), false);
    feed.record(&batch(8), true);
    assert_eq!(feed.revision(), Some(10));
    assert_eq!(feed.since(Some(9)), Since::List { revision: 10 });
}

/// A follower that is ahead of the node that it asks gets nothing, so its state does not go
/// back.
#[test]
fn follower_that_is_ahead_gets_nothing() {
    let mut feed = Feed::new(8);
    feed.record(&batch(10), true);
    assert_eq!(feed.since(Some(11)), Since::Nothing);
}
