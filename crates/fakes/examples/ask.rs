//! Looks up the entry nodes at a node, sends one search to the first of them and
//! prints the answer, as a caller does.
//!
//! Usage: `ask NODE SERVICE`. Exits 1 if there is no answer; an answer with missing
//! shards is printed and counts as success.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use serde_json::json;
use tokio::time::Instant;

use fakes::http;
use wire::caller;
use wire::caller::Answer;
use wire::caller::EntryNodes;

/// How long calls are repeated until the node can answer.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The pause before a call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let (Some(node), Some(service)) = (arguments.next(), arguments.next()) else {
        return Err(io::Error::other("usage: ask NODE SERVICE"));
    };
    let node: SocketAddr = node.parse().map_err(io::Error::other)?;
    let entries = look_up(node).await?;
    let first = entries
        .entries
        .first()
        .ok_or_else(|| io::Error::other("the lookup returned no entry node"))?;
    println!("use {} in {} for {} ms", first.address, first.data_centre, entries.keep_ms);
    let answer = search(first.address.parse().map_err(io::Error::other)?, &service).await?;
    print(&answer);
    Ok(())
}

/// Repeats the lookup until it returns entry nodes.
async fn look_up(node: SocketAddr) -> io::Result<EntryNodes> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let reply = http::send(node, request(Method::GET, caller::ENTRIES_PATH, node, "")).await?;
        if let Ok(entries) = serde_json::from_slice::<EntryNodes>(reply.body())
            && !entries.entries.is_empty()
        {
            return Ok(entries);
        }
        if Instant::now() > deadline {
            return Err(io::Error::other("the lookup returned no entry node in time"));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Repeats the search until the node has the configuration of the service and its
/// servers.
async fn search(node: SocketAddr, service: &str) -> io::Result<Answer> {
    let deadline = Instant::now() + TIMEOUT;
    let query = json!({ "service": service, "caller": "ask", "body": { "text": "indigo" } });
    let query = query.to_string();
    loop {
        let reply =
            http::send(node, request(Method::POST, caller::QUERY_PATH, node, &query)).await?;
        if reply.status() == StatusCode::OK {
            return serde_json::from_slice(reply.body()).map_err(io::Error::other);
        }
        if Instant::now() > deadline {
            let message = String::from_utf8_lossy(reply.body()).into_owned();
            return Err(io::Error::other(message));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn request(method: Method, path: &str, node: SocketAddr, body: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_owned())));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = header::HeaderValue::from_str(&node.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

fn print(answer: &Answer) {
    println!("answer to {} from snapshot {}", answer.request, answer.snapshot);
    println!("  covered shards: {:?}", answer.covered);
    let missing = answer.missing.iter();
    let missing: Vec<String> =
        missing.map(|missing| format!("{} ({})", missing.shard, missing.reason)).collect();
    println!("  missing shards: [{}]", missing.join(", "));
    for part in answer.parts.iter().take(2) {
        println!("  shard {}: {}", part.shard, part.body);
    }
    println!("  ... {} parts, {} sends", answer.parts.len(), answer.sends);
}
