//! An answer covers what it says, from one snapshot, through any node, whatever
//! upstream servers do.

mod support;

use support::World;
use support::query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;

#[tokio::test(flavor = "multi_thread")]
async fn any_node_answers_whole_without_a_server() {
    let world = World::start(3, service()).await;
    for node in &world.nodes {
        let answer = node.honest(&query(1), 3).await;
        assert_eq!(answer.covered, [0, 1, 2]);
    }
    world.fault("search-1-0", Action::Kill).await;
    for number in 2..8 {
        for node in &world.nodes {
            let answer = node.honest(&query(number), 3).await;
            assert_eq!(answer.covered, [0, 1, 2], "{answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_shard_is_named() {
    let world = World::start(1, service()).await;
    world.fault("search-1-*", Action::Kill).await;
    let mut asked = query(1);
    asked.deadline_ms = Some(2000);
    let answer = world.nodes[0].honest(&asked, 3).await;
    assert_eq!(answer.covered, [0, 2]);
    assert_eq!(answer.missing.len(), 1);
    assert_eq!(answer.missing[0].shard, 1);
}

/// Bad replies of one group, one kind after the other; the retries find whole
/// ones, and nothing bad is merged.
#[tokio::test(flavor = "multi_thread")]
async fn bad_replies_are_never_merged() {
    let world = World::start(1, service()).await;
    let node = &world.nodes[0];
    let faults = [
        Action::Cut { replies: 1 },
        Action::Swap { replies: 1 },
        Action::Newer { replies: 1 },
        Action::Lose { replies: 1 },
    ];
    for (round, action) in faults.into_iter().enumerate() {
        world.fault("search-1-*", action.clone()).await;
        for number in 0..12 {
            let answer = node.honest(&query(100 * round as u64 + number), 3).await;
            assert_eq!(answer.snapshot.version, 1, "after {action:?}: {answer:?}");
            assert!(answer.covered.contains(&0) && answer.covered.contains(&2), "{answer:?}");
        }
        world.fault("*", Action::Heal).await;
    }
    eventually("a whole answer", async || node.honest(&query(9999), 3).await.covered.len() == 3)
        .await;
}

/// All replicas of one shard only ever give bad replies: it is missing.
#[tokio::test(flavor = "multi_thread")]
async fn shard_of_bad_replies_is_missing() {
    let world = World::start(1, service()).await;
    for action in [Action::Cut { replies: 10_000 }, Action::Newer { replies: 10_000 }] {
        world.fault("search-2-*", action).await;
        let mut asked = query(1);
        asked.deadline_ms = Some(2000);
        let answer = world.nodes[0].honest(&asked, 3).await;
        assert_eq!(answer.covered, [0, 1], "{answer:?}");
        assert_eq!(answer.snapshot.version, 1);
        world.fault("*", Action::Heal).await;
    }
}
