//! The upstream servers' faults, set over the control port while they run.

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

/// After this a test is stuck.
const STUCK: Duration = Duration::from_secs(20);
/// Polls after which a test is stuck.
const POLLS: u32 = 20_000;

fn one(service: Service) -> (Fleet, SocketAddr) {
    let service = Service { groups: 1, replicas: 1, median_us: 0, ..service };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("a port is free");
    let address = fleet.maps()["search-1"].groups[0].servers[0].address;
    (fleet, address)
}

fn ask(number: u32) -> Request<Full<Bytes>> {
    Request::post(names::SHARD_PATH)
        .header(names::ATTEMPT_HEADER, format!("1-2-{number}"))
        .header(names::MAP_HEADER, "search-1")
        .header(names::SHARD_HEADER, "0")
        .header(names::VERSION_HEADER, "1")
        .header(names::NON_IDEMPOTENT_HEADER, "1")
        .body(Full::from(json!({ "q": number }).to_string()))
        .expect("the request is well-formed")
}

async fn fault(fleet: &Fleet, fault: Value) {
    let request = Request::put("/fault").body(Full::from(fault.to_string()));
    let sent = http::send(fleet.control_address(), request.expect("it is well-formed"));
    let response = tokio::time::timeout(STUCK, sent).await.expect("the fault comes into force");
    let status = response.expect("the control port answers").status();
    assert_eq!(status, StatusCode::OK);
}

async fn all(fleet: &Fleet, mut action: Value) {
    action["server"] = json!("*");
    fault(fleet, action).await;
}

fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response.headers().get(name).map_or("", |value| value.to_str().expect("it is text"))
}

async fn send(address: SocketAddr, number: u32) -> Response<Bytes> {
    http::send(address, ask(number)).await.expect("the server answers")
}

fn stats(fleet: &Fleet) -> Stats {
    fleet.stats()["search-0-0"].clone()
}

/// Polls until the server has counted what `done` waits for.
async fn until(done: impl Fn() -> bool) {
    for _ in 0..POLLS {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("what was waited for did not come");
}

/// Runs `other` while `hanging` is polled; the latter must not end meanwhile.
async fn hangs_during<T>(hanging: impl Future<Output = T>, other: impl Future<Output = ()>) {
    let mut hanging = pin!(hanging);
    tokio::select! {
        biased;
        _ = &mut hanging => panic!("it ended"),
        () = other => {}
    }
    assert!(hanging.now_or_never().is_none());
}

#[tokio::test]
async fn swapped_reply_is_another_ones() {
    let (fleet, address) = one(Service::default());
    let first = send(address, 1).await;
    all(&fleet, json!({ "action": "swap", "replies": 1 })).await;
    let swapped = send(address, 2).await;
    assert_eq!(header(&swapped, names::ATTEMPT_HEADER), "1-2-1");
    assert_eq!(swapped.body(), first.body());
    assert_eq!(header(&send(address, 3).await, names::ATTEMPT_HEADER), "1-2-3");
}

#[tokio::test]
async fn cut_reply_ends_early() {
    let (fleet, address) = one(Service::default());
    all(&fleet, json!({ "action": "cut", "replies": 1 })).await;
    assert!(http::send(address, ask(1)).await.is_err());
    assert_eq!(send(address, 2).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn lost_reply_ran() {
    let (fleet, address) = one(Service::default());
    all(&fleet, json!({ "action": "lose", "replies": 1 })).await;
    assert!(http::send(address, ask(1)).await.is_err());
    assert_eq!(fleet.runs().runs.len(), 1);
}

#[tokio::test]
async fn newer_reply_says_so() {
    let (fleet, address) = one(Service::default());
    all(&fleet, json!({ "action": "newer", "replies": 1 })).await;
    let reply = send(address, 1).await;
    assert_eq!(header(&reply, names::VERSION_HEADER), "2");
    let body: Value = serde_json::from_slice(reply.body()).expect("JSON");
    assert_eq!(body["version"], 2);
}

#[tokio::test]
async fn late_reply_is_late() {
    let (fleet, address) = one(Service::default());
    all(&fleet, json!({ "action": "late", "ms": 3_600_000, "replies": 1 })).await;
    hangs_during(http::send(address, ask(1)), async {
        until(|| stats(&fleet).finished == 1).await;
        assert_eq!(send(address, 2).await.status(), StatusCode::OK);
    })
    .await;
}

#[tokio::test]
async fn shed_requests_did_not_run() {
    let (fleet, address) = one(Service::default());
    all(&fleet, json!({ "action": "shed", "requests": 1 })).await;
    assert_eq!(header(&send(address, 1).await, names::NOT_RUN_HEADER), "1");
    assert!(fleet.runs().runs.is_empty());
    assert_eq!(send(address, 1).await.status(), StatusCode::OK);
}

/// A connection that worked stops answering; a new one works.
async fn goes_silent(action: &str, read: bool) {
    let (fleet, address) = one(Service::default());
    let mut old = Connection::open(address).await.expect("the server listens");
    old.send(ask(1)).await.expect("the connection works");
    all(&fleet, json!({ "action": action })).await;
    hangs_during(old.send(ask(2)), async {
        let wanted = if read { 2 } else { 1 };
        until(|| stats(&fleet).sends == wanted).await;
        let new = tokio::time::timeout(STUCK, send(address, 3)).await;
        assert_eq!(new.expect("a new connection works").status(), StatusCode::OK);
        until(|| stats(&fleet).connections == u64::from(read)).await;
    })
    .await;
}

#[tokio::test]
async fn silent_connection_reads_on() {
    goes_silent("silent", true).await;
}

#[tokio::test]
async fn dropped_connection_is_forgotten() {
    goes_silent("drop", false).await;
}

#[tokio::test]
async fn frozen_server_thaws() {
    let (fleet, address) = one(Service::default());
    let mut old = Connection::open(address).await.expect("the server listens");
    old.send(ask(1)).await.expect("the connection works");
    all(&fleet, json!({ "action": "freeze" })).await;
    let mut kept = pin!(old.send(ask(2)));
    let mut new = pin!(http::send(address, ask(3)));
    assert!(kept.as_mut().now_or_never().is_none());
    assert!(new.as_mut().now_or_never().is_none());
    // The control port still answers, so this is long enough for a reply.
    all(&fleet, json!({ "action": "misreport", "load": 77 })).await;
    assert_eq!(stats(&fleet).sends, 1);
    all(&fleet, json!({ "action": "heal" })).await;
    assert_eq!(kept.await.expect("it thawed").status(), StatusCode::OK);
    assert_eq!(new.await.expect("it thawed").status(), StatusCode::OK);
}

#[tokio::test]
async fn killed_server_comes_back_cold_and_new() {
    let (fleet, address) = one(Service { cold_ms: 3_600_000, ..Service::default() });
    let before = send(address, 1).await;
    assert_eq!(header(&before, names::STATE_HEADER), "ready");
    let mut old = Connection::open(address).await.expect("the server listens");
    old.send(ask(2)).await.expect("the connection works");
    all(&fleet, json!({ "action": "drain" })).await;
    all(&fleet, json!({ "action": "kill" })).await;
    assert_eq!(stats(&fleet).connections, 0);
    assert!(old.send(ask(2)).await.is_err());
    assert!(http::send(address, ask(3)).await.is_err());
    all(&fleet, json!({ "action": "restart" })).await;
    let after = send(address, 4).await;
    assert_eq!(header(&after, names::STATE_HEADER), "cold");
    assert_ne!(
        header(&after, names::INCARNATION_HEADER),
        header(&before, names::INCARNATION_HEADER)
    );
    assert_eq!(after.status(), StatusCode::OK);
}

#[tokio::test]
async fn connection_cap_holds() {
    let (fleet, address) = one(Service { connections: 2, ..Service::default() });
    let mut kept = Vec::new();
    for number in 0..2 {
        let mut connection = Connection::open(address).await.expect("the server listens");
        connection.send(ask(number)).await.expect("the connection works");
        kept.push(connection);
    }
    assert!(http::send(address, ask(3)).await.is_err());
    let counted = stats(&fleet);
    assert_eq!((counted.peak_connections, counted.over_cap), (2, 1));
    kept.clear();
    until(|| stats(&fleet).connections == 0).await;
    assert_eq!(send(address, 4).await.status(), StatusCode::OK);
}

#[tokio::test]
async fn reports_mislead_and_lag() {
    let (fleet, address) = one(Service::default());
    all(&fleet, json!({ "action": "lag", "ms": 3_600_000 })).await;
    assert_eq!(header(&send(address, 1).await, names::STATE_HEADER), "ready");
    all(&fleet, json!({ "action": "misreport", "load": 77 })).await;
    all(&fleet, json!({ "action": "drain" })).await;
    let lagging = send(address, 2).await;
    assert_eq!(header(&lagging, names::STATE_HEADER), "ready", "the report is an old one");
    assert_eq!(header(&lagging, names::LOAD_HEADER), "0");
    all(&fleet, json!({ "action": "lag", "ms": 0 })).await;
    let true_state = send(address, 3).await;
    assert_eq!(header(&true_state, names::STATE_HEADER), "draining");
    assert_eq!(header(&true_state, names::LOAD_HEADER), "77");
}

#[tokio::test]
async fn fault_meets_the_named_only() {
    let service = Service { groups: 2, replicas: 2, median_us: 0, ..Service::default() };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("a port is free");
    fault(&fleet, json!([{ "server": "search-1-*", "action": "kill" }])).await;
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
