//! Asks a node which entry nodes to use, sends one search to the best of them,
//! and prints the answer: what a caller does, once.
//!
//! Usage: `ask NODE SERVICE`. Exits 1 unless an answer came; what it covers is
//! printed, not judged.

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

/// How long a node is asked again that can't answer yet.
const PATIENCE: Duration = Duration::from_secs(20);
/// The pause before it is asked again.
const PAUSE: Duration = Duration::from_millis(200);

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let (Some(node), Some(service)) = (arguments.next(), arguments.next()) else {
        return Err(io::Error::other("usage: ask NODE SERVICE"));
    };
    let node: SocketAddr = node.parse().map_err(io::Error::other)?;
    let entries = entries(node).await?;
    let best = entries.entries.first().ok_or_else(|| io::Error::other("no node is named"))?;
    println!("use {} in {} for {} ms", best.address, best.data_centre, entries.keep_ms);
    let answer = search(best.address.parse().map_err(io::Error::other)?, &service).await?;
    print(&answer);
    Ok(())
}

/// Asks until nodes are named.
async fn entries(node: SocketAddr) -> io::Result<EntryNodes> {
    let end = Instant::now() + PATIENCE;
    loop {
        let reply = http::send(node, request(Method::GET, caller::ENTRIES_PATH, node, "")).await?;
        if let Ok(entries) = serde_json::from_slice::<EntryNodes>(reply.body())
            && !entries.entries.is_empty()
        {
            return Ok(entries);
        }
        if Instant::now() > end {
            return Err(io::Error::other("the node names no node to use"));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Searches until the node holds the service's configuration and its servers'.
async fn search(node: SocketAddr, service: &str) -> io::Result<Answer> {
    let end = Instant::now() + PATIENCE;
    let query = json!({ "service": service, "caller": "ask", "body": { "text": "indigo" } });
    let query = query.to_string();
    loop {
        let reply =
            http::send(node, request(Method::POST, caller::QUERY_PATH, node, &query)).await?;
        if reply.status() == StatusCode::OK {
            return serde_json::from_slice(reply.body()).map_err(io::Error::other);
        }
        if Instant::now() > end {
            let why = String::from_utf8_lossy(reply.body()).into_owned();
            return Err(io::Error::other(why));
        }
        tokio::time::sleep(PAUSE).await;
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
