//! A planned stop cuts off and refuses nothing.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::fleet::Fleet;
use crate::fleet::KEEP_MS;
use crate::fleet::calls;
use crate::fleet::load::Load;
use crate::fleet::load::Tally;
use crate::fleet::node::Node;
use fakes::http::Connection;
use fakes::platform::Outage;
use fakes::upstream::Action;
use fakes::upstream::Fault;
use fakes::wait::eventually;
use fakes::wait::with_timeout;

mod fleet;

/// Callers of a load.
const CALLERS: usize = 6;

/// The replies of these servers come late, so that requests run when a stop begins.
async fn slow_upstreams(fleet: &Fleet, servers: &str, ms: u64) {
    let fault = Fault::new(servers, Action::Late { ms, replies: None });
    let body = serde_json::to_value(fault).expect("JSON");
    let put = calls::call(fleet.upstream.control_address(), "PUT", "/fault", &[], Some(body)).await;
    assert_eq!(put.expect("the control port answers").0, 200);
}

/// Tickets of this node.
async fn tickets(node: &Node, count: usize) -> Vec<String> {
    let answer = node.get(&format!("/v1/entries?tickets={count}")).await;
    let tickets = answer["block"]["tickets"].as_array().expect("tickets");
    tickets.iter().map(|ticket| ticket.as_str().expect("a ticket").to_owned()).collect()
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.nodes.iter().map(|node| node.caller).collect()
}

/// Waits until the load has had so many answers more.
async fn answers(load: &Load, more: u64) {
    let wanted = load.whole() + more;
    eventually("answers under load", async || load.whole() >= wanted).await;
}

fn nothing_harmed(tally: &Tally) {
    assert!(tally.whole > 0);
    assert!(tally.cut.is_empty(), "cut off: {:#?}", tally.cut);
    assert!(tally.others.is_empty(), "refused or in part: {:#?}", tally.others);
}

#[tokio::test(flavor = "multi_thread")]
async fn busy_connection() {
    let mut fleet = Fleet::start(4).await;
    slow_upstreams(&fleet, "search-0-*", 1500).await;
    let mut leaving = fleet.nodes.pop().expect("a node");
    let mut busy = Connection::open(leaving.caller).await.expect("accepted");
    let slow: Vec<_> = (0..3)
        .zip(tickets(&leaving, 3).await)
        .map(|(number, ticket)| leaving.query(calls::claim(&format!("slow {number}"), &ticket)))
        .collect();
    let slow = futures::future::join_all(slow);
    let send = async |busy: &mut Connection| {
        let mut query = calls::search("busy");
        query["shards"] = json!([1]);
        let request = calls::request("POST", "/v1/query", &[], Some(query));
        let answer = busy.send(request).await.expect("not cut off");
        assert_eq!(answer.status(), 200, "{:?}", answer.body());
        answer.headers().get("connection").is_some_and(|value| value == "close")
    };
    // The caller sends on one connection until it is told that it closes, the
    // signal and a second one come while its requests run.
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        leaving.signal("TERM");
        tokio::time::sleep(Duration::from_millis(100)).await;
        leaving.signal("TERM");
    };
    let sending = with_timeout("the caller is told", async { while !send(&mut busy).await {} });
    let (slow, (), ()) = tokio::join!(slow, stopping, sending);
    for answer in slow {
        let (status, answer) = answer.expect("not cut off");
        assert_eq!((status, &answer["covered"]), (200, &json!([0])), "{answer}");
    }
    fleet.on_all("unnamed", async |node| !node.names(leaving.caller).await).await;
    assert!(leaving.ended().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn own_lookup() {
    let mut fleet = Fleet::start(3).await;
    let mut leaving = fleet.nodes.pop().expect("a node");
    // A request that runs for long keeps the process there to be asked.
    slow_upstreams(&fleet, "search-0-*", 3000).await;
    let ticket = tickets(&leaving, 1).await.remove(0);
    let request = leaving.query(calls::claim("long", &ticket));
    let asking = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        leaving.signal("TERM");
        eventually("it no longer names itself", async || {
            let named = leaving.named().await;
            !named.is_empty() && !named.contains(&leaving.caller.to_string())
        })
        .await;
    };
    let (answer, ()) = tokio::join!(request, asking);
    let (status, answer) = answer.expect("not cut off");
    assert_eq!(status, 200, "{answer}");
    assert!(leaving.ended().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn late_caller() {
    let mut fleet = Fleet::start(3).await;
    let mut leaving = fleet.nodes.pop().expect("a node");
    // The caller may use the lookup until it runs out, on new connections too.
    let asked = Instant::now();
    assert!(leaving.names(leaving.caller).await);
    leaving.signal("TERM");
    let keep = Duration::from_millis(KEEP_MS);
    while asked.elapsed() < keep {
        let answer = leaving.query(calls::search("late")).await;
        // One that was sent in time may be refused only if it came too late.
        if asked.elapsed() < keep {
            assert_eq!(answer.expect("accepted").0, 200);
        }
    }
    assert!(leaving.ended().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn two_at_once() {
    let mut fleet = Fleet::start(6).await;
    slow_upstreams(&fleet, "*", 20).await;
    let load = Load::start(CALLERS, &callers(&fleet));
    answers(&load, 30).await;
    let mut leaving = fleet.nodes.split_off(4);
    leaving.iter().for_each(|node| node.signal("TERM"));
    for node in &mut leaving {
        assert!(node.ended().await.success(), "{}", node.name);
    }
    answers(&load, 30).await;
    nothing_harmed(&load.end().await);
    fleet.settle().await;
}

/// Replaces all nodes under load, one after the other.
async fn rolling(outage: Option<Outage>) {
    let mut fleet = Fleet::start(6).await;
    slow_upstreams(&fleet, "*", 20).await;
    if let Some(outage) = outage {
        fleet.outage(outage);
    }
    let load = Load::start(CALLERS, &callers(&fleet));
    answers(&load, 30).await;
    for _ in 0..6 {
        fleet.add();
        fleet.settle().await;
        let mut old = fleet.nodes.remove(0);
        old.signal("TERM");
        assert!(old.ended().await.success(), "{}", old.name);
        answers(&load, 10).await;
    }
    // Callers that still hold the last lookup ask again.
    tokio::time::sleep(Duration::from_millis(KEEP_MS)).await;
    answers(&load, 30).await;
    nothing_harmed(&load.end().await);
    fleet.settle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement() {
    rolling(None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_in_outage() {
    rolling(Some(Outage::Hang)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_handed_over() {
    let mut fleet = Fleet::start(3).await;
    let mut minter = fleet.nodes.pop().expect("a node");
    let ticket = tickets(&minter, 1).await.remove(0);
    let (status, first) = minter.query(calls::claim("once", &ticket)).await.expect("answered");
    assert_eq!(status, 200, "{first}");
    minter.signal("TERM");
    assert!(minter.ended().await.success());
    for node in &fleet.nodes {
        let (status, again) = node.query(calls::claim("once", &ticket)).await.expect("answered");
        assert_eq!(status, 200, "{again}");
        let told = |answer: &Value| (answer["snapshot"].clone(), answer["parts"].clone());
        assert_eq!(told(&again), told(&first), "at {}", node.name);
    }
    let runs = calls::call(fleet.upstream.control_address(), "GET", "/runs", &[], None).await;
    let (_, runs) = runs.expect("the control port answers");
    let runs = runs["runs"].as_object().expect("runs").clone();
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert!(runs.values().all(|servers| servers.as_array().is_some_and(|s| s.len() == 1)));
}
