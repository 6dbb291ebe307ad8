//! A non-idempotent request runs at most once, through whichever node it comes.

mod support;

use std::time::Duration;

use support::World;
use support::claim;
use support::query;
use support::service;

use fakes::platform::Fault;
use fakes::platform::Outage;
use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::caller::Cause;
use wire::caller::Execution;

#[tokio::test(flavor = "multi_thread")]
async fn resend_to_another_node_gets_the_same_answer() {
    let world = World::start(3, service()).await;
    let ticket = world.nodes[0].ticket().await;
    let asked = claim(1, Some(&ticket));
    let first = world.nodes[1].ask(&asked).await.expect("the minter runs it");
    assert_eq!(world.runs(1), 1);
    for node in &world.nodes {
        assert_eq!(node.ask(&asked).await.expect("it is known"), first);
    }
    assert_eq!(world.runs(1), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicates_in_flight_run_once() {
    let world = World::start(3, service()).await;
    let ticket = world.nodes[0].ticket().await;
    let asked = claim(1, Some(&ticket));
    world.fault("search-0-*", Action::Late { ms: 300, replies: None }).await;
    let [a, b, c] = &world.nodes[..] else { panic!("there are three") };
    let (x, y, z, w) = tokio::join!(a.ask(&asked), b.ask(&asked), c.ask(&asked), a.ask(&asked));
    let first = x.expect("it runs");
    for other in [y, z, w] {
        assert_eq!(other.expect("it is the same"), first);
    }
    assert_eq!(world.runs(1), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn misused_tickets_are_refused() {
    let world = World::start(1, service()).await;
    let node = &world.nodes[0];
    let refusal = node.ask(&claim(1, None)).await.expect_err("it has no ticket");
    assert_eq!((refusal.outcome, refusal.cause), (Execution::NotRun, Cause::NoTicket));
    assert!(refusal.message.contains("tickets="), "{refusal:?}");
    let ticket = node.ticket().await;
    node.ask(&claim(2, Some(&ticket))).await.expect("it runs");
    let refusal = node.ask(&claim(3, Some(&ticket))).await.expect_err("it is used");
    assert_eq!((refusal.outcome, refusal.cause), (Execution::NotRun, Cause::BadTicket));
    assert_eq!((world.runs(1), world.runs(2), world.runs(3)), (0, 1, 0));
}

/// The minter sleeps past the deadline with a request that no server took, wakes
/// when the servers would take it, and must not send it.
#[tokio::test(flavor = "multi_thread")]
async fn paused_minter_does_not_send() {
    let world = World::start(2, service()).await;
    let minter = &world.nodes[0];
    let ticket = minter.ticket().await;
    let mut asked = claim(1, Some(&ticket));
    asked.deadline_ms = Some(500);
    world.fault("search-0-*", Action::Shed { requests: 1_000_000 }).await;
    let refused = || world.fleet.stats().values().map(|stats| stats.refused).sum::<u64>();
    let before = refused();
    let sleep = async {
        eventually("the minter tries", async || refused() > before).await;
        minter.pause().await;
        // The deadline passes while it stands still; no verdict is in the time.
        tokio::time::sleep(Duration::from_millis(1000)).await;
        world.fault("search-0-*", Action::Heal).await;
        minter.go_on().await;
    };
    let (last, ()) = tokio::join!(minter.ask(&asked), sleep);
    let refusal = last.expect_err("its deadline has passed");
    assert_eq!(refusal.outcome, Execution::NotRun, "{refusal:?}");
    eventually("the minter works again", async || minter.ask(&query(2)).await.is_ok()).await;
    assert_eq!(world.runs(1), 0, "it was told as not run");
}

/// A request reaches a sleeping minter through another node, whose word is
/// "unknown"; gives back how often the woken minter ran it.
async fn forwarded_to_sleeper() -> usize {
    let world = World::start(2, service()).await;
    let ticket = world.nodes[0].ticket().await;
    let mut asked = claim(1, Some(&ticket));
    asked.deadline_ms = Some(500);
    let minter = &world.nodes[0];
    minter.pause().await;
    let refusal = world.nodes[1].ask(&asked).await.expect_err("the minter sleeps");
    assert_eq!(refusal.outcome, Execution::Unknown, "{refusal:?}");
    assert_eq!(world.runs(1), 0);
    minter.go_on().await;
    eventually("the minter works again", async || minter.ask(&query(2)).await.is_ok()).await;
    world.runs(1)
}

#[tokio::test(flavor = "multi_thread")]
async fn request_forwarded_to_a_sleeper_runs_at_most_once() {
    assert!(forwarded_to_sleeper().await <= 1);
}

/// The sleeper reads the request only after its deadline, so it must not send.
#[tokio::test(flavor = "multi_thread")]
async fn request_forwarded_to_a_sleeper_is_not_sent_late() {
    assert_eq!(forwarded_to_sleeper().await, 0, "the deadline had passed");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_minter_leaves_it_unknown() {
    let mut world = World::start(3, service()).await;
    let ticket = world.nodes[0].ticket().await;
    let asked = claim(1, Some(&ticket));
    world.nodes[1].ask(&asked).await.expect("the minter runs it");
    world.nodes[0].kill().await;
    for node in &world.nodes[1..] {
        let refusal = node.ask(&asked).await.expect_err("the minter is gone");
        assert_eq!(refusal.outcome, Execution::Unknown, "{refusal:?}");
    }
    assert_eq!(world.runs(1), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_does_not_stop_claims() {
    let world = World::start(2, service()).await;
    for outage in [Outage::Refuse, Outage::Hang] {
        world.platform.inject_fault(Fault { outage: Some(outage), ..Fault::default() });
        let number = 1 + outage as u64;
        let ticket = world.nodes[0].ticket().await;
        let asked = claim(number, Some(&ticket));
        let first = world.nodes[1].ask(&asked).await.expect("it runs without the platform");
        assert_eq!(world.nodes[0].ask(&asked).await.expect("it is known"), first);
        assert_eq!(world.runs(number), 1);
    }
}
