//! Connections on which servers stop answering are detected and replaced.

mod support;

use support::Cluster;
use support::search_query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::caller::Query;

/// A query whose deadline is later than the timeout that ends a hung test, so that
/// it is answered only if its connections are replaced.
fn query_with_late_deadline(number: u64) -> Query {
    Query { deadline_ms: Some(60_000), ..search_query(number) }
}

/// Applies `action` to all connections under load; later queries must be answered
/// completely again.
async fn assert_connections_replaced(action: Action) {
    let cluster = Cluster::start(2, service()).await;
    for node in &cluster.nodes {
        // Opens several connections to each server before the fault.
        let warm_up = (0..8).map(async |number| node.send(&search_query(number)).await);
        futures::future::join_all(warm_up).await;
    }
    cluster.inject_fault("*", action).await;
    for node in &cluster.nodes {
        eventually("complete answers again", async || {
            let queries =
                (100..104).map(async |number| node.send(&query_with_late_deadline(number)).await);
            let results = futures::future::join_all(queries).await;
            results
                .iter()
                .all(|result| result.as_ref().is_ok_and(|answer| answer.missing.is_empty()))
        })
        .await;
        for number in 200..210 {
            assert_eq!(
                node.send_checked(&query_with_late_deadline(number), 3).await.covered,
                [0, 1, 2]
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    assert_connections_replaced(Action::Silent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_connections_are_replaced() {
    assert_connections_replaced(Action::Drop).await;
}
