//! Faults of upstream servers, set over the control port while they run.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;

use fakes::http;
use fakes::http::Connection;
use fakes::upstream::Fleet;
use fakes::upstream::Service;
use fakes::upstream::Settings;
use fakes::upstream::Stats;
use wire::upstream as names;

/// The time after which a test counts as hung.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The number of polls after which a wait fails.
const MAX_POLLS: u32 = 20_000;

fn start_server(service: Service) -> (Fleet, SocketAddr) {
    let service = Service { groups: 1, replicas: 1, median_us: 0, ..service };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("a port is free");
    let address = fleet.maps()["search-1"].groups[0].servers[0].address;
    (fleet, address)
}

fn shard_request(number: u32) -> Request<Full<Bytes>> {
    Request::post(names::SHARD_PATH)
        .header(names::ATTEMPT_HEADER, format!("1-2-{number}"))
        .header(names::MAP_HEADER, "search-1")
        .header(names::SHARD_HEADER, "0")
        .header(names::VERSION_HEADER, "1")
        .header(names::NON_IDEMPOTENT_HEADER, "1")
        .body(Full::from(json!({ "q": number }).to_string()))
        .expect("the request is well-formed")
}

async fn put_fault(fleet: &Fleet, fault: Value) {
    let request = Request::put("/fault").body(Full::from(fault.to_string()));
    let sent = http::send(fleet.control_address(), request.expect("it is well-formed"));
    let response = tokio::time::timeout(TIMEOUT, sent).await.expect("the fault takes effect");
    let status = response.expect("the control port answers").status();
    assert_eq!(status, StatusCode::OK);
}

async fn put_fault_for_all(fleet: &Fleet, mut action: Value) {
    action["server"] = json!("*");
    put_fault(fleet, action).await;
}

fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response.headers().get(name).map_or("", |value| value.to_str().expect("it is text"))
}

async fn send(address: SocketAddr, number: u32) -> Response<Bytes> {
    http::send(address, shard_request(number)).await.expect("the server answers")
}

fn stats(fleet: &Fleet) -> Stats {
    fleet.stats()["search-0-0"].clone()
}

/// Polls until `done` returns true.
async fn eventually(done: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("the condition did not become true");
}

/// Runs `other` while `call` is polled, and fails if `call` ends meanwhile.
async fn stays_pending_during<T>(call: impl Future<Output = T>, other: impl Future<Output = ()>) {
    let mut call = pin!(call);
    tokio::select! {
        biased;
        _ = &mut call => panic!("the call ended"),
        () = other => {}
    }
    assert!(call.now_or_never().is_none());
}

#[tokio::test]
async fn swapped_reply_is_that_of_the_previous_request() {
    let (fleet, address) = start_server(Service::default());
    let first = send(address, 1).await;
    put_fault_for_all(&fleet, json!({ "action": "swap", "replies": 1 })).await;
    let swapped = send(address, 2).await;
    assert_eq!(header(&swapped, names::ATTEMPT_HEADER), "1-2-1");
    assert_eq!(swapped.body(), first.body());
    assert_eq!(header(&send(address, 3).await, names::ATTEMPT_HEADER), "1-2-3");
}

#[tokio::test]
async fn cut_reply_ends_early() {
    let (fleet, address) = start_server(Service::default());
    put_fault_for_all(&fleet, json!({ "action": "cut", "replies": 1 })).await;
    assert!(http::send(address, shard_request(1)).await.is_err());
    assert_eq!(send(address, 2).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn request_with_lost_reply_has_run() {
    let (fleet, address) = start_server(Service::default());
    put_fault_for_all(&fleet, json!({ "action": "lose", "replies": 1 })).await;
    assert!(http::send(address, shard_request(1)).await.is_err());
    assert_eq!(fleet.runs().runs.len(), 1);
}

#[tokio::test]
async fn newer_reply_has_the_newer_version() {
    let (fleet, address) = start_server(Service::default());
    put_fault_for_all(&fleet, json!({ "action": "newer", "replies": 1 })).await;
    let reply = send(address, 1).await;
    assert_eq!(header(&reply, names::VERSION_HEADER), "2");
    let body: Value = serde_json::from_slice(reply.body()).expect("JSON");
    assert_eq!(body["version"], 2);
}

#[tokio::test]
async fn late_reply_is_delayed() {
    let (fleet, address) = start_server(Service::default());
    put_fault_for_all(&fleet, json!({ "action": "late", "ms": 3_600_000, "replies": 1 })).await;
    stays_pending_during(http::send(address, shard_request(1)), async {
        eventually(|| stats(&fleet).finished == 1).await;
        assert_eq!(send(address, 2).await.status(), StatusCode::OK);
    })
    .await;
}

#[tokio::test]
async fn shed_requests_did_not_run() {
    let (fleet, address) = start_server(Service::default());
    put_fault_for_all(&fleet, json!({ "action": "shed", "requests": 1 })).await;
    assert_eq!(header(&send(address, 1).await, names::NOT_RUN_HEADER), "1");
    assert!(fleet.runs().runs.is_empty());
    assert_eq!(send(address, 1).await.status(), StatusCode::OK);
}

/// Checks that an open connection stops answering and a new one works; `reads` is
/// whether the server still reads from the open one.
async fn check_open_connection_stops_answering(action: &str, reads: bool) {
    let (fleet, address) = start_server(Service::default());
    let mut old = Connection::open(address).await.expect("the server listens");
    old.send(shard_request(1)).await.expect("the connection works");
    put_fault_for_all(&fleet, json!({ "action": action })).await;
    stays_pending_during(old.send(shard_request(2)), async {
        let sends = if reads { 2 } else { 1 };
        eventually(|| stats(&fleet).sends == sends).await;
        let new = tokio::time::timeout(TIMEOUT, send(address, 3)).await;
        assert_eq!(new.expect("a new connection works").status(), StatusCode::OK);
        eventually(|| stats(&fleet).connections == u64::from(reads)).await;
    })
    .await;
}

#[tokio::test]
async fn silent_connection_keeps_reading() {
    check_open_connection_stops_answering("silent", true).await;
}

#[tokio::test]
async fn dropped_connection_is_abandoned() {
    check_open_connection_stops_answering("drop", false).await;
}

#[tokio::test]
async fn frozen_server_resumes_after_heal() {
    let (fleet, address) = start_server(Service::default());
    let mut old = Connection::open(address).await.expect("the server listens");
    old.send(shard_request(1)).await.expect("the connection works");
    put_fault_for_all(&fleet, json!({ "action": "freeze" })).await;
    let mut reused = pin!(old.send(shard_request(2)));
    let mut new = pin!(http::send(address, shard_request(3)));
    assert!(reused.as_mut().now_or_never().is_none());
    assert!(new.as_mut().now_or_never().is_none());
    // The call to the control port takes long enough for a reply to arrive.
    put_fault_for_all(&fleet, json!({ "action": "misreport", "load": 77 })).await;
    assert_eq!(stats(&fleet).sends, 1);
    put_fault_for_all(&fleet, json!({ "action": "heal" })).await;
    assert_eq!(reused.await.expect("the server resumed").status(), StatusCode::OK);
    assert_eq!(new.await.expect("the server resumed").status(), StatusCode::OK);
}

#[tokio::test]
async fn killed_server_restarts_cold_with_a_new_incarnation() {
    let (fleet, address) = start_server(Service { cold_ms: 3_600_000, ..Service::default() });
    let before = send(address, 1).await;
    assert_eq!(header(&before, names::STATE_HEADER), "ready");
    let mut old = Connection::open(address).await.expect("the server listens");
    old.send(shard_request(2)).await.expect("the connection works");
    put_fault_for_all(&fleet, json!({ "action": "drain" })).await;
    put_fault_for_all(&fleet, json!({ "action": "kill" })).await;
    assert_eq!(stats(&fleet).connections, 0);
    assert!(old.send(shard_request(2)).await.is_err());
    assert!(http::send(address, shard_request(3)).await.is_err());
    put_fault_for_all(&fleet, json!({ "action": "restart" })).await;
    let after = send(address, 4).await;
    assert_eq!(header(&after, names::STATE_HEADER), "cold");
    assert_ne!(
        header(&after, names::INCARNATION_HEADER),
        header(&before, names::INCARNATION_HEADER)
    );
    assert_eq!(after.status(), StatusCode::OK);
}

#[tokio::test]
async fn connection_limit_holds() {
    let (fleet, address) = start_server(Service { connections: 2, ..Service::default() });
    let mut open = Vec::new();
    for number in 0..2 {
        let mut connection = Connection::open(address).await.expect("the server listens");
        connection.send(shard_request(number)).await.expect("the connection works");
        open.push(connection);
    }
    assert!(http::send(address, shard_request(3)).await.is_err());
    let counted = stats(&fleet);
    assert_eq!((counted.peak_connections, counted.over_cap), (2, 1));
    open.clear();
    eventually(|| stats(&fleet).connections == 0).await;
    assert_eq!(send(address, 4).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn reports_can_be_wrong_or_out_of_date() {
    let (fleet, address) = start_server(Service::default());
    put_fault_for_all(&fleet, json!({ "action": "lag", "ms": 3_600_000 })).await;
    assert_eq!(header(&send(address, 1).await, names::STATE_HEADER), "ready");
    put_fault_for_all(&fleet, json!({ "action": "misreport", "load": 77 })).await;
    put_fault_for_all(&fleet, json!({ "action": "drain" })).await;
    let lagging = send(address, 2).await;
    assert_eq!(header(&lagging, names::STATE_HEADER), "ready", "the report is an old one");
    assert_eq!(header(&lagging, names::LOAD_HEADER), "0");
    put_fault_for_all(&fleet, json!({ "action": "lag", "ms": 0 })).await;
    let true_state = send(address, 3).await;
    assert_eq!(header(&true_state, names::STATE_HEADER), "draining");
    assert_eq!(header(&true_state, names::LOAD_HEADER), "77");
}

#[tokio::test]
async fn fault_applies_only_to_matching_servers() {
    let service = Service { groups: 2, replicas: 2, median_us: 0, ..Service::default() };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("a port is free");
    put_fault(&fleet, json!([{ "server": "search-1-*", "action": "kill" }])).await;
    let map = &fleet.maps()["search-1"];
    for (shard, group) in map.groups.iter().enumerate() {
        for server in &group.servers {
            let opened = Connection::open(server.address).await.is_ok();
            assert_eq!(opened, shard == 0, "{}", server.name);
        }
    }
    let request = Request::put("/fault")
        .body(Full::from(json!({ "server": "nobody", "action": "kill" }).to_string()));
    let response = http::send(fleet.control_address(), request.expect("it is well-formed")).await;
    assert_eq!(response.expect("it answers").status(), StatusCode::NOT_FOUND);
}
