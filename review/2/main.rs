//! Case 2: while one node of a data centre is frozen, a node that follows it sends requests to
//! servers that have left for longer than the bound allows.

#[path = "../harness.rs"]
mod harness;

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use harness::Deployment;
use harness::Record;
use harness::Run;
use harness::Runs;
use harness::Server;
use harness::Store;
use harness::Traffic;

/// The bound of the rule, `drain_ms` of ishara-search.
const DRAIN_MS: u64 = 3000;
/// `stability_window_ms` of ishara-search.
const WINDOW_MS: u64 = 4000;
/// How much longer a server goes on serving than `drain_ms`.
const STAYS_MS: u64 = 1500;
/// How long the machine is frozen: the longest `node_freeze` of ishara-search.
const FREEZE_MS: u64 = 4000;
const ROUNDS: u64 = 8;
const ROUND_MS: u64 = 11_000;
const SHARDS: [&str; 4] = ["desk-a", "desk-b", "desk-c", "desk-d"];
const ZONES: [(&str, &str); 3] =
    [("jhb-hall", "gauteng"), ("cpt-hall", "western-cape"), ("dbn-hall", "kwazulu-natal")];

struct Left {
    server: Arc<Server>,
    /// When the store confirmed that its entry is gone.
    at: u64,
}

fn main() {
    let trouble = harness::has_trouble();
    let record = Record::create(&harness::record_file());
    let (a, b) = harness::subnet();
    let ip = |last: u8| IpAddr::from([127, a, b, last]);
    let store = Store::start(SocketAddr::new(ip(200), 0));
    let runs = Runs::default();
    let mut next = 100;
    let mut server = |shard: &str, zone: &str| {
        next += 1;
        let id = format!("i-{next:03}{}", &shard[5..]);
        let work = (2, Duration::from_millis(11));
        Server::start(&record, &runs, (&id, shard, zone), ip(150), work)
    };
    let gather = SHARDS.map(|name| format!("\"{name}\"")).join(",");
    let services = SHARDS
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":25,\"protocol\":\"h1\",\"tls\":false}}"))
        .join(",");
    // Versions differ in a route that nobody uses.
    let config = |version: u64| {
        let route = |name: &str, prefix: &str| {
            format!("{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"{prefix}\",\"route_type\":\"idempotent\",\"timeout_ms\":800,\"objective_ms\":120,\"priority\":1,\"gather\":[{gather}],\"max_attempts\":2,\"top_k\":20,\"min_coverage\":0.75}}")
        };
        let routes = [route("r-match", "/match/"), route("r-idle", &format!("/idle{version}/"))];
        format!("{{\"version\":{version},\"routes\":[{}],\"services\":[{services}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}", routes.join(","))
    };
    store.put("config", "main", &config(7));
    let mut near: Vec<Arc<Server>> = Vec::new();
    for shard in SHARDS {
        for (zone, _) in ZONES {
            let server = server(shard, zone);
            store.put("servers", &server.id, &server.entry("ready", 1));
            if zone == ZONES[0].0 {
                near.push(server);
            }
        }
    }

    let deployment = Deployment {
        record: Arc::clone(&record),
        folder: harness::work_folder(),
        store: store.address,
        subnet: (a, b),
        zones: ZONES.to_vec(),
    };
    let places = [0, 0, 0, 1, 1, 2];
    let nodes: Vec<_> = (1..)
        .zip(places)
        .map(|(number, zone)| deployment.node(number, ZONES[zone].0, &[1, 4, 6]))
        .collect();
    nodes.iter().for_each(|node| node.start());
    if !harness::wait_until_ready(&nodes, Duration::from_secs(15)) {
        harness::cannot_run("the nodes did not become ready");
    }
    // Traffic starts when the nodes have found each other.
    thread::sleep(Duration::from_millis(5000));
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = Traffic {
        host: "desk.example",
        path: "/match/2f",
        deadline: Duration::from_millis(800),
        interval: Duration::from_millis(250),
    };
    let (sent, clients) =
        harness::start_clients(&record, &nodes[..3], 24, &traffic, (ZONES[0].1, ZONES[0].0), &stop);
    thread::sleep(Duration::from_millis(WINDOW_MS));

    let mut left: Vec<Left> = Vec::new();
    let mut frozen: Vec<u64> = Vec::new();
    let start = record.now();
    for round in 0..ROUNDS {
        record.sleep_until(start + round * ROUND_MS);
        // Planned work too: a version of the config. It ends the poll that the third node makes.
        store.put("config", "main", &config(12 + 5 * round));
        record.line("the store has confirmed a version of the config");
        thread::sleep(Duration::from_millis(30));
        let began = record.now();
        if trouble {
            nodes[0].signal("STOP");
            frozen.push(began);
        }
        // Planned work: the servers of this data centre are taken away. They never report that
        // they leave: their entries are removed, and they go on serving.
        let leaving = std::mem::take(&mut near);
        for (number, server) in (0..).zip(leaving) {
            record.sleep_until(began + 30 + 40 * number);
            store.remove("servers", &server.id);
            let at = record.now();
            record.line(&format!("the store has confirmed that the entry of {} is gone", server.id));
            left.push(Left { server, at });
        }
        if trouble {
            record.sleep_until(began + FREEZE_MS);
            nodes[0].signal("CONT");
        }
        for gone in left.iter().rev().take(SHARDS.len()).rev() {
            record.sleep_until(gone.at + DRAIN_MS + STAYS_MS);
            gone.server.end();
        }
        record.sleep_until(began + 6000);
        for shard in SHARDS {
            let server = server(shard, ZONES[0].0);
            store.put("servers", &server.id, &server.entry("ready", 1));
            near.push(server);
        }
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let runs = runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    // The node that took the request from the client. All of them are in touch but the frozen one.
    let node_of: HashMap<&str, SocketAddr> =
        sent.iter().map(|request| (request.id.as_str(), request.node)).collect();
    let is_in_touch = |run: &Run| {
        let was_frozen =
            |began: &u64| (*began..began + FREEZE_MS + WINDOW_MS + 500).contains(&run.at);
        node_of.get(run.id.as_str()).is_some_and(|node| {
            *node != nodes[0].front || !frozen.iter().any(was_frozen)
        })
    };
    let mut broken = 0;
    for gone in &left {
        let late = runs.iter().filter(|run| {
            run.server == gone.server.id
                && run.at > gone.at + DRAIN_MS
                && is_in_touch(run)
        });
        for run in late {
            broken += 1;
            record.say(&format!(
                "request {} reached {} by way of node {} at {}, {} ms after its entry was gone",
                run.id,
                run.server,
                node_of[run.id.as_str()].ip(),
                run.at,
                run.at - gone.at
            ));
        }
    }
    let served = sent.iter().filter(|request| request.status == Some(200)).count();
    record.say(&format!("{served} of {} requests were served", sent.len()));
    nodes.iter().for_each(|node| node.kill());
    record.say(&format!("{broken} requests reached servers too late"));
    record.say(if broken > 0 { "DRAIN is broken" } else { "DRAIN held" });
    exit(i32::from(broken > 0));
}
