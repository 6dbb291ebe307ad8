//! A non-idempotent request runs at most once, whichever nodes receive it.

mod support;

use std::time::Duration;

use support::Cluster;
use support::non_idempotent_query;
use support::search_query;
use support::service;

use fakes::platform::Fault;
use fakes::platform::Outage;
use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::caller::Cause;
use wire::caller::Execution;

#[tokio::test(flavor = "multi_thread")]
async fn resend_to_another_node_gets_the_same_answer() {
    let cluster = Cluster::start(3, service()).await;
    let ticket = cluster.nodes[0].ticket().await;
    let query = non_idempotent_query(1, Some(&ticket));
    let first_answer = cluster.nodes[1].send(&query).await.expect("the minter runs it");
    assert_eq!(cluster.run_count(1), 1);
    for node in &cluster.nodes {
        assert_eq!(node.send(&query).await.expect("the minter has the answer"), first_answer);
    }
    assert_eq!(cluster.run_count(1), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicates_in_flight_run_once() {
    let cluster = Cluster::start(3, service()).await;
    let ticket = cluster.nodes[0].ticket().await;
    let query = non_idempotent_query(1, Some(&ticket));
    cluster.inject_fault("search-0-*", Action::Late { ms: 300, replies: None }).await;
    let [a, b, c] = &cluster.nodes[..] else { panic!("the cluster has three nodes") };
    let (x, y, z, w) = tokio::join!(a.send(&query), b.send(&query), c.send(&query), a.send(&query));
    let first_answer = x.expect("the request runs");
    for other in [y, z, w] {
        assert_eq!(other.expect("a duplicate gets the answer"), first_answer);
    }
    assert_eq!(cluster.run_count(1), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn misused_tickets_are_refused() {
    let cluster = Cluster::start(1, service()).await;
    let node = &cluster.nodes[0];
    let refusal =
        node.send(&non_idempotent_query(1, None)).await.expect_err("the query has no ticket");
    assert_eq!((refusal.outcome, refusal.cause), (Execution::NotRun, Cause::NoTicket));
    assert!(refusal.message.contains("tickets="), "{refusal:?}");
    let ticket = node.ticket().await;
    node.send(&non_idempotent_query(2, Some(&ticket))).await.expect("the request runs");
    let refusal =
        node.send(&non_idempotent_query(3, Some(&ticket))).await.expect_err("the ticket is used");
    assert_eq!((refusal.outcome, refusal.cause), (Execution::NotRun, Cause::BadTicket));
    assert_eq!((cluster.run_count(1), cluster.run_count(2), cluster.run_count(3)), (0, 1, 0));
}

/// The minter is paused past the deadline of a request that all servers have shed.
/// When it resumes, the servers would accept the request, but it must not send it.
#[tokio::test(flavor = "multi_thread")]
async fn paused_minter_does_not_send() {
    let cluster = Cluster::start(2, service()).await;
    let minter = &cluster.nodes[0];
    let ticket = minter.ticket().await;
    let mut query = non_idempotent_query(1, Some(&ticket));
    query.deadline_ms = Some(500);
    cluster.inject_fault("search-0-*", Action::Shed { requests: 1_000_000 }).await;
    let refused = || cluster.fleet.stats().values().map(|stats| stats.refused).sum::<u64>();
    let before = refused();
    let pause = async {
        eventually("the minter sends an attempt", async || refused() > before).await;
        minter.pause().await;
        // The deadline passes while the minter is paused; no check depends on how
        // long the pause takes.
        tokio::time::sleep(Duration::from_millis(1000)).await;
        cluster.inject_fault("search-0-*", Action::Heal).await;
        minter.resume().await;
    };
    let (result, ()) = tokio::join!(minter.send(&query), pause);
    let refusal = result.expect_err("the deadline has passed");
    assert_eq!(refusal.outcome, Execution::NotRun, "{refusal:?}, runs: {}", cluster.run_count(1));
    eventually("the minter answers again", async || minter.send(&search_query(2)).await.is_ok())
        .await;
    assert_eq!(cluster.run_count(1), 0, "it was reported as not run");
}

/// The minter is paused while the refusal of its only attempt is on its way. When it
/// resumes, the deadline has passed and the refusal has arrived: the request has not run,
/// and the caller may know it.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_that_arrives_during_a_pause_counts() {
    let cluster = Cluster::start(2, service()).await;
    let minter = &cluster.nodes[0];
    let ticket = minter.ticket().await;
    let mut query = non_idempotent_query(1, Some(&ticket));
    query.deadline_ms = Some(800);
    cluster.inject_fault("search-0-*", Action::Shed { requests: 1_000_000 }).await;
    cluster.inject_fault("search-0-*", Action::Late { ms: 400, replies: None }).await;
    let refused = || cluster.fleet.stats().values().map(|stats| stats.refused).sum::<u64>();
    let before = refused();
    let pause = async {
        eventually("the minter sends an attempt", async || refused() > before).await;
        minter.pause().await;
        tokio::time::sleep(Duration::from_millis(1200)).await;
        cluster.inject_fault("search-0-*", Action::Heal).await;
        minter.resume().await;
    };
    let (result, ()) = tokio::join!(minter.send(&query), pause);
    let refusal = result.expect_err("the deadline has passed");
    assert_eq!(refusal.outcome, Execution::NotRun, "{refusal:?}, runs: {}", cluster.run_count(1));
    eventually("the minter answers again", async || minter.send(&search_query(2)).await.is_ok())
        .await;
    assert_eq!(cluster.run_count(1), 0, "it was reported as not run");
}

/// Sends a request to a paused minter through another node, which reports the
/// outcome as unknown; returns how many times it ran after the minter resumed.
async fn runs_after_forward_to_paused_minter() -> usize {
    let cluster = Cluster::start(2, service()).await;
    let ticket = cluster.nodes[0].ticket().await;
    let mut query = non_idempotent_query(1, Some(&ticket));
    query.deadline_ms = Some(500);
    let minter = &cluster.nodes[0];
    minter.pause().await;
    let refusal = cluster.nodes[1].send(&query).await.expect_err("the minter is paused");
    assert_eq!(refusal.outcome, Execution::Unknown, "{refusal:?}");
    assert_eq!(cluster.run_count(1), 0);
    minter.resume().await;
    eventually("the minter answers again", async || minter.send(&search_query(2)).await.is_ok())
        .await;
    cluster.run_count(1)
}

#[tokio::test(flavor = "multi_thread")]
async fn request_forwarded_to_a_paused_minter_runs_at_most_once() {
    assert!(runs_after_forward_to_paused_minter().await <= 1);
}

/// The minter reads the request only after its deadline, so it must not send it.
#[tokio::test(flavor = "multi_thread")]
async fn request_forwarded_to_a_paused_minter_is_not_sent_after_its_deadline() {
    assert_eq!(runs_after_forward_to_paused_minter().await, 0, "the deadline had passed");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_minter_leaves_the_outcome_unknown() {
    let mut cluster = Cluster::start(3, service()).await;
    let ticket = cluster.nodes[0].ticket().await;
    let query = non_idempotent_query(1, Some(&ticket));
    cluster.nodes[1].send(&query).await.expect("the minter runs it");
    cluster.nodes[0].kill().await;
    for node in &cluster.nodes[1..] {
        let refusal = node.send(&query).await.expect_err("the minter was killed");
        assert_eq!(refusal.outcome, Execution::Unknown, "{refusal:?}");
    }
    assert_eq!(cluster.run_count(1), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_does_not_stop_non_idempotent_queries() {
    let cluster = Cluster::start(2, service()).await;
    for outage in [Outage::Refuse, Outage::Hang] {
        cluster.platform.inject_fault(Fault { outage: Some(outage), ..Fault::default() });
        let number = 1 + outage as u64;
        let ticket = cluster.nodes[0].ticket().await;
        let query = non_idempotent_query(number, Some(&ticket));
        let first_answer =
            cluster.nodes[1].send(&query).await.expect("the request runs without the platform");
        assert_eq!(
            cluster.nodes[0].send(&query).await.expect("the minter has the answer"),
            first_answer
        );
        assert_eq!(cluster.run_count(number), 1);
    }
}
