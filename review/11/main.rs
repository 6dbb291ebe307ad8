//! A watcher freezes for four seconds while a server that has just started leaves. When the watcher
//! wakes, the changes that it passes on make a node that knew of the departure use the server again.

#[path = "../harness-3.rs"]
mod harness;

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::Client;
use harness::Load;
use harness::Node;
use harness::Record;
use harness::SIGCONT;
use harness::SIGSTOP;
use harness::Server;
use harness::Store;
use harness::address;
use harness::entry;
use harness::sleep_until;

const HOST: &str = "claims.example";
const SERVICE: &str = "claims-office";
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(3000);
/// How long a server that leaves serves on: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3160);
const ROUNDS: u32 = 5;
const ROUND_TIME: Duration = Duration::from_secs(16);
/// `for_s` of `node_freeze`.
const FREEZE: Duration = Duration::from_millis(4000);
const BEAT: Duration = Duration::from_millis(1200);
const WORK: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Writes the entry of a server that has just started with each check-in until it is warm.
fn warm_up(store: Store, server: Server, zone: &'static str, beats: u64) {
    thread::spawn(move || {
        for beat in 0..beats {
            let left = 3000_u64.saturating_sub(beat * BEAT.as_millis() as u64);
            store.put("servers", &server.id, &entry(SERVICE, &server, zone, "ready", left, beat));
            if left == 0 {
                return;
            }
            thread::sleep(BEAT);
        }
    });
}

fn version(round: u32) -> u32 {
    3 + 4 * round
}

fn config(version: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"lot-claim\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/claims/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":4000,\
         \"objective_ms\":600,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":38,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the record");
    let record = Record::create(&folder);
    let scratch = harness::scratch_folder();
    let has_trouble = harness::has_trouble();
    let store = Store::start(&format!("{}:18229", address(100)));

    let mut number = 10;
    let mut start_server = |id: &str| {
        number += 1;
        Server::start(id, &format!("{}:18080", address(number)), WORK, b"a lot claim")
    };
    for (id, zone) in [
        ("claims-i1", "iloilo-hall"),
        ("claims-v1", "valenzuela-hall"),
        ("claims-v2", "valenzuela-hall"),
        ("claims-d1", "davao-hall"),
        ("claims-d2", "davao-hall"),
    ] {
        let server = start_server(id);
        store.put("servers", id, &entry(SERVICE, &server, zone, "ready", 0, 1));
    }
    store.put("config", "main", &config(version(0)));
    let zones = [
        (1, "iloilo-hall"),
        (2, "iloilo-hall"),
        (3, "iloilo-hall"),
        (4, "iloilo-hall"),
        (5, "valenzuela-hall"),
        (6, "valenzuela-hall"),
        (7, "davao-hall"),
    ];
    let mut nodes: Vec<Node> = zones
        .iter()
        .map(|(number, zone)| Node::new(&scratch, *number, zone, store.address, true))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_until_ready);
    // Every process has run for longer than the stability window.
    thread::sleep(ms(6000));
    let follower = nodes[2].front();
    if Client::new(follower).call("GET", HOST, "/claims/1", b"", 4000).status != 200 {
        panic!("the deployment does not serve");
    }
    record.line(&format!("seven nodes serve; requests go to {follower}; trouble: {has_trouble}"));

    let loads: Vec<Load> = nodes[2..4]
        .iter()
        .map(|node| Load::start(node.front(), 16, ms(40), "POST", HOST, "/claims/2", 4000))
        .collect();
    thread::sleep(ms(1500));
    let mut broken = 0;
    for round in 1..=ROUNDS {
        let start = Instant::now();
        if has_trouble {
            nodes[0].signal(SIGSTOP);
            record.line(&format!("round {round}: {} freezes", nodes[0].name));
        }
        sleep_until(start + ms(200));
        let leaving = start_server(&format!("claims-x{round}"));
        record.line(&format!("{} starts at {}", leaving.id, leaving.address));
        warm_up(store.clone(), leaving.clone(), "iloilo-hall", 2);
        // Nobody asks for a while, so that no answer tells a node that the server leaves.
        sleep_until(start + ms(1900));
        loads.iter().for_each(|load| load.set_paused(true));
        sleep_until(start + ms(2200));
        leaving.leave();
        let removed = store.delete("servers", &leaving.id);
        record.line_at(removed, &format!("the store has removed {}, which serves on", leaving.id));
        sleep_until(start + ms(3000));
        store.put("config", "main", &config(version(round)));
        record.line(&format!("the operator writes version {}", version(round)));
        sleep_until(start + FREEZE);
        if has_trouble {
            nodes[0].signal(SIGCONT);
            record.line(&format!("{} wakes", nodes[0].name));
        }
        sleep_until(removed + DRAIN + ms(100));
        loads.iter().for_each(|load| load.set_paused(false));
        sleep_until(removed + SERVES_ON);
        leaving.end();
        record.line(&format!("{} ends", leaving.id));
        sleep_until(start + ms(11_000));
        let arrivals = leaving.arrivals.lock().unwrap().clone();
        let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.at > removed + DRAIN).collect();
        record.line(&format!(
            "{}: {} arrivals in all, {} later than {} ms after the removal",
            leaving.id,
            arrivals.len(),
            late.len(),
            DRAIN.as_millis()
        ));
        for arrival in &late {
            let after = arrival.at.duration_since(removed).as_millis();
            record.line_at(arrival.at, &format!("LATE {} after {after} ms", arrival.id));
        }
        broken += usize::from(!late.is_empty());
        sleep_until(start + ROUND_TIME);
    }
    let calls: Vec<_> = loads.into_iter().flat_map(Load::end).collect();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    calls.iter().for_each(|call| *statuses.entry(call.status).or_default() += 1);
    record.line(&format!("{} requests sent; answers by status: {statuses:?}", calls.len()));
    for call in calls.iter().filter(|call| ![200, 503].contains(&call.status)) {
        record.line_at(call.ended, &format!("LOST {} answered {}", call.id, call.status));
    }
    record.line(&format!("the rule was broken in {broken} of {ROUNDS} rounds"));
    drop(nodes);
    let _ = std::fs::remove_dir_all(&scratch);
    std::process::exit(i32::from(broken > 0));
}
