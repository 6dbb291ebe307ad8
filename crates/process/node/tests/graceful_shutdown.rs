//! A graceful shutdown cuts off or refuses no request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::LOOKUP_TTL_MS;
use crate::fleet::calls;
use crate::fleet::load::Load;
use crate::fleet::load::Results;
use crate::fleet::node::Node;
use fakes::http::Connection;
use fakes::platform::Outage;
use fakes::upstream::Action;
use fakes::upstream::Fault;
use fakes::wait::eventually;
use fakes::wait::with_timeout;

mod fleet;

/// The number of callers of a load.
const CALLER_COUNT: usize = 6;

/// Delays the replies of these servers, so that requests are in flight when a
/// shutdown begins.
async fn delay_replies(fleet: &Fleet, servers: &str, ms: u64) {
    let fault = Fault::new(servers, Action::Late { ms, replies: None });
    let body = serde_json::to_value(fault).expect("JSON");
    let put = calls::call(fleet.upstream.control_address(), "PUT", "/fault", &[], Some(body)).await;
    assert_eq!(put.expect("the control port answers").0, 200);
}

/// Tickets that this node mints.
async fn tickets(node: &Node, count: usize) -> Vec<String> {
    let answer = node.get(&format!("/v1/entries?tickets={count}")).await;
    let tickets = answer["block"]["tickets"].as_array().expect("tickets");
    tickets.iter().map(|ticket| ticket.as_str().expect("a ticket").to_owned()).collect()
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.nodes.iter().map(|node| node.caller).collect()
}

/// Waits until the load has received this many more complete answers.
async fn wait_for_answers(load: &Load, more: u64) {
    let target = load.complete_answers() + more;
    eventually("more answers under load", async || load.complete_answers() >= target).await;
}

fn assert_no_failures(results: &Results) {
    assert!(results.complete > 0);
    assert!(results.failed.is_empty(), "failed: {:#?}", results.failed);
    assert!(results.unexpected.is_empty(), "refused or partial: {:#?}", results.unexpected);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_on_a_busy_connection_are_answered() {
    let mut fleet = Fleet::start(4).await;
    delay_replies(&fleet, "search-0-*", 1500).await;
    let mut leaving = fleet.nodes.pop().expect("a node");
    let mut busy = Connection::open(leaving.caller).await.expect("accepted");
    let slow: Vec<_> = (0..3)
        .zip(tickets(&leaving, 3).await)
        .map(|(number, ticket)| {
            leaving.query(calls::non_idempotent_query(&format!("slow {number}"), &ticket))
        })
        .collect();
    let slow = futures::future::join_all(slow);
    let send_search = async |busy: &mut Connection| {
        let mut query = calls::search("busy");
        query["shards"] = json!([1]);
        let request = calls::request("POST", "/v1/query", &[], Some(query));
        let answer = busy.send(request).await.expect("not cut off");
        assert_eq!(answer.status(), 200, "{:?}", answer.body());
        answer.headers().get("connection").is_some_and(|value| value == "close")
    };
    // The caller sends on one connection until a response announces that it closes.
    // The signal comes twice while its requests are in flight.
    let signals = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        leaving.signal("TERM");
        tokio::time::sleep(Duration::from_millis(100)).await;
        leaving.signal("TERM");
    };
    let searches = with_timeout("a response announces the close", async {
        while !send_search(&mut busy).await {}
    });
    let (slow, (), ()) = tokio::join!(slow, signals, searches);
    for answer in slow {
        let (status, answer) = answer.expect("not cut off");
        assert_eq!((status, &answer["covered"]), (200, &json!([0])), "{answer}");
    }
    fleet
        .wait_on_all("the lookup excludes the node", async |node| {
            !node.may_list(leaving.caller).await
        })
        .await;
    assert!(leaving.wait_for_exit().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_node_excludes_itself_from_its_lookup() {
    let mut fleet = Fleet::start(3).await;
    let mut leaving = fleet.nodes.pop().expect("a node");
    // A long request keeps the process running, so that its lookup can be read.
    delay_replies(&fleet, "search-0-*", 3000).await;
    let ticket = tickets(&leaving, 1).await.remove(0);
    let request = leaving.query(calls::non_idempotent_query("long", &ticket));
    let shutdown = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        leaving.signal("TERM");
        eventually("its lookup excludes itself", async || {
            let addresses = leaving.lookup_addresses().await;
            !addresses.is_empty() && !addresses.contains(&leaving.caller.to_string())
        })
        .await;
    };
    let (answer, ()) = tokio::join!(request, shutdown);
    let (status, answer) = answer.expect("not cut off");
    assert_eq!(status, 200, "{answer}");
    assert!(leaving.wait_for_exit().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn lookup_stays_usable_for_its_ttl() {
    let mut fleet = Fleet::start(3).await;
    let mut leaving = fleet.nodes.pop().expect("a node");
    // Callers may use the lookup until its TTL expires, also on new connections.
    let looked_up = Instant::now();
    assert!(leaving.may_list(leaving.caller).await);
    leaving.signal("TERM");
    let ttl = Duration::from_millis(LOOKUP_TTL_MS);
    while looked_up.elapsed() < ttl {
        let answer = leaving.query(calls::search("late")).await;
        // A query may be refused only if the TTL has expired by the time of its answer.
        if looked_up.elapsed() < ttl {
            assert_eq!(answer.expect("accepted").0, 200);
        }
    }
    assert!(leaving.wait_for_exit().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn two_nodes_stop_at_once() {
    let mut fleet = Fleet::start(6).await;
    delay_replies(&fleet, "*", 20).await;
    let load = Load::start(CALLER_COUNT, &callers(&fleet));
    wait_for_answers(&load, 30).await;
    let mut leaving = fleet.nodes.split_off(4);
    leaving.iter().for_each(|node| node.signal("TERM"));
    for node in &mut leaving {
        assert!(node.wait_for_exit().await.success(), "{}", node.name);
    }
    wait_for_answers(&load, 30).await;
    assert_no_failures(&load.stop().await);
    fleet.wait_until_converged().await;
}

/// Replaces all nodes under load, one after another.
async fn replace_all_nodes(outage: Option<Outage>) {
    let mut fleet = Fleet::start(6).await;
    delay_replies(&fleet, "*", 20).await;
    if let Some(outage) = outage {
        fleet.start_outage(outage);
    }
    let load = Load::start(CALLER_COUNT, &callers(&fleet));
    wait_for_answers(&load, 30).await;
    for _ in 0..6 {
        fleet.add_node();
        fleet.wait_until_converged().await;
        let mut old = fleet.nodes.remove(0);
        old.signal("TERM");
        assert!(old.wait_for_exit().await.success(), "{}", old.name);
        wait_for_answers(&load, 10).await;
    }
    // Waits until the last lookup expires and callers look up the nodes again.
    tokio::time::sleep(Duration::from_millis(LOOKUP_TTL_MS)).await;
    wait_for_answers(&load, 30).await;
    assert_no_failures(&load.stop().await);
    fleet.wait_until_converged().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement() {
    replace_all_nodes(None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_during_an_outage() {
    replace_all_nodes(Some(Outage::Hang)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_are_handed_over() {
    let mut fleet = Fleet::start(3).await;
    let mut minter = fleet.nodes.pop().expect("a node");
    let ticket = tickets(&minter, 1).await.remove(0);
    let (status, first) =
        minter.query(calls::non_idempotent_query("once", &ticket)).await.expect("answered");
    assert_eq!(status, 200, "{first}");
    minter.signal("TERM");
    assert!(minter.wait_for_exit().await.success());
    for node in &fleet.nodes {
        let (status, again) =
            node.query(calls::non_idempotent_query("once", &ticket)).await.expect("answered");
        assert_eq!(status, 200, "{again}");
        let snapshot_and_parts =
            |answer: &Value| (answer["snapshot"].clone(), answer["parts"].clone());
        assert_eq!(snapshot_and_parts(&again), snapshot_and_parts(&first), "at {}", node.name);
    }
    let runs = calls::call(fleet.upstream.control_address(), "GET", "/runs", &[], None).await;
    let (_, runs) = runs.expect("the control port answers");
    let runs = runs["runs"].as_object().expect("runs").clone();
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert!(runs.values().all(|servers| servers.as_array().is_some_and(|s| s.len() == 1)));
}
