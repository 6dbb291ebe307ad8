//! Servers that end their answers within the head, a chunk or the stated length: no caller gets a
//! success with less than the whole body, on any way.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::Node;
use crate::deployed::config;
use crate::deployed::header;
use crate::deployed::record;
use crate::deployed::request;
use fakes::cutting;
use fakes::cutting::End;
use fakes::cutting::Framing;
use fakes::cutting::Hedges;
use fakes::cutting::Server;
use fakes::wait::eventually;

mod deployed;

/// Each cut: the framing, how the connection ends, the bytes that are sent, and whether these are
/// a whole answer.
fn cuts(records: &[u8]) -> Vec<(Framing, End, usize, bool)> {
    let mut cuts = Vec::new();
    for framing in Framing::ALL {
        let (bytes, head) = cutting::answer(framing, "cut-0", "c-0000", records);
        for end in End::ALL {
            for length in 0..=bytes.len() {
                // A body that ends with its connection is whole, however short, unless it is reset.
                let ends_here = framing == Framing::Close && end == End::Closed && length >= head;
                let is_whole = ends_here || (framing != Framing::Close && length == bytes.len());
                cuts.push((framing, end, length, is_whole));
            }
        }
    }
    cuts
}

/// A node whose servers of the services `cut` and `part` cut their answers; three routes lead there:
/// `/one/`, `/once/` (not idempotent) and `/all/`, a search over `part` and a sound shard.
async fn start(records: &[u8]) -> (Cluster, Node, Vec<Server>) {
    let cluster = Cluster::start();
    cluster.publish();
    let mut servers = Vec::new();
    for (id, service) in [("cut-0", "cut"), ("part-0", "part")] {
        let server = Server::start(id, service, records).await.expect("a server");
        cluster.store.put("servers", server.id(), &server.entry());
        servers.push(server);
    }
    let route = |prefix: &str, kind: &str, target: (&str, serde_json::Value)| {
        let mut route = json!({
            "name": prefix, "host": deployed::HOST, "path_prefix": prefix, "route_type": kind,
            "timeout_ms": deployed::TIMEOUT_MS, "objective_ms": 2000, "priority": 1,
            "max_attempts": 2, "top_k": 4, "min_coverage": 0.4
        });
        route[target.0] = target.1;
        route
    };
    let routes = json!([
        route("/one/", "idempotent", ("service", json!("cut"))),
        route("/once/", "non_idempotent", ("service", json!("cut"))),
        route("/all/", "idempotent", ("gather", json!(["part", "shard-b"]))),
    ]);
    let mut config = config(4, routes);
    let services = config["services"].as_array_mut().expect("services");
    services.extend(["cut", "part"].map(|name| json!({ "name": name, "max_conns": 25 })));
    cluster.store.put("config", "main", &config);
    let node = cluster.start_node();
    node.wait_until_ready().await;
    (cluster, node, servers)
}

/// Guards against an answer that ends early and is passed on as whole, on routes to one server.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_of_one_server_is_never_a_success() {
    let records = [record(1, 1), record(101, 2)].concat();
    let (_cluster, node, servers) = start(&records).await;
    let mut sent = 0;
    for (number, (framing, end, length, is_whole)) in cuts(&records).into_iter().enumerate() {
        let prefix = if number % 2 == 0 { "one" } else { "once" };
        let path = format!("/{prefix}/{}/{}/{length}", framing.name(), end.name());
        let id = format!("c-{number:04}");
        let answer = node.send(request(&id, "GET", &path, "")).await;
        let shown = format!("{path}: {} with {} bytes", answer.status(), answer.body().len());
        if answer.status() == 200 {
            assert!(is_whole && records.starts_with(answer.body()), "{shown}");
        }
        let runs = servers[0].runs().iter().filter(|run| **run == id).count();
        // It has run, and may have run only once.
        assert!(!(runs > 0 && matches!(answer.status().as_u16(), 429 | 503)), "{shown}");
        assert!(prefix == "one" || runs <= 1, "{shown}: ran {runs} times");
        sent += usize::from(runs > 0);
        // A whole answer in between, so that the server is not left out.
        node.send(request(&format!("w-{number:04}"), "GET", "/one/x", "")).await;
    }
    assert!(sent > 600, "only {sent} cut answers were seen");
}

/// Guards against a hedge whose answer ends early, comes first and is passed on as whole.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_to_a_hedge_is_never_a_success() {
    let records = [record(1, 1), record(101, 2)].concat();
    let (cluster, node, servers) = start(&records).await;
    let hedges = Arc::new(Hedges::new(Duration::from_millis(60)));
    let mut pair = Vec::new();
    for id in ["cut-1", "cut-2"] {
        let shared = Some(Arc::clone(&hedges));
        let server = Server::start_with(id, "cut", &records, shared).await.expect("a server");
        pair.push(server);
    }
    cluster.store.put("servers", servers[0].id(), &draining(&servers[0]));
    pair.iter().for_each(|server| cluster.store.put("servers", server.id(), &server.entry()));
    for server in &pair {
        eventually("the servers are used", async || {
            node.send(request("first", "GET", "/one/x", "")).await;
            !server.runs().is_empty()
        })
        .await;
    }
    let cuts = cuts(&records).into_iter().filter(|(.., is_whole)| !is_whole).step_by(5);
    let (mut sent, mut hedged) = (0, 0);
    for (number, (framing, end, length, _)) in cuts.enumerate() {
        let path = format!("/one/{}/{}/{length}", framing.name(), end.name());
        let id = format!("h-{number:04}");
        let answer = node.send(request(&id, "GET", &path, "")).await;
        let shown = format!("{path}: {} with {} bytes", answer.status(), answer.body().len());
        // The first server's answer is whole.
        assert!(answer.status() == 200 && answer.body() == &records, "{shown}");
        sent += 1;
        hedged += usize::from(hedges.arrivals(&id) == 2);
        for other in 0..6 {
            node.send(request(&format!("w-{number}-{other}"), "GET", "/one/x", "")).await;
        }
    }
    assert!(hedged > sent / 2 && sent > 100, "{hedged} of {sent} were hedged");
}

/// The entry of a server that drains.
fn draining(server: &Server) -> serde_json::Value {
    let mut entry = server.entry();
    entry["state"] = json!("draining");
    entry["sequence"] = json!(2);
    entry
}

/// Guards against a part of a search that ends early and counts as whole.
#[tokio::test(flavor = "multi_thread")]
async fn cut_part_of_a_search_is_missing() {
    let records = [record(1, 1), record(101, 2)].concat();
    let (_cluster, node, servers) = start(&records).await;
    for (number, (framing, end, length, is_whole)) in cuts(&records).into_iter().enumerate() {
        let path = format!("/all/{}/{}/{length}", framing.name(), end.name());
        let id = format!("c-{number:04}");
        let answer = node.send(request(&id, "GET", &path, "")).await;
        let stamps = header(&answer, "heatherseam-part-stamps");
        let missing = header(&answer, "heatherseam-missing-parts");
        if answer.status() == 200 && !is_whole {
            assert!(!stamps.contains("part-0") && missing == "1", "{path}: {stamps}, {missing}");
        }
        let whole = request(&format!("w-{number:04}"), "GET", "/all/x", "");
        node.send(whole).await;
    }
    assert!(servers[1].runs().iter().filter(|run| run.starts_with("c-")).count() > 600);
}
