//! What a server at the platform's protocol states and records.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;

use fakes::http;
use fakes::instance::Behavior;
use fakes::instance::Instance;

async fn send(address: SocketAddr, id: &str, more: (&'static str, &str)) -> Response<Bytes> {
    let headers =
        [("host", "a"), ("heatherseam-expect-instance", "s-1"), ("heatherseam-request-id", id)];
    let mut request = Request::new(Full::new(Bytes::new()));
    for (name, value) in headers.into_iter().chain([more]) {
        request.headers_mut().insert(name, value.parse().expect("a value"));
    }
    http::send(address, request).await.expect("a reply")
}

/// Guards against a server that misses a key in another header, or counts a refused request as
/// accepted: the soak's checks of keys and quotas would then see nothing.
#[tokio::test]
async fn arrivals_show_keys_customers_and_refusals() {
    let server = Instance::start("s-1", "s", &[]).expect("a server");
    server.set_key_mark("key-");
    send(server.address(), "plain", ("heatherseam-tenant", "mill")).await;
    send(server.address(), "named", ("heatherseam-credential", "other")).await;
    send(server.address(), "hidden", ("x-origin", "a key-1")).await;
    server.set_behavior(Behavior::Refuses);
    send(server.address(), "refused", ("x-origin", "a")).await;
    let seen: Vec<_> = server
        .arrivals()
        .into_iter()
        .map(|arrival| (arrival.id, arrival.customer, arrival.has_credential, arrival.refused))
        .collect();
    let expected = [
        ("plain", "mill", false, false),
        ("named", "", true, false),
        ("hidden", "", true, false),
        ("refused", "", false, true),
    ];
    let expected =
        expected.map(|(id, name, key, refused)| (id.to_owned(), name.to_owned(), key, refused));
    assert_eq!(seen, expected);
}

/// Guards against an entry or a reply that states no time while the server is cold.
#[tokio::test]
async fn cold_servers_state_the_time_that_is_left() {
    let server = Instance::start("s-1", "s", &[]).expect("a server").with_zone("yard");
    let warmup = "heatherseam-warmup-ms";
    let reply = send(server.address(), "a", ("x-origin", "a")).await;
    assert!(!reply.headers().contains_key(warmup));
    server.set_cold(Duration::from_secs(60));
    let reply = send(server.address(), "b", ("x-origin", "a")).await;
    let left: u64 = reply.headers()[warmup].to_str().expect("text").parse().expect("a number");
    let entry = server.entry("ready");
    assert!((1..=60_000).contains(&left));
    assert!(entry["warmup_left_ms"].as_u64().is_some_and(|left| (1..=60_000).contains(&left)));
    assert_eq!(entry["zone"], "yard");
    server.set_cold(Duration::ZERO);
    let reply = send(server.address(), "c", ("x-origin", "a")).await;
    assert_eq!(reply.headers()[warmup], "0");
}
