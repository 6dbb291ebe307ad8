//! HTTP calls of the tests. Invariant: none waits for ever.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;

use fakes::http;

/// The longest that a call may take.
const LIMIT: Duration = Duration::from_secs(30);

/// A request with a JSON body or none.
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<Value>,
) -> Request<Full<Bytes>> {
    let bytes = body.map(|body| body.to_string()).unwrap_or_default();
    let mut builder = Request::builder().method(method).uri(path).header("host", "node");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from(bytes))).expect("a request")
}

/// Sends one request on a connection of its own; gives status and JSON body.
///
/// # Errors
///
/// The call was not answered.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<Value>,
) -> io::Result<(u16, Value)> {
    let sent = http::send(address, request(method, path, headers, body));
    let response = tokio::time::timeout(LIMIT, sent).await.map_err(io::Error::other)??;
    let status = response.status().as_u16();
    Ok((status, serde_json::from_slice(response.body()).unwrap_or(Value::Null)))
}

/// A search of the service `search`.
pub fn search(text: &str) -> Value {
    json!({"service": "search", "caller": "tests", "body": {"text": text}})
}

/// A search of one shard that may run only once.
pub fn claim(text: &str, ticket: &str) -> Value {
    json!({
        "service": "search", "caller": "tests", "body": {"text": text},
        "ticket": ticket, "non_idempotent": true, "shards": [0],
    })
}
