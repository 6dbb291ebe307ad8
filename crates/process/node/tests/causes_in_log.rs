//! The cause of a failed request can be found in the log by the request's id.

mod deployed;

use serde_json::Value;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::request;
use fakes::instance::Behavior;
use fakes::wait::eventually;

/// The lines with a request's id, once its outcome is logged.
async fn request_lines(node: &Node, id: &str) -> Vec<Value> {
    let matching =
        || -> Vec<Value> { node.log_lines().into_iter().filter(|line| line["id"] == id).collect() };
    let outcome = |line: &Value| line["part"] == "request";
    eventually("the outcome is logged", async || matching().iter().any(outcome)).await;
    matching()
}

fn outcome(lines: &[Value]) -> &Value {
    lines.iter().find(|line| line["part"] == "request").expect("an outcome")
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_request_logs_its_cause() {
    let cluster = Cluster::start();
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::Refuses));
    let node = cluster.start_ready_node().await;
    // Right after its start, a node has no retry budget yet.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    assert_eq!(node.send(request("r1", "POST", "/book/", "x")).await.status(), 503);
    let lines = request_lines(&node, "r1").await;
    let outcome = outcome(&lines);
    assert_eq!(outcome["event"], "refused, not run");
    assert_eq!(outcome["missing"], "plain refused");
    let refusals = lines.iter().filter(|line| line["why"] == "the server did not run it");
    assert!(refusals.count() >= 2, "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn partial_answer_logs_the_missing_shard() {
    let cluster = Cluster::start();
    cluster.servers_of("shard-b").for_each(|server| server.set_behavior(Behavior::MissingStamp));
    let node = cluster.start_ready_node().await;
    assert_eq!(node.send(request("p1", "GET", "/search/", "")).await.status(), 200);
    let lines = request_lines(&node, "p1").await;
    let outcome = outcome(&lines);
    assert_eq!(outcome["event"], "answered in part");
    assert_eq!(outcome["missing"], "shard-b failed");
    let attempt = |line: &&Value| line["why"] == "the reply has no proof";
    let server = lines.iter().find(attempt).expect("an attempt")["server"].to_string();
    assert!(server.contains("shard-b"), "{server}");
    // Each send to that shard is logged with the reasons for the choice of its server.
    let sends: Vec<&Value> = lines.iter().filter(|line| line["part"] == "choice").collect();
    assert_eq!(sends[0]["turn"], "first", "{sends:#?}");
    assert!(sends.iter().all(|send| send["service"] == "shard-b"), "{sends:#?}");
    assert!(sends.iter().all(|send| send["expected_ms"].is_u64()), "{sends:#?}");
    assert!(sends.iter().all(|send| send["replied_ms"].is_null()), "{sends:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_logs_the_server() {
    let cluster = Cluster::start();
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::ResetsAfterRun));
    let node = cluster.start_ready_node().await;
    assert_eq!(node.send(request("u1", "POST", "/book/", "x")).await.status(), 502);
    let lines = request_lines(&node, "u1").await;
    assert_eq!(outcome(&lines)["event"], "no answer, may have run");
    let attempts: Vec<&Value> = lines.iter().filter(|line| line["part"] == "attempt").collect();
    assert_eq!(attempts.len(), 1);
    assert_eq!(attempts[0]["end"], "unknown");
    assert!(attempts[0]["server"].as_str().is_some_and(|server| server.starts_with("plain-")));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_not_admitted_logs_why() {
    let cluster = Cluster::start();
    let node = cluster.start_node();
    eventually("the node listens", async || node.serves_metrics().await).await;
    assert_eq!(node.send(request("n1", "GET", "/search/", "")).await.status(), 503);
    let lines = request_lines(&node, "n1").await;
    assert_eq!(outcome(&lines)["why"], "no configuration is known yet");
    cluster.publish();
    node.wait_until_ready().await;
    assert_eq!(node.send(request("n2", "GET", "/nowhere/", "")).await.status(), 404);
    let lines = request_lines(&node, "n2").await;
    assert_eq!(outcome(&lines)["why"], "no route matches its host and path");
    assert_eq!(outcome(&lines)["version"], 3);
    let long = "x".repeat(2000);
    assert_eq!(node.send(request("n3", "POST", "/book/", &long)).await.status(), 413);
    let lines = request_lines(&node, "n3").await;
    assert_eq!(outcome(&lines)["why"], "its body is above the limit");
}

#[tokio::test(flavor = "multi_thread")]
async fn ejection_and_return_of_a_server_are_logged() {
    let cluster = Cluster::start();
    let failing = cluster.servers_of("plain").next().expect("a server");
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::ResetsAfterRun));
    let node = cluster.start_ready_node().await;
    let logged = |passed_over: bool| {
        let matches =
            |line: &Value| line["server"] == failing.id && line["passed_over"] == passed_over;
        node.log_lines().iter().any(matches)
    };
    let mut number = 0;
    eventually("the server is ejected", async || {
        number += 1;
        node.send(request(&format!("f{number}"), "POST", "/book/", "x")).await;
        logged(true)
    })
    .await;
    cluster.servers_of("plain").for_each(|server| server.set_behavior(Behavior::Healthy));
    eventually("the server is used again", async || {
        number += 1;
        node.send(request(&format!("f{number}"), "POST", "/book/", "x")).await;
        logged(false)
    })
    .await;
}
