//! Connections that never answer again are found and replaced.

mod support;

use support::World;
use support::query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::caller::Query;

/// A query whose deadline is later than the limit that ends a hang, so that only
/// the replacement of its connections gets it answered.
fn patient(number: u64) -> Query {
    Query { deadline_ms: Some(60_000), ..query(number) }
}

/// All connections go silent under load; later queries are whole again.
async fn recovers(action: Action) {
    let world = World::start(2, service()).await;
    for node in &world.nodes {
        // Several connections to each server are warm before the fault.
        let warm = (0..8).map(async |number| node.ask(&query(number)).await);
        futures::future::join_all(warm).await;
    }
    world.fault("*", action).await;
    for node in &world.nodes {
        eventually("whole answers again", async || {
            let asked = (100..104).map(async |number| node.ask(&patient(number)).await);
            let told = futures::future::join_all(asked).await;
            told.iter().all(|last| last.as_ref().is_ok_and(|answer| answer.missing.is_empty()))
        })
        .await;
        for number in 200..210 {
            assert_eq!(node.honest(&patient(number), 3).await.covered, [0, 1, 2]);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    recovers(Action::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_connections_are_replaced() {
    recovers(Action::Drop).await;
}
