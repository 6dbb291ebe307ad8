//! A request without an answer gets a correct outcome: "not run" only if no
//! server ran it.

mod support;

use std::time::Duration;

use support::Cluster;
use support::non_idempotent_query;
use support::search_query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::caller::Cause;
use wire::caller::Execution;

/// How many times a test checks that no server runs a request.
const IDLE_CHECKS: u32 = 30;
/// The pause between two such checks.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);

/// A service that prefers a short tail latency gets the refusal at once: the
/// deadline is later than the timeout that ends a hung test.
#[tokio::test(flavor = "multi_thread")]
async fn shed_request_is_refused_at_once_as_not_run() {
    assert_not_run_when_shed("tail", 60_000).await;
}

/// A service that prefers coverage is retried until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn shed_request_is_refused_at_its_deadline_as_not_run() {
    assert_not_run_when_shed("coverage", 500).await;
}

async fn assert_not_run_when_shed(preference: &'static str, deadline_ms: u32) {
    let cluster = Cluster::start_with_preference(preference, 1, service()).await;
    let node = &cluster.nodes[0];
    let ticket = node.ticket().await;
    cluster.inject_fault("*", Action::Shed { requests: 1_000_000 }).await;
    let begun = || cluster.fleet.stats().values().map(|stats| stats.begun).sum::<u64>();
    let before = begun();
    for mut query in [non_idempotent_query(1, Some(&ticket)), search_query(2)] {
        query.deadline_ms = Some(deadline_ms);
        let refusal = node.send(&query).await.expect_err("all servers shed it");
        assert_eq!(refusal.outcome, Execution::NotRun, "{refusal:?}");
        assert!(refusal.retry_after_ms.is_some(), "{refusal:?}");
    }
    assert_eq!((cluster.run_count(1), begun()), (0, before));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reply_is_reported_as_unknown() {
    let cluster = Cluster::start(2, service()).await;
    let ticket = cluster.nodes[0].ticket().await;
    cluster.inject_fault("search-0-*", Action::Lose { replies: 1 }).await;
    let query = non_idempotent_query(1, Some(&ticket));
    let refusal = cluster.nodes[0].send(&query).await.expect_err("the reply is lost");
    assert_eq!((refusal.outcome, refusal.cause), (Execution::Unknown, Cause::LostReply));
    assert_eq!(cluster.run_count(1), 1);
    for node in &cluster.nodes {
        let refusal = node.send(&query).await.expect_err("the outcome stays unknown");
        assert_eq!(refusal.outcome, Execution::Unknown, "{refusal:?}");
    }
    assert_eq!(cluster.run_count(1), 1, "it is never run again");
}

/// The caller leaves while all shards run: their attempts are cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_end_when_the_caller_leaves() {
    let cluster = Cluster::start(1, service()).await;
    let node = &cluster.nodes[0];
    cluster.inject_fault("*", Action::Slow { factor: 1_000_000.0 }).await;
    let running = || cluster.fleet.stats().values().map(|stats| stats.load).sum::<u64>();
    let cancels = || cluster.fleet.stats().values().map(|stats| stats.cancels).sum::<u64>();
    let before = cancels();
    let query = search_query(1);
    tokio::select! {
        result = node.send(&query) => panic!("answered before the servers finished: {result:?}"),
        () = eventually("all shards run", async || running() == 3) => {}
    }
    eventually("all attempts are cancelled", async || running() == 0).await;
    assert!(cancels() >= before + 3);
    // No shard is retried for the request afterwards.
    for _ in 0..IDLE_CHECKS {
        assert_eq!(running(), 0);
        tokio::time::sleep(IDLE_INTERVAL).await;
    }
}
