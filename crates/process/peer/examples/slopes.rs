//! Measures the cost of coordination against the number of nodes and objects.
//!
//! Runs N meshes in one process on loopback, without a platform: one node is given the
//! objects, the others receive them from their peers as in an outage. Prints times in
//! milliseconds, calls and bytes per node and second, processor time per node in
//! percent of a core, and memory per node in KB.
//!
//! `cargo run --release -p peer --example slopes -- NODES OBJECTS [SETTLE]`; SETTLE
//! is the time before the idle deployment is measured, in seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use conf::catalog::Catalog;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Policy;
use conf::object::Spec;
use peer::gossip::Withdrawal;
use peer::mesh::Mesh;
use peer::mesh::Settings;
use peer::meter::Counters;
use peer::protocol::Handler;
use peer::protocol::Response;
use peer::record::Addresses;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::Query;
use wire::caller::Refusal;
use wire::id::Incarnation;

/// The number of changes whose propagation is timed.
const ROUNDS: u64 = 20;
/// The time between two changes, about that of 67,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1290);
/// How long the idle deployment is measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of data centres.
const DATA_CENTRES: usize = 3;
/// Linux reports the processor time of a process in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;

#[derive(Default)]
struct Node {
    catalog: Mutex<Arc<Catalog>>,
}

impl Handler for Node {
    fn catalog(&self) -> Arc<Catalog> {
        self.catalog.lock().clone()
    }

    fn on_objects(&self, objects: Vec<Object>) {
        let mut catalog = self.catalog.lock();
        let (next, _) = catalog.with_objects(&objects);
        *catalog = Arc::new(next);
    }

    fn on_withdrawals(&self, _: Vec<Withdrawal>) {}

    fn run_query(&self, _: Query) -> BoxFuture<'static, Response> {
        let refusal = Refusal {
            request: Arc::from(""),
            outcome: Execution::NotRun,
            cause: Cause::NoService,
            message: String::new(),
            retry_after_ms: None,
        };
        async move { Response::Refusal(refusal) }.boxed()
    }

    fn import_tickets(&self, _: Vec<u8>) -> bool {
        false
    }

    fn contribution(&self) -> Vec<u8> {
        Vec::new()
    }
}

struct Fleet {
    nodes: Vec<Arc<Node>>,
    meshes: Vec<Arc<Mesh>>,
}

impl Fleet {
    async fn start(count: usize, stop: &CancellationToken) -> std::io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let addresses = Addresses { caller: any, peer: any, operator: any };
        let mut fleet = Self { nodes: Vec::new(), meshes: Vec::new() };
        for number in 0..count {
            let name = format!("node-{number}").into();
            let incarnation = Incarnation(number as u64 + 1);
            let centre = number % DATA_CENTRES;
            let (data_centre, region) = (format!("dc-{centre}"), format!("region-{centre}"));
            let seeds = fleet.meshes.iter().take(3).map(|mesh| mesh.peer_address()).collect();
            let settings =
                Settings::new(name, incarnation, addresses, data_centre.into(), region.into());
            let node = Arc::new(Node::default());
            let mesh = Mesh::start(settings.with_seeds(seeds), node.clone(), stop.clone()).await?;
            fleet.nodes.push(node);
            fleet.meshes.push(mesh);
        }
        Ok(fleet)
    }

    fn all_joined(&self) -> bool {
        let count = self.meshes.len();
        let up = |mesh: &Arc<Mesh>| mesh.members().iter().filter(|r| r.is_up()).count();
        self.meshes.iter().all(|mesh| up(mesh) == count)
    }

    fn all_have(&self, revision: u64) -> bool {
        self.nodes.iter().all(|node| node.catalog().revision() >= revision)
    }

    fn counters(&self) -> Counters {
        let mut sum = Counters::default();
        for counters in self.meshes.iter().map(|mesh| mesh.counters()) {
            sum.calls += counters.calls;
            sum.failed += counters.failed;
            sum.sent += counters.sent;
            sum.connections += counters.connections;
        }
        sum
    }
}

/// The cost of a measured period for one node.
struct Cost {
    calls: f64,
    sent: f64,
    cpu_percent: f64,
}

struct Measurement {
    started: Instant,
    counters: Counters,
    cpu_seconds: f64,
}

impl Measurement {
    fn new(fleet: &Fleet) -> Self {
        Self {
            started: Instant::now(),
            counters: fleet.counters(),
            cpu_seconds: processor_seconds(),
        }
    }

    fn read(&self, fleet: &Fleet) -> Cost {
        let now = fleet.counters();
        let span = self.started.elapsed().as_secs_f64() * fleet.meshes.len() as f64;
        Cost {
            calls: (now.calls - self.counters.calls) as f64 / span,
            sent: (now.sent - self.counters.sent) as f64 / span,
            cpu_percent: (processor_seconds() - self.cpu_seconds) * 100.0 / span,
        }
    }
}

fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn memory_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

async fn wait_until(what: &str, done: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !done() {
        if started.elapsed() > WAIT_TIMEOUT {
            println!("gave up: {what}");
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started.elapsed()
}

fn object(number: u64, revision: u64) -> Object {
    let key = Key { kind: Kind::Policy, name: format!("policy-{number}").into() };
    Object { key, revision, spec: Some(Spec::Policy(Policy::default())) }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let count = arguments.first().copied().unwrap_or(6);
    let objects = arguments.get(1).copied().unwrap_or(100) as u64;
    let settle = Duration::from_secs(arguments.get(2).copied().unwrap_or(5) as u64);
    let stop = CancellationToken::new();
    let empty = memory_kb();
    let fleet = Fleet::start(count, &stop).await?;
    let joined = wait_until("join", || fleet.all_joined()).await;

    let bulk: Vec<Object> = (1..=objects).map(|number| object(number, number)).collect();
    fleet.meshes[0].push(bulk);
    fleet.meshes[0].set_synced(true);
    let filled = wait_until("fill", || fleet.all_have(objects)).await;
    let fresh = || fleet.meshes.iter().all(|mesh| mesh.members()[0].fresh);
    wait_until("fresh", fresh).await;
    tokio::time::sleep(settle).await;

    let measurement = Measurement::new(&fleet);
    tokio::time::sleep(IDLE_DURATION).await;
    let idle = measurement.read(&fleet);
    let memory = (memory_kb() - empty) / count as f64;

    let measurement = Measurement::new(&fleet);
    let mut times = Vec::new();
    for round in 1..=ROUNDS {
        let revision = objects + round;
        let started = Instant::now();
        let origin = &fleet.meshes[round as usize % count];
        origin.push(vec![object(round % objects + 1, revision)]);
        times.push(wait_until("spread", || fleet.all_have(revision)).await);
        tokio::time::sleep(CHANGE_INTERVAL.saturating_sub(started.elapsed())).await;
    }
    let changing = measurement.read(&fleet);
    times.sort_unstable();
    let mut withdrawals = Vec::new();
    for round in 0..ROUNDS {
        let server: Arc<str> = format!("server-{round}").into();
        let incarnation = Incarnation(round);
        fleet.meshes[round as usize % count].announce_withdrawal(server.clone(), incarnation);
        let known = || fleet.meshes.iter().all(|mesh| mesh.is_leaving(&server, incarnation));
        withdrawals.push(wait_until("withdrawal", known).await);
    }
    withdrawals.sort_unstable();

    println!("nodes objects join_ms fill_ms spread_median_ms spread_worst_ms");
    println!(
        "{count} {objects} {} {} {:.1} {:.1}",
        joined.as_millis(),
        filled.as_millis(),
        times[times.len() / 2].as_secs_f64() * 1000.0,
        times[times.len() - 1].as_secs_f64() * 1000.0,
    );
    println!(
        "marks_median_ms {:.1} marks_worst_ms {:.1}",
        withdrawals[withdrawals.len() / 2].as_secs_f64() * 1000.0,
        withdrawals[withdrawals.len() - 1].as_secs_f64() * 1000.0,
    );
    println!("state calls_s sent_bytes_s cpu_percent");
    for (state, cost) in [("quiet", &idle), ("changes", &changing)] {
        println!("{state} {:.2} {:.0} {:.3}", cost.calls, cost.sent, cost.cpu_percent);
    }
    let counters = fleet.counters();
    println!(
        "memory_kb {memory:.0} failed_calls {} connections {}",
        counters.failed, counters.connections
    );
    stop.cancel();
    Ok(())
}
