//! Servers that send a second copy of an answer, late, on a connection that is in use again.

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::request;
use fakes::doubling::Place;
use fakes::doubling::Refusals;
use fakes::doubling::Refused;
use fakes::doubling::Server;

mod deployed;

/// A node, and two servers of the service `twice` that double their refusals, which a route for
/// requests that must not run twice leads to.
async fn start(refusals: Refusals) -> (Cluster, Node, Vec<Server>) {
    let cluster = Cluster::start();
    cluster.publish();
    let mut servers = Vec::new();
    for number in 0..2 {
        let server =
            Server::start(&format!("twice-{number}"), "twice", refusals).await.expect("a server");
        cluster.store.put("servers", server.id(), &server.entry());
        servers.push(server);
    }
    let route = json!([{
        "name": "twice", "host": deployed::HOST, "path_prefix": "/twice/",
        "route_type": "non_idempotent", "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000,
        "priority": 1, "max_attempts": 2, "service": "twice"
    }]);
    let mut config = config(4, route);
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({ "name": "twice", "max_conns": 25 }));
    cluster.store.put("config", "main", &config);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node, servers)
}

fn assert_ran_once(servers: &[Server], id: &str, status: u16) {
    let runs: usize = servers.iter().map(|server| server.runs(id)).sum();
    assert!(runs <= 1, "{id} ran {runs} times and was answered {status}");
    assert!(status != 503 || runs == 0, "{id} ran and was answered 503");
}

/// Sends requests that must not run twice to servers that double their refusals.
async fn send_to_doubling_servers(refusals: Refusals) {
    let (_cluster, node, servers) = start(refusals).await;
    for round in 0..10 {
        // Requests overlap, so that one gets the connection on which another one was refused.
        let send = |number: u64| {
            let (id, node) = (format!("t{round}-{number}"), &node);
            async move {
                tokio::time::sleep(Duration::from_millis(number * 7)).await;
                let request = request(&id, "GET", "/twice/x", "");
                (id, node.send(request).await.status().as_u16())
            }
        };
        let answers = join_all((0..6).map(send)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        for (id, status) in answers {
            assert_ran_once(&servers, &id, status);
        }
    }
}

/// Guards against the second copy of a refusal that is taken for the answer to the next attempt of
/// the same request, which runs meanwhile: it would run twice, or be refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_does_not_answer_the_next_attempt() {
    let refusals = Refusals { have_ids: true, copied_to: Place::NextRequest };
    send_to_doubling_servers(refusals).await;
}

/// Guards against the second copy of a refusal that names no request and is taken for the answer to
/// the next caller's request, which runs meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_without_an_id_does_not_answer_the_next_caller() {
    let refusals = Refusals { have_ids: false, copied_to: Place::NextRequest };
    send_to_doubling_servers(refusals).await;
}

/// Guards against a copy that arrives after other requests on the connection, so that the last one
/// is not the refused one: that request would run twice, or be refused as not run (review/6).
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_after_other_requests_does_not_answer_the_next_attempt() {
    let refusals = Refusals { have_ids: true, copied_to: Place::NextAttempt };
    send_to_doubling_servers(refusals).await;
}

/// Guards against such a copy if the caller, or a node that passes the request on, sends it again
/// after its refusal, with the same id and after many others.
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_does_not_answer_the_request_when_it_is_sent_again() {
    let refusals = Refusals { have_ids: true, copied_to: Place::NextAttempt };
    let (_cluster, node, servers) = start(refusals).await;
    servers.iter().for_each(|server| server.refuse(Refused::All));
    let first = node.send(request("again", "GET", "/twice/x", "")).await.status();
    assert_eq!(first, 503, "while all servers refuse it");
    servers.iter().for_each(|server| server.refuse(Refused::None));
    for number in 0..20 {
        let other = node.send(request(&format!("other-{number}"), "GET", "/twice/x", "")).await;
        assert_eq!(other.status(), 200, "another request");
    }
    let second = node.send(request("again", "GET", "/twice/x", "")).await.status().as_u16();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_ran_once(&servers, "again", second);
}
