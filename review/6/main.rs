//! A server that is full refuses a request that must not run twice, and accepts its next attempt.
//! A late second copy of the refusal arrives while that attempt runs.

#[path = "../harness-2.rs"]
mod kit;
#[path = "server.rs"]
mod server;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::Addresses;
use kit::Connection;
use kit::Deployment;
use kit::Record;
use kit::Store;
use server::Load;
use server::Server;

const HOST: &str = "desk.example";
const PATH: &str = "/claims/new";
/// The deadline, the route's timeout and its objective, as of `booking-view`.
const DEADLINE: Duration = Duration::from_millis(2500);
/// The part of a faulty server's answers that it spoils, and for how long: the site file's `garble`
/// with `extra late`.
const SPOILED: f64 = 0.03;
const FAULTY_SPANS: [(f64, f64); 5] =
    [(3.0, 8.0), (13.0, 18.0), (23.0, 28.0), (33.0, 38.0), (43.0, 48.0)];
const ROUNDS: usize = 64;
const ROUND: Duration = Duration::from_millis(800);
/// The interval of the lookups that each node gets besides.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(9);

fn main() {
    let code = match run() {
        Ok(true) => kit::HELD,
        Ok(false) => kit::BROKEN,
        Err(error) => {
            eprintln!("the case can't run: {error}");
            kit::CANNOT_RUN
        }
    };
    std::process::exit(code);
}

fn run() -> io::Result<bool> {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let record = Record::create(&path)?;
    let mut addresses = Addresses::new();
    let store = Store::start(addresses.take())?;
    let trouble = kit::has_trouble();
    // When the traffic starts, in seconds of the record.
    let start = Arc::new(Mutex::new(f64::MAX));
    let mut servers = Vec::new();
    let zones = ["jhb-hall", "cpt-hall", "dbn-hall"];
    for (index, zone) in zones.iter().take(2).enumerate() {
        // Half of the servers are faulty.
        let is_faulty = trouble && index == 1;
        let start = Arc::clone(&start);
        let copies = move |load: &Load, now: f64| {
            let start = *start.lock().unwrap();
            let is_in = |(from, until): &&(f64, f64)| (start + from..start + until).contains(&now);
            let span = FAULTY_SPANS.iter().find(is_in);
            is_faulty && span.is_some_and(|(from, _)| load.may_spoil(start + from, SPOILED))
        };
        let name = format!("i-{index}");
        let ip = addresses.take();
        let server = Server::start(ip, &name, "claims", (2, 2), &record, Box::new(copies))?;
        store.put("servers", &name, &server.entry(zone, "ready"));
        servers.push(server);
    }
    store.put("config", "main", &config());
    let deployment = Deployment::new(store.address, zones.to_vec())?;
    let mut nodes = deployment.nodes(&mut addresses)?;
    for node in &mut nodes {
        node.start(&deployment)?;
    }
    if !kit::wait_until_ready(&nodes, Duration::from_secs(15)) {
        return Err(io::Error::other("the nodes don't become ready"));
    }
    *start.lock().unwrap() = record.seconds();
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let end = Instant::now() + ROUND * ROUNDS as u32;
    let mut clients = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let front = node.front;
        clients.push(thread::spawn(move || lookups(front, index, end)));
    }
    let send = |front: SocketAddr, id: String, work_ms: u64, after: Duration| {
        let (answers, record) = (Arc::clone(&answers), record.clone());
        thread::spawn(move || {
            thread::sleep(after);
            record.line(&format!("client sends {id}"));
            let body = format!("claim {id} work={work_ms}");
            let sent = Connection::open(front).and_then(|mut connection| {
                connection.send("POST", HOST, PATH, &id, DEADLINE, body.as_bytes())
            });
            let status = sent.as_ref().map_or(0, |answer| answer.status());
            record.line(&format!("client gets {status} for {id}"));
            answers.lock().unwrap().insert(id, status);
        })
    };
    for round in 0..ROUNDS {
        // Many users at once at another node fill both servers for a moment.
        for number in 0..8 {
            let id = format!("f{round:03}-{number}");
            clients.push(send(nodes[1].front, id, 100, Duration::from_millis(4 * number)));
        }
        for number in 0..3 {
            let after = Duration::from_millis(78 + 5 * number);
            clients.push(send(nodes[0].front, format!("r{round:03}-{number}"), 60, after));
        }
        thread::sleep(ROUND);
    }
    for client in clients {
        let _ = client.join();
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    let (mut copies, mut total) = (0, 0);
    for server in &servers {
        let load = server.load.lock().unwrap();
        load.runs.iter().for_each(|(id, count)| *runs.entry(id.clone()).or_default() += count);
        copies += load.copied_at.len();
        total += load.answered_at.len();
        let (answered, copied) = (load.answered_at.len(), load.copied_at.len());
        record.line(&format!("{} answered {answered}, copied {copied}", server.id));
    }
    let mut held = true;
    let mut ids: Vec<(&String, &usize)> = runs.iter().collect();
    // Lookups may run more than once.
    ids.retain(|(id, _)| !id.starts_with('g'));
    ids.sort();
    for (id, count) in ids {
        let status = answers.lock().unwrap().get(id).copied().unwrap_or(0);
        if *count > 1 {
            record.line(&format!("TWICE: {id} ran {count} times; its client got {status}"));
            held = false;
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            record.line(&format!("REFUSED: {id} ran {count} times; its client got {status}"));
            held = false;
        }
    }
    let served = answers.lock().unwrap().values().filter(|status| **status == 200).count();
    let sent = answers.lock().unwrap().len();
    record.line(&format!("{sent} sent, {served} served, {total} answers, {copies} second copies"));
    println!("{sent} sent, {served} served, {total} answers, {copies} copies, held: {held}");
    Ok(held)
}

/// Sends short lookups to a node, which may run more than once.
fn lookups(front: SocketAddr, index: usize, end: Instant) {
    let mut connection = None;
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("g{index}-{number}");
        let open = connection.take().map_or_else(|| Connection::open(front), Ok);
        connection = open.ok().and_then(|mut open| {
            let sent = open.send("GET", HOST, "/views/1", &id, DEADLINE, b"");
            sent.is_ok().then_some(open)
        });
        thread::sleep(LOOKUP_INTERVAL);
    }
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"claims\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/claims/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":2500,\
         \"objective_ms\":400,\"priority\":1,\"service\":\"claims\",\"max_attempts\":2}},\
         {{\"name\":\"views\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/views/\",\"route_type\":\"idempotent\",\"timeout_ms\":2500,\
         \"objective_ms\":400,\"priority\":1,\"service\":\"claims\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"claims\",\"health_path\":\"/healthz\",\"max_conns\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
