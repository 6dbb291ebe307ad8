//! One shard whose servers are all lost costs the others nothing.

use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::calls;
use fakes::upstream::Action;
use fakes::upstream::Fault;

mod fleet;

/// Searches asked at the same time, several rounds after one another.
const AT_ONCE: usize = 24;
const ROUNDS: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn other_shards_go_on() {
    let fleet = Fleet::start(1).await;
    let fault = Fault::new("search-1-*", Action::Kill);
    let body = serde_json::to_value(fault).expect("JSON");
    let put = calls::call(fleet.upstream.control_address(), "PUT", "/fault", &[], Some(body)).await;
    assert_eq!(put.expect("the control port answers").0, 200);
    let node = &fleet.nodes[0];
    // The first search waits until the node takes the shard's servers for lost.
    let first = node.query(calls::search("wait")).await.expect("answered");
    assert_eq!((first.0, &first.1["covered"]), (200, &json!([0])), "{}", first.1);
    for _ in 0..ROUNDS {
        let asks = (0..AT_ONCE).map(|_| node.query(calls::search("go on")));
        for answer in futures::future::join_all(asks).await {
            let (status, answer) = answer.expect("answered");
            assert_eq!((status, &answer["covered"]), (200, &json!([0])), "{answer}");
        }
    }
}
