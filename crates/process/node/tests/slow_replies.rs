//! A service that prefers coverage waits for slow replies up to the deadline.

use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::calls;
use fakes::upstream::Action;
use fakes::upstream::Fault;

mod fleet;

#[tokio::test(flavor = "multi_thread")]
async fn slow_replies_are_awaited() {
    let fleet = Fleet::start(1).await;
    let fault = Fault::new("*", Action::Late { ms: 1000, replies: None });
    let body = serde_json::to_value(fault).expect("JSON");
    let put = calls::call(fleet.upstream.control_address(), "PUT", "/fault", &[], Some(body)).await;
    assert_eq!(put.expect("the control port answers").0, 200);
    let (status, answer) = fleet.nodes[0].query(calls::search("slow")).await.expect("answered");
    assert_eq!((status, &answer["covered"]), (200, &json!([0, 1])), "{answer}");
}
