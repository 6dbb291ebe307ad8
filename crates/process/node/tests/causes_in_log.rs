//! The cause of a failed request, read back from the log by its id alone.

mod deployed;

use serde_json::Value;

use crate::deployed::Node;
use crate::deployed::World;
use crate::deployed::request;
use fakes::instance::Behavior;
use fakes::wait::eventually;

/// The lines that name a request, once its outcome is told.
async fn lines(node: &Node, id: &str) -> Vec<Value> {
    let named =
        || -> Vec<Value> { node.log().into_iter().filter(|line| line["id"] == id).collect() };
    let outcome = |line: &Value| line["part"] == "request";
    eventually("the outcome is told", async || named().iter().any(outcome)).await;
    named()
}

fn outcome(lines: &[Value]) -> &Value {
    lines.iter().find(|line| line["part"] == "request").expect("an outcome")
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_request_names_its_cause() {
    let world = World::start();
    world.of("plain").for_each(|shard| shard.set_behavior(Behavior::Refuses));
    let node = world.ready_node().await;
    // A node that has just started has no budget for a second server yet.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    assert_eq!(node.send(request("r1", "POST", "/book/", "x")).await.status(), 503);
    let lines = lines(&node, "r1").await;
    let outcome = outcome(&lines);
    assert_eq!(outcome["event"], "refused, not run");
    assert_eq!(outcome["missing"], "plain refused");
    let refusals = lines.iter().filter(|line| line["why"] == "the server did not run it");
    assert!(refusals.count() >= 2, "{lines:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn partial_answer_names_the_missing_shard() {
    let world = World::start();
    world.of("shard-b").for_each(|shard| shard.set_behavior(Behavior::WrongStamp));
    let node = world.ready_node().await;
    assert_eq!(node.send(request("p1", "GET", "/search/", "")).await.status(), 200);
    let lines = lines(&node, "p1").await;
    let outcome = outcome(&lines);
    assert_eq!(outcome["event"], "answered in part");
    assert_eq!(outcome["missing"], "shard-b failed");
    let attempt = |line: &&Value| line["why"] == "the reply has no proof";
    let server = lines.iter().find(attempt).expect("an attempt")["server"].to_string();
    assert!(server.contains("shard-b"), "{server}");
    // Each send to that shard, with what decided it.
    let sends: Vec<&Value> = lines.iter().filter(|line| line["part"] == "choice").collect();
    assert_eq!(sends[0]["turn"], "first", "{sends:#?}");
    assert!(sends.iter().all(|send| send["service"] == "shard-b"), "{sends:#?}");
    assert!(sends.iter().all(|send| send["expected_ms"].is_u64()), "{sends:#?}");
    assert!(sends.iter().all(|send| send["replied_ms"].is_null()), "{sends:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_names_the_server() {
    let world = World::start();
    world.of("plain").for_each(|shard| shard.set_behavior(Behavior::ResetsAfterRun));
    let node = world.ready_node().await;
    assert_eq!(node.send(request("u1", "POST", "/book/", "x")).await.status(), 502);
    let lines = lines(&node, "u1").await;
    assert_eq!(outcome(&lines)["event"], "no answer, may have run");
    let attempts: Vec<&Value> = lines.iter().filter(|line| line["part"] == "attempt").collect();
    assert_eq!(attempts.len(), 1);
    assert_eq!(attempts[0]["end"], "unknown");
    assert!(attempts[0]["server"].as_str().is_some_and(|server| server.starts_with("plain-")));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_not_admitted_names_why() {
    let world = World::start();
    let node = world.node();
    eventually("it listens", async || node.metrics_answer().await).await;
    assert_eq!(node.send(request("n1", "GET", "/search/", "")).await.status(), 503);
    let told = lines(&node, "n1").await;
    assert_eq!(outcome(&told)["why"], "no configuration is known yet");
    world.publish();
    node.ready().await;
    assert_eq!(node.send(request("n2", "GET", "/nowhere/", "")).await.status(), 404);
    let told = lines(&node, "n2").await;
    assert_eq!(outcome(&told)["why"], "no route matches its host and path");
    assert_eq!(outcome(&told)["version"], 3);
    let long = "x".repeat(2000);
    assert_eq!(node.send(request("n3", "POST", "/book/", &long)).await.status(), 413);
    let told = lines(&node, "n3").await;
    assert_eq!(outcome(&told)["why"], "its body is above the limit");
}

#[tokio::test(flavor = "multi_thread")]
async fn server_that_is_passed_over_and_back_is_told() {
    let world = World::start();
    let failing = world.of("plain").next().expect("a server");
    world.of("plain").for_each(|server| server.set_behavior(Behavior::ResetsAfterRun));
    let node = world.ready_node().await;
    let told = |passed_over: bool| {
        let of = |line: &Value| line["server"] == failing.id && line["passed_over"] == passed_over;
        node.log().iter().any(of)
    };
    let mut number = 0;
    eventually("it is passed over", async || {
        number += 1;
        node.send(request(&format!("f{number}"), "POST", "/book/", "x")).await;
        told(true)
    })
    .await;
    world.of("plain").for_each(|server| server.set_behavior(Behavior::Healthy));
    eventually("it is back", async || {
        number += 1;
        node.send(request(&format!("f{number}"), "POST", "/book/", "x")).await;
        told(false)
    })
    .await;
}
