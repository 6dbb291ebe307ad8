//! A route with allowed regions: its requests never reach a server in another one.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::deployed::Cluster;
use crate::deployed::HOST;
use crate::deployed::Node;
use crate::deployed::TIMEOUT_MS;
use crate::deployed::config;
use crate::deployed::header;
use crate::deployed::request;
use fakes::instance::Instance;
use fakes::wait::eventually;

mod deployed;

/// Within this time, a refusal counts as sent at once.
const AT_ONCE: Duration = Duration::from_millis(250);

/// Writes a version whose route `/home/` allows `region`; one server of its service is in each of
/// two regions.
fn publish(cluster: &Cluster, version: u64, region: &str) {
    let route = json!([{
        "name": "home", "host": HOST, "path_prefix": "/home/", "route_type": "idempotent",
        "timeout_ms": TIMEOUT_MS, "objective_ms": 2000, "priority": 1, "max_attempts": 2,
        "service": "plain", "allowed_regions": [region]
    }]);
    for server in &cluster.servers {
        let mut entry = server.entry("ready");
        entry["zone"] = json!(if server.id == "plain-1" { "reef" } else { "hall" });
        cluster.store.put("servers", &server.id, &entry);
    }
    cluster.store.put("config", "main", &config(version, route));
}

/// The number of requests of the route that a server ran.
fn home_runs(server: &Instance) -> usize {
    server.runs().iter().filter(|run| run.path.starts_with("/home/")).count()
}

async fn status(node: &Node, path: &str) -> u16 {
    node.send(request("h", "GET", path, "")).await.status().as_u16()
}

/// Guards against a request that goes abroad when the servers of its region are busy or ended, that
/// waits for them, or that keeps to the regions of an earlier version.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_in_its_regions_or_refused_at_once() {
    let cluster = Cluster::start();
    publish(&cluster, 3, "land");
    let node = cluster.start_node();
    node.wait_until_ready().await;
    let (home, abroad) = (&cluster.servers_of("plain").next().expect("a server"), {
        cluster.servers_of("plain").nth(1).expect("a second server")
    });
    let all = futures::future::join_all((0..80).map(|_| status(&node, "/home/x"))).await;
    assert!(all.contains(&200) && all.iter().all(|status| [200, 503].contains(status)), "{all:?}");
    home.stop();
    eventually("requests are refused", async || status(&node, "/home/x").await == 503).await;
    for _ in 0..40 {
        let start = Instant::now();
        let response = node.send(request("gone", "GET", "/home/x", "")).await;
        assert_eq!(response.status(), 503);
        assert!(start.elapsed() < AT_ONCE, "took {:?}", start.elapsed());
        assert!(header(&response, "retry-after").parse::<f64>().expect("seconds") > 0.0);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status(&node, "/view/x").await, 200);
    assert_eq!(home_runs(abroad), 0);
    let named = |line: &serde_json::Value| {
        line["homes"] == "land" && line["missing"] == "plain no server in its regions"
    };
    eventually("the cause is logged", async || node.log_lines().iter().any(named)).await;
    publish(&cluster, 4, "sea");
    eventually("the new region serves", async || status(&node, "/home/x").await == 200).await;
    assert!(home_runs(abroad) > 0);
}
