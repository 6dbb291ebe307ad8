//! A version of the config raises the limit on headers. Nodes go on refusing larger requests on the
//! connections that were open before, however long ago the version was confirmed.

#[path = "../harness-3.rs"]
mod harness;

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::Client;
use harness::Node;
use harness::Record;
use harness::Server;
use harness::Store;
use harness::address;
use harness::entry;
use harness::sleep_until;

const HOST: &str = "claims.example";
const SERVICE: &str = "claims-office";
const WORK: Duration = Duration::from_millis(20);
const CLIENTS: usize = 30;
/// `config_apply_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);
const LOWER_HEADER_LIMIT: usize = 16_384;
const HIGHER_HEADER_LIMIT: usize = 65_536;
/// The size of the header that the clients send once the higher limit is in force.
const LARGE_HEADER: usize = 30_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config(version: u32, header_bytes: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"lot-claim\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/claims/\",\"route_type\":\"idempotent\",\"timeout_ms\":4000,\
         \"objective_ms\":600,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":38,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":{header_bytes},\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the record");
    let record = Record::create(&folder);
    let scratch = harness::scratch_folder();
    let has_trouble = harness::has_trouble();
    let store = Store::start(&format!("{}:18229", address(100)));
    for (number, id) in [(11, "claims-i1"), (12, "claims-i2"), (13, "claims-i3")] {
        let server = Server::start(id, &format!("{}:18080", address(number)), WORK, b"a lot claim");
        store.put("servers", id, &entry(SERVICE, &server, "iloilo-hall", "ready", 0, 1));
    }
    // Without the change, the higher limit holds from the start.
    let first_limit = if has_trouble { LOWER_HEADER_LIMIT } else { HIGHER_HEADER_LIMIT };
    store.put("config", "main", &config(3, first_limit));
    let mut nodes: Vec<Node> = (1..=3)
        .map(|number| Node::new(&scratch, number, "iloilo-hall", store.address, true))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_until_ready);
    thread::sleep(ms(5000));
    record.line(&format!("three nodes serve; max_header_bytes is {first_limit}"));

    let mut clients: Vec<Client> =
        (0..CLIENTS).map(|number| Client::new(nodes[number % 3].front())).collect();
    let mut calls = Vec::new();
    // The clients keep their connections in use all the while.
    let mut send_all = |large: bool, what: &str| {
        let padding = if large { LARGE_HEADER } else { 100 };
        let path = "/claims/2";
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for client in &mut clients {
            let call = client.call_with("GET", HOST, path, b"", 4000, padding);
            *statuses.entry(call.status).or_default() += 1;
            calls.push((large, call));
        }
        record.line(&format!("{what}, {padding} bytes of a header each: {statuses:?}"));
    };
    for _ in 0..3 {
        send_all(false, "requests on kept connections");
        thread::sleep(ms(700));
    }
    let confirmed = match has_trouble {
        true => store.put("config", "main", &config(7, HIGHER_HEADER_LIMIT)),
        false => Instant::now(),
    };
    if has_trouble {
        record.line_at(
            confirmed,
            &format!("the store confirms version 7: max_header_bytes is {HIGHER_HEADER_LIMIT}"),
        );
    }
    for number in 1..=8 {
        sleep_until(confirmed + ms(700) * number);
        send_all(false, "requests on kept connections");
    }
    sleep_until(confirmed + CONFIG_APPLY * 2);
    send_all(true, "requests on kept connections");
    send_all(true, "the same clients again");
    let mut refused = 0;
    for (_, call) in calls.iter().filter(|(large, call)| *large && call.status != 200) {
        refused += usize::from((400..500).contains(&call.status));
        record.line_at(call.sent, &format!("REFUSED {} answered {}", call.id, call.status));
    }
    record
        .line(&format!("{refused} proper requests were refused for the limit of an older version"));
    drop(nodes);
    let _ = std::fs::remove_dir_all(&scratch);
    std::process::exit(i32::from(refused > 5));
}
