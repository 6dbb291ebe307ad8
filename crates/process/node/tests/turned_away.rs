//! Servers that turn requests away for a time that they state.

use std::time::Duration;
use std::time::Instant;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::header;
use crate::deployed::request;
use fakes::instance::Behavior;
use fakes::instance::Instance;
use fakes::wait::eventually;

mod deployed;

/// The time that servers ask for, as the header states it, and as a duration.
const ASKED_HEADER: &str = "2";
const ASKED: Duration = Duration::from_secs(2);
/// The time within which a request that can't be served is refused.
const AT_ONCE: Duration = Duration::from_millis(250);

async fn view(node: &Node) -> u16 {
    node.send(request("r", "GET", "/view/x", "")).await.status().as_u16()
}

/// Sends requests until the server has turned one away; returns when that was.
async fn wait_for_refusal(node: &Node, server: &Instance) -> Instant {
    eventually("the server turns a request away", async || {
        view(node).await;
        !server.arrivals().is_empty()
    })
    .await;
    server.arrivals()[0].at
}

/// Guards against retries, hedges and trials at a server within the time that it asked for.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_turns_away_gets_nothing_for_the_time_that_it_asks_for() {
    let cluster = Cluster::start();
    let server = cluster.servers_of("plain").next().expect("a server");
    server.set_behavior(Behavior::TurnsAway(ASKED_HEADER));
    let node = cluster.start_ready_node().await;
    let refused_at = wait_for_refusal(&node, server).await;
    while refused_at.elapsed() < ASKED {
        assert_eq!(view(&node).await, 200);
    }
    let within = server.arrivals().iter().filter(|arrival| arrival.at < refused_at + ASKED).count();
    assert_eq!(within, 1);
    server.set_behavior(Behavior::Healthy);
    eventually("it gets requests again", async || {
        view(&node).await;
        !server.runs().is_empty()
    })
    .await;
}

/// Guards against requests that wait for, or are refused without the time of, servers that all
/// turn requests away.
#[tokio::test(flavor = "multi_thread")]
async fn service_whose_servers_all_turn_away_is_refused_until_the_earliest_end() {
    let cluster = Cluster::start();
    let mut servers = cluster.servers_of("plain");
    servers.next().expect("a server").set_behavior(Behavior::TurnsAway(ASKED_HEADER));
    servers.next().expect("a server").set_behavior(Behavior::TurnsAway("30"));
    let node = cluster.start_ready_node().await;
    let mut refusals = Vec::new();
    for server in cluster.servers_of("plain") {
        refusals.push(wait_for_refusal(&node, server).await);
    }
    let start = Instant::now();
    let response = node.send(request("refused", "GET", "/view/x", "")).await;
    assert!(start.elapsed() < AT_ONCE, "took {:?}", start.elapsed());
    assert_eq!(response.status(), 503);
    let after: f64 = header(&response, "retry-after").parse().expect("a number of seconds");
    let end = refusals[0] + ASKED;
    let left = end.saturating_duration_since(start).as_secs_f64();
    // Trials are spread over up to half a second after the end.
    assert!((left..left + 1.0).contains(&after), "{after} s, {left} s are left");
    let arrivals = cluster.servers_of("plain").map(|server| server.arrivals().len());
    assert_eq!(arrivals.collect::<Vec<_>>(), [1, 1]);
}
