//! A shard whose servers have all failed doesn't affect the other shards.

use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::calls;
use fakes::upstream::Action;
use fakes::upstream::Fault;

mod fleet;

/// The number of concurrent searches in each round.
const CONCURRENT_SEARCHES: usize = 24;
const ROUNDS: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn other_shards_are_unaffected() {
    let fleet = Fleet::start(1).await;
    let fault = Fault::new("search-1-*", Action::Kill);
    let body = serde_json::to_value(fault).expect("JSON");
    let put = calls::call(fleet.upstream.control_address(), "PUT", "/fault", &[], Some(body)).await;
    assert_eq!(put.expect("the control port answers").0, 200);
    let node = &fleet.nodes[0];
    // The first search waits until the node considers the shard's servers failed.
    let first = node.query(calls::search("wait")).await.expect("answered");
    assert_eq!((first.0, &first.1["covered"]), (200, &json!([0])), "{}", first.1);
    for _ in 0..ROUNDS {
        let queries = (0..CONCURRENT_SEARCHES).map(|_| node.query(calls::search("go on")));
        for answer in futures::future::join_all(queries).await {
            let (status, answer) = answer.expect("answered");
            assert_eq!((status, &answer["covered"]), (200, &json!([0])), "{answer}");
        }
    }
}
