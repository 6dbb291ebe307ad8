//! Compares three ways to run a request at most once on the stand-in platform:
//! tickets, one claim object for each request, and claim slices, which are objects
//! that each hold the claims of many requests.
//!
//! `cargo run --release -p once --example claim_cost` prints the latency that each
//! adds before the send, the platform calls per request, and how many requests may
//! run while the platform refuses all calls.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::header::IF_MATCH;
use hyper::header::IF_NONE_MATCH;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use base::time::Time;
use fakes::platform::Fault;
use fakes::platform::Outage;
use fakes::platform::Platform;
use once::response::Response;
use once::table::Disposition;
use once::table::Table;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::Refusal;
use wire::id::Incarnation;
use wire::platform::OBJECTS_PATH;
use wire::platform::Object;

const NODES: usize = 6;
const CLAIMS: usize = 300;
const SLICES: usize = 8;
/// The claims that a slice keeps at most, so that its value stays small.
const MAX_SLICE_CLAIMS: usize = 64;
/// The tickets that one lookup issues.
const TICKET_BLOCK: usize = 16;
/// The shortest duration of a platform call, in milliseconds.
const MIN_CALL_MS: u64 = 3;

type BoxError = Box<dyn Error + Send + Sync>;

/// One node's connection to the platform.
struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    async fn new(address: SocketAddr) -> Result<Self, BoxError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Writes an object if its revision is still `expected`; zero if it must not exist.
    async fn put(
        &mut self,
        name: &str,
        expected: u64,
        value: &str,
    ) -> Result<(StatusCode, Bytes), BoxError> {
        let uri = format!("{OBJECTS_PATH}/claim/{name}");
        let request = Request::builder().method(Method::PUT).uri(uri).header(HOST, "platform");
        let request = match expected {
            0 => request.header(IF_NONE_MATCH, "*"),
            revision => request.header(IF_MATCH, revision.to_string()),
        };
        let body = Full::new(Bytes::from(value.to_owned()));
        self.sender.ready().await?;
        let response = self.sender.send_request(request.body(body)?).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }
}

/// The cost of one strategy.
#[derive(Default)]
struct Cost {
    latencies: Vec<Duration>,
    refused: usize,
}

impl Cost {
    fn add(&mut self, begin: Instant, allowed: bool) {
        match allowed {
            true => self.latencies.push(begin.elapsed()),
            false => self.refused += 1,
        }
    }
}

fn tickets(node: usize) -> Cost {
    let retention = Duration::from_secs(600);
    let mut table = Table::new(Incarnation(node as u64), CLAIMS + TICKET_BLOCK, retention);
    let mut block = Vec::new();
    let mut cost = Cost::default();
    for _ in 0..CLAIMS {
        let begin = Instant::now();
        if block.is_empty() {
            block = table.mint(TICKET_BLOCK, Time::ZERO);
        }
        let Some(ticket) = block.pop() else { continue };
        let allowed = table.begin(ticket, 1, Time::NEVER, Time::ZERO) == Disposition::Run
            && table.try_mark_sent(ticket, Time::ZERO);
        cost.add(begin, allowed);
        let refusal = Refusal {
            request: "r".into(),
            outcome: Execution::Unknown,
            cause: Cause::LostReply,
            message: String::new(),
            retry_after_ms: None,
        };
        table.finish(ticket, Response::Refusal(refusal), Time::ZERO);
    }
    cost
}

async fn objects(address: SocketAddr, node: usize) -> Result<Cost, BoxError> {
    let mut client = Client::new(address).await?;
    let mut cost = Cost::default();
    for number in 0..CLAIMS {
        let begin = Instant::now();
        let (status, _) = client.put(&format!("{node}-{number}"), 0, "{}").await?;
        cost.add(begin, status.is_success());
    }
    Ok(cost)
}

async fn slices(address: SocketAddr, node: usize) -> Result<Cost, BoxError> {
    let mut client = Client::new(address).await?;
    let mut known: BTreeMap<usize, (u64, Vec<u64>)> = BTreeMap::new();
    let mut cost = Cost::default();
    for number in 0..CLAIMS {
        let begin = Instant::now();
        // A request's hash selects its slice, so every node writes to every slice.
        let claim = (node * CLAIMS + number) as u64;
        let slice = (claim.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % SLICES;
        let allowed = loop {
            let (revision, claims) = known.entry(slice).or_default();
            let skip = (claims.len() + 1).saturating_sub(MAX_SLICE_CLAIMS);
            let mut next = claims[skip..].to_vec();
            next.push(claim);
            let value = serde_json::to_string(&next)?;
            let (status, body) = client.put(&format!("slice-{slice}"), *revision, &value).await?;
            if status != StatusCode::PRECONDITION_FAILED && !status.is_success() {
                break false;
            }
            let item: Object = serde_json::from_slice(&body)?;
            let claims = serde_json::from_value(item.value.unwrap_or_default())?;
            known.insert(slice, (item.revision, claims));
            if status.is_success() {
                break true;
            }
        };
        cost.add(begin, allowed);
    }
    Ok(cost)
}

#[derive(Clone, Copy)]
enum Strategy {
    Tickets,
    Objects,
    Slices,
}

async fn measure(name: &str, strategy: Strategy, outage: Option<Outage>) -> Result<(), BoxError> {
    let platform = Platform::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    platform.inject_fault(Fault { slow_ms: MIN_CALL_MS, outage, ..Fault::default() });
    let address = platform.address();
    let nodes = (0..NODES).map(|node| {
        tokio::spawn(async move {
            match strategy {
                Strategy::Tickets => Ok(tickets(node)),
                Strategy::Objects => objects(address, node).await,
                Strategy::Slices => slices(address, node).await,
            }
        })
    });
    let nodes: Vec<_> = nodes.collect();
    let mut latencies = Vec::new();
    let mut refused = 0;
    for node in nodes {
        let cost = node.await??;
        latencies.extend(cost.latencies);
        refused += cost.refused;
    }
    latencies.sort();
    let micros = |percent: usize| match latencies.get(latencies.len() * percent / 100) {
        Some(latency) => format!("{:.1}", latency.as_secs_f64() * 1e6),
        None => "-".to_owned(),
    };
    let calls = platform.stats().calls as f64 / (NODES * CLAIMS) as f64;
    let (p50, p99, run) = (micros(50), micros(99), latencies.len());
    println!("{name:<24}{p50:>12}{p99:>12}{calls:>12.2}{run:>8}{refused:>9}");
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let headings = ("p50 us", "p99 us", "calls", "may run", "refused");
    println!(
        "{:<24}{:>12}{:>12}{:>12}{:>8}{:>9}",
        "", headings.0, headings.1, headings.2, headings.3, headings.4
    );
    for (state, outage) in [("", None), (", outage", Some(Outage::Refuse))] {
        measure(&format!("tickets{state}"), Strategy::Tickets, outage).await?;
        measure(&format!("claim objects{state}"), Strategy::Objects, outage).await?;
        measure(&format!("claim slices{state}"), Strategy::Slices, outage).await?;
    }
    Ok(())
}
