//! Servers that send a second copy of an answer, late, on a connection that is in use again.

use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::config;
use crate::deployed::request;
use fakes::doubling::Server;

mod deployed;

/// Guards against the second copy of a refusal that is taken for the answer to the next attempt of
/// the same request, which runs meanwhile: it would run twice, or be refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_does_not_answer_the_next_attempt() {
    let cluster = Cluster::start();
    cluster.publish();
    let mut servers = Vec::new();
    for number in 0..2 {
        let server = Server::start(&format!("twice-{number}"), "twice").await.expect("a server");
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
    for number in 0..20 {
        let id = format!("t{number}");
        let status = node.send(request(&id, "GET", "/twice/x", "")).await.status().as_u16();
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        let runs: usize = servers.iter().map(|server| server.runs(&id)).sum();
        assert!(runs <= 1, "{id} ran {runs} times and was answered {status}");
        assert!(status != 503 || runs == 0, "{id} ran and was answered 503");
    }
}
