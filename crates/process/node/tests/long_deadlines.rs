//! One caller that waits much longer than the others of its route.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::http::HeaderValue;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::header;
use crate::deployed::request;
use fakes::instance::Behavior;

mod deployed;

/// Less than the latency objective of the route, which is 2 s.
const SERVICE_TIME: Duration = Duration::from_millis(300);

fn search(id: &str, deadline: &'static str) -> Request<Full<Bytes>> {
    let mut request = request(id, "GET", "/search/x", "");
    request.headers_mut().insert("heatherseam-deadline-ms", HeaderValue::from_static(deadline));
    request
}

/// The number of shards that the answer to a search lacks.
async fn missing(node: &Node, id: &str, deadline: &'static str) -> String {
    let answer = node.send(search(id, deadline)).await;
    assert_eq!(answer.status(), 200);
    header(&answer, "heatherseam-missing-parts").to_owned()
}

/// Guards against a caller with a long deadline that counts as the usual one of its route: the
/// searches of the others then count as late retries and are answered without slower shards.
#[tokio::test(flavor = "multi_thread")]
async fn caller_with_a_long_deadline_costs_the_others_no_coverage() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    for number in 0..5 {
        node.send(search(&format!("w{number}"), "4000")).await;
    }
    let slow = Behavior::Slow(SERVICE_TIME);
    cluster.servers_of("shard-c").for_each(|server| server.set_behavior(slow));
    assert_eq!(missing(&node, "before", "4000").await, "0");
    node.send(search("long", "600000")).await;
    let mut lacking = 0;
    for number in 0..5 {
        lacking += usize::from(missing(&node, &format!("a{number}"), "4000").await != "0");
    }
    assert_eq!(lacking, 0, "{lacking} of 5 searches lack a shard");
}
