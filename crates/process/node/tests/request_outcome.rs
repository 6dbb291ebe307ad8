//! A request without an answer gets a true last word: "not run" only if nothing
//! ran it.

mod support;

use std::time::Duration;

use support::World;
use support::claim;
use support::query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::caller::Cause;
use wire::caller::Execution;

/// How often a test looks that nothing comes after all.
const LOOKS: u32 = 30;
/// The pause between two such looks.
const LOOK: Duration = Duration::from_millis(20);

/// A service that values the tail is told at once: the deadline is later than
/// the limit that ends a hang.
#[tokio::test(flavor = "multi_thread")]
async fn shed_request_is_told_at_once_as_not_run() {
    shed("tail", 60_000).await;
}

/// A service that values coverage goes on trying until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn shed_request_is_told_at_its_deadline_as_not_run() {
    shed("coverage", 500).await;
}

async fn shed(value: &'static str, deadline_ms: u32) {
    let world = World::start_valuing(value, 1, service()).await;
    let node = &world.nodes[0];
    let ticket = node.ticket().await;
    world.fault("*", Action::Shed { requests: 1_000_000 }).await;
    let begun = || world.fleet.stats().values().map(|stats| stats.begun).sum::<u64>();
    let before = begun();
    for mut asked in [claim(1, Some(&ticket)), query(2)] {
        asked.deadline_ms = Some(deadline_ms);
        let refusal = node.ask(&asked).await.expect_err("nothing can run it");
        assert_eq!(refusal.outcome, Execution::NotRun, "{refusal:?}");
        assert!(refusal.retry_after_ms.is_some(), "{refusal:?}");
    }
    assert_eq!((world.runs(1), begun()), (0, before));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reply_is_told_as_unknown() {
    let world = World::start(2, service()).await;
    let ticket = world.nodes[0].ticket().await;
    world.fault("search-0-*", Action::Lose { replies: 1 }).await;
    let asked = claim(1, Some(&ticket));
    let refusal = world.nodes[0].ask(&asked).await.expect_err("its reply is lost");
    assert_eq!((refusal.outcome, refusal.cause), (Execution::Unknown, Cause::LostReply));
    assert_eq!(world.runs(1), 1);
    for node in &world.nodes {
        let refusal = node.ask(&asked).await.expect_err("its reply stays lost");
        assert_eq!(refusal.outcome, Execution::Unknown, "{refusal:?}");
    }
    assert_eq!(world.runs(1), 1, "it is never run again");
}

/// The caller leaves while all shards run: their attempts are cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_end_when_the_caller_leaves() {
    let world = World::start(1, service()).await;
    let node = &world.nodes[0];
    world.fault("*", Action::Slow { factor: 1_000_000.0 }).await;
    let running = || world.fleet.stats().values().map(|stats| stats.load).sum::<u64>();
    let cancels = || world.fleet.stats().values().map(|stats| stats.cancels).sum::<u64>();
    let before = cancels();
    let asked = query(1);
    tokio::select! {
        last = node.ask(&asked) => panic!("it can't be answered yet: {last:?}"),
        () = eventually("all shards run", async || running() == 3) => {}
    }
    eventually("all attempts are cancelled", async || running() == 0).await;
    assert!(cancels() >= before + 3);
    // Nothing is sent for it again, either.
    for _ in 0..LOOKS {
        assert_eq!(running(), 0);
        tokio::time::sleep(LOOK).await;
    }
}
