//! An answer from any node covers exactly the shards that it lists, all from one
//! snapshot, whichever faults the upstream servers have.

mod support;

use support::Cluster;
use support::search_query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;

#[tokio::test(flavor = "multi_thread")]
async fn any_node_answers_completely_without_a_server() {
    let cluster = Cluster::start(3, service()).await;
    for node in &cluster.nodes {
        let answer = node.send_checked(&search_query(1), 3).await;
        assert_eq!(answer.covered, [0, 1, 2]);
    }
    cluster.inject_fault("search-1-0", Action::Kill).await;
    for number in 2..8 {
        for node in &cluster.nodes {
            let answer = node.send_checked(&search_query(number), 3).await;
            assert_eq!(answer.covered, [0, 1, 2], "{answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_shard_is_listed_as_missing() {
    let cluster = Cluster::start(1, service()).await;
    cluster.inject_fault("search-1-*", Action::Kill).await;
    let mut query = search_query(1);
    query.deadline_ms = Some(2000);
    let answer = cluster.nodes[0].send_checked(&query, 3).await;
    assert_eq!(answer.covered, [0, 2]);
    assert_eq!(answer.missing.len(), 1);
    assert_eq!(answer.missing[0].shard, 1);
}

/// The servers of one shard send invalid replies, one kind after the other:
/// retries get valid replies, and no invalid one is merged.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_replies_are_never_merged() {
    let cluster = Cluster::start(1, service()).await;
    let node = &cluster.nodes[0];
    let faults = [
        Action::Cut { replies: 1 },
        Action::Swap { replies: 1 },
        Action::Newer { replies: 1 },
        Action::Lose { replies: 1 },
    ];
    for (round, action) in faults.into_iter().enumerate() {
        cluster.inject_fault("search-1-*", action.clone()).await;
        for number in 0..12 {
            let answer = node.send_checked(&search_query(100 * round as u64 + number), 3).await;
            assert_eq!(answer.snapshot.version, 1, "after {action:?}: {answer:?}");
            assert!(answer.covered.contains(&0) && answer.covered.contains(&2), "{answer:?}");
        }
        cluster.inject_fault("*", Action::Heal).await;
    }
    eventually("a complete answer", async || {
        node.send_checked(&search_query(9999), 3).await.covered.len() == 3
    })
    .await;
}

/// All replicas of one shard send only invalid replies: the shard is missing.
#[tokio::test(flavor = "multi_thread")]
async fn shard_with_only_invalid_replies_is_missing() {
    let cluster = Cluster::start(1, service()).await;
    for action in [Action::Cut { replies: 10_000 }, Action::Newer { replies: 10_000 }] {
        cluster.inject_fault("search-2-*", action).await;
        let mut query = search_query(1);
        query.deadline_ms = Some(2000);
        let answer = cluster.nodes[0].send_checked(&query, 3).await;
        assert_eq!(answer.covered, [0, 1], "{answer:?}");
        assert_eq!(answer.snapshot.version, 1);
        cluster.inject_fault("*", Action::Heal).await;
    }
}
