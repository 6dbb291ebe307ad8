//! HTTP calls of the tests. Invariant: each call has a timeout.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;

use fakes::http;

/// The maximum duration of a call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A request with a JSON body or an empty one.
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

/// Sends a request on a new connection; returns the status and the JSON body.
///
/// # Errors
///
/// The call failed or timed out.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<Value>,
) -> io::Result<(u16, Value)> {
    let sent = http::send(address, request(method, path, headers, body));
    let response = tokio::time::timeout(TIMEOUT, sent).await.map_err(io::Error::other)??;
    let status = response.status().as_u16();
    Ok((status, serde_json::from_slice(response.body()).unwrap_or(Value::Null)))
}

/// An idempotent query to the service `search`.
pub fn search(text: &str) -> Value {
    json!({"service": "search", "caller": "tests", "body": {"text": text}})
}

/// A non-idempotent query to shard 0.
pub fn non_idempotent_query(text: &str, ticket: &str) -> Value {
    json!({
        "service": "search", "caller": "tests", "body": {"text": text},
        "ticket": ticket, "non_idempotent": true, "shards": [0],
    })
}
