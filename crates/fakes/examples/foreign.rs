//! What entries of another writer cost a node: the time from a change in the registry to its use,
//! with and without them, and the memory under large ones.
//!
//!     foreign --binary PATH [--entries N] [--rounds N] [--replaced N]
//!
//! Prints the medians and their ratio, and the greatest resident memory as a fraction of the limit.
//! With `--replaced`, what the entries of so many nodes that were replaced cost a node instead: the time
//! until it serves, its memory, and its processor time without requests.

use std::path::Path;
use std::process::ExitCode;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use getopts::Options;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time::sleep;

use fakes::http;
use fakes::instance::Instance;
use fakes::store::Store;

/// The memory of the node, in MB: that of a small VM.
const MEMORY_MB: u64 = 260;
/// The entries of each burst of large ones, the bursts, and the pause after each.
const LARGE_ENTRIES: usize = 16;
const BURSTS: usize = 5;
const BURST_PAUSE: Duration = Duration::from_secs(1);
/// The address of the node.
const IP: &str = "127.209.7.1";
/// The time over which a node without requests is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The pause before a change, so that the last one's delay is over.
const ROUND_PAUSE: Duration = Duration::from_millis(450);

fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r", "host": "desk.example", "path_prefix": format!("/v-{version}/"),
            "route_type": "idempotent", "timeout_ms": 2000, "objective_ms": 500, "priority": 1,
            "max_attempts": 2, "service": "plain"
        }],
        "services": [{ "name": "plain", "max_conns": 25 }], "limits": {}
    })
}

fn start_node(binary: &str, folder: &Path, store: &Store) -> Child {
    let port = |offset: u16| format!("{IP}:{}", 18_000 + offset);
    let settings = json!({
        "node_name": "node", "ip": IP, "zone": "hall", "region": "land",
        "zones": { "hall": "land" },
        "listen": { "front": port(6), "readiness_addr": port(7), "directory": port(5) },
        "port_range": [18_040, 18_055], "seeds": [],
        "limits": { "cpu_share": 1.0, "memory_mb": MEMORY_MB },
        "bounds": { "grace_s": 6, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
                    "ttl_max_s": 5, "config_apply_ms": 3000, "drain_ms": 3000 },
        "platform": { "address": store.address() }
    });
    let file = folder.join("foreign.yaml");
    std::fs::write(&file, settings.to_string()).expect("a settings file");
    Command::new(binary)
        .arg("serve")
        .env("HEATHERSEAM_CONFIG", &file)
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("a node")
}

/// The time until the node serves the route of `version`.
async fn time_to_use(version: u64) -> Duration {
    let start = Instant::now();
    let address = format!("{IP}:18006").parse().expect("an address");
    loop {
        let request = Request::builder()
            .uri(format!("/v-{version}/x"))
            .header("host", "desk.example")
            .header("heatherseam-request-id", "r")
            .header("heatherseam-deadline-ms", "2000")
            .body(Full::new(Bytes::new()))
            .expect("a request");
        if http::send(address, request).await.is_ok_and(|answer| answer.status() == 200) {
            return start.elapsed();
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// The median time of `rounds` changes from `version` on, each beside a change of the servers.
async fn median(store: &Store, version: &mut u64, rounds: usize, foreign: usize) -> Duration {
    let mut times = Vec::new();
    for _ in 0..rounds {
        sleep(ROUND_PAUSE).await;
        *version += 1;
        // Some of the other writer's entries change all the time.
        for number in 0..foreign.min(20) {
            let name = format!("x {}", (*version as usize * 20 + number) % foreign);
            store.put_raw("servers", &name, format!("{{\"n\":{version}}}").as_bytes());
        }
        store.put("config", "main", &config(*version));
        times.push(time_to_use(*version).await);
    }
    times.sort();
    times[times.len() / 2]
}

fn resident_mb(node: &Child) -> u64 {
    let id = node.id().expect("the node runs");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("its peak");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).expect("a number") / 1000
}

async fn measure(binary: &str, entries: usize, rounds: usize) {
    let store = Store::start().expect("a store");
    let server = Instance::start("plain-0", "plain", &[7; 32]).expect("a server");
    store.put("servers", &server.id, &server.entry("ready"));
    let mut version = 1;
    store.put("config", "main", &config(version));
    let node = start_node(binary, &std::env::temp_dir(), &store);
    time_to_use(version).await;
    let without = median(&store, &mut version, rounds, 0).await;
    for number in 0..entries {
        store.put_raw("servers", &format!("x {number}"), b"{\"service\":17,\"note\":\"\\ud83d\"}");
    }
    let with = median(&store, &mut version, rounds, entries).await;
    let ratio = with.as_secs_f64() / without.as_secs_f64();
    println!(
        "time to use: {without:?} without, {with:?} beside {entries} entries, ratio {ratio:.2}"
    );
    let content = format!("[{}0]", "7,".repeat(523_900));
    for _ in 0..BURSTS {
        for number in 0..LARGE_ENTRIES {
            store.put_raw("servers", &format!("y-{number}"), content.as_bytes());
        }
        sleep(BURST_PAUSE).await;
    }
    let peak = resident_mb(&node);
    let fraction = peak as f64 / MEMORY_MB as f64;
    println!("memory: {peak} MB at most of {MEMORY_MB} MB, {fraction:.2}");
}

/// The processor time that a process has used, in hundredths of a second.
fn processor_time(node: &Child) -> u64 {
    let id = node.id().expect("the node runs");
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("its times");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    fields[12..14].iter().filter_map(|field| field.parse::<u64>().ok()).sum()
}

async fn measure_replaced(binary: &str, replaced: usize) {
    for entries in [0, replaced] {
        let store = Store::start().expect("a store");
        let server = Instance::start("plain-0", "plain", &[7; 32]).expect("a server");
        store.put("servers", &server.id, &server.entry("ready"));
        store.put("config", "main", &config(1));
        for number in 0..entries {
            let ip = format!("127.210.{}.{}", number / 250, number % 250 + 1);
            let spec = json!({ "ip": ip, "address": format!("{ip}:18006"), "zone": "hall", "capacity": 1000 });
            store.put("heatherseam-nodes", &format!("front-{number}"), &spec);
        }
        let node = start_node(binary, &std::env::temp_dir(), &store);
        let until_served = time_to_use(1).await;
        sleep(IDLE_TIME).await;
        let before = processor_time(&node);
        sleep(IDLE_TIME).await;
        let used = (processor_time(&node) - before) as f64 / 100.0 / IDLE_TIME.as_secs_f64();
        println!(
            "{entries} replaced nodes: serves after {until_served:?}, {} MB, {used:.3} cores",
            resident_mb(&node)
        );
    }
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.reqopt("", "binary", "the node's program", "PATH");
    options.optopt("", "entries", "the other writer's entries (2000)", "N");
    options.optopt("", "replaced", "measures replaced nodes instead", "N");
    options.optopt("", "rounds", "the changes that are measured (30)", "N");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("foreign"));
            return ExitCode::from(2);
        }
    };
    let number = |name: &str, default| {
        matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let binary = matches.opt_str("binary").unwrap_or_default();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    if matches.opt_present("replaced") {
        runtime.block_on(measure_replaced(&binary, number("replaced", 20_000)));
    } else {
        runtime.block_on(measure(&binary, number("entries", 2000), number("rounds", 30)));
    }
    ExitCode::SUCCESS
}
