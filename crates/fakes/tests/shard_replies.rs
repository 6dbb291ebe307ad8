//! An upstream server without faults: replies, refusals, deadlines, cancellation.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde_json::json;

use fakes::hits;
use fakes::http;
use fakes::upstream::Action;
use fakes::upstream::Fault;
use fakes::upstream::Fleet;
use fakes::upstream::Service;
use fakes::upstream::ServiceTimes;
use fakes::upstream::Settings;
use fakes::upstream::Stats;
use wire::upstream as names;
use wire::upstream::Health;
use wire::upstream::State;

/// A service time longer than any test.
const LONG_SERVICE_TIME_US: u64 = 3_600_000_000;

/// The time after which a test counts as hung.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The number of polls after which a wait fails.
const MAX_POLLS: u32 = 20_000;

fn start_server(service: Service) -> (Fleet, SocketAddr) {
    let service = Service { groups: 1, replicas: 1, sigma: 0.0, ..service };
    let settings = Settings { services: vec![service], ..Settings::default() };
    let fleet = Fleet::start(settings).expect("a port is free");
    let address = fleet.maps()["search-1"].groups[0].servers[0].address;
    (fleet, address)
}

fn fast_service() -> Service {
    Service { median_us: 0, ..Service::default() }
}

fn shard_request(version: u64, extra: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut request = Request::post(names::SHARD_PATH)
        .header(names::ATTEMPT_HEADER, "1-2-3")
        .header(names::MAP_HEADER, "search-1")
        .header(names::SHARD_HEADER, "0")
        .header(names::VERSION_HEADER, version);
    for (name, value) in extra {
        request = request.header(*name, *value);
    }
    request.body(Full::from(json!({ "q": 1 }).to_string())).expect("the request is well-formed")
}

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Bytes> {
    let reply = tokio::time::timeout(TIMEOUT, http::send(address, request)).await;
    reply.expect("the reply arrives in time").expect("the server answers")
}

fn header<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    response.headers().get(name).map_or("", |value| value.to_str().expect("it is text"))
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

#[tokio::test]
async fn reply_has_the_request_headers_and_hits() {
    let (_fleet, address) = start_server(fast_service());
    let reply = send(address, shard_request(1, &[])).await;
    assert_eq!(reply.status(), StatusCode::OK);
    let echoed =
        [names::ATTEMPT_HEADER, names::MAP_HEADER, names::SHARD_HEADER, names::VERSION_HEADER];
    assert_eq!(echoed.map(|name| header(&reply, name)), ["1-2-3", "search-1", "0", "1"]);
    assert_eq!(header(&reply, names::STATE_HEADER), "ready");
    let body: serde_json::Value = serde_json::from_slice(reply.body()).expect("JSON");
    let found = hits::of(&json!({ "q": 1 }), 0, 1);
    let expected = json!({ "server": "search-0-0", "shard": 0, "version": 1, "hits": found });
    assert_eq!(body, expected);
    assert_ne!(hits::of(&json!({ "q": 2 }), 0, 1), hits::of(&json!({ "q": 1 }), 0, 1));
}

#[tokio::test]
async fn request_for_a_version_not_held_is_not_run() {
    let (fleet, address) = start_server(fast_service());
    let refused = send(address, shard_request(2, &[])).await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
    assert_eq!(header(&refused, names::NOT_RUN_HEADER), "1");
    fleet
        .inject_fault(Fault::new("*", Action::AddVersion { version: 2 }))
        .await
        .expect("it is set");
    for version in [1, 2] {
        let reply = send(address, shard_request(version, &[])).await;
        assert_eq!(header(&reply, names::VERSION_HEADER), version.to_string());
        assert_eq!(reply.status(), StatusCode::OK);
    }
    fleet
        .inject_fault(Fault::new("*", Action::DropVersion { version: 1 }))
        .await
        .expect("it is set");
    assert_eq!(send(address, shard_request(1, &[])).await.status(), StatusCode::CONFLICT);
    assert_eq!(stats(&fleet).begun, 2);
}

#[tokio::test]
async fn full_queue_refuses_and_cancellation_frees_it() {
    let service =
        Service { slots: 1, queue: 1, median_us: LONG_SERVICE_TIME_US, ..Service::default() };
    let (fleet, address) = start_server(service);
    let running = tokio::spawn(http::send(address, shard_request(1, &[])));
    eventually(|| stats(&fleet).begun == 1).await;
    let waiting = tokio::spawn(http::send(address, shard_request(1, &[])));
    eventually(|| stats(&fleet).load == 2).await;
    let shed = send(address, shard_request(1, &[])).await;
    assert_eq!(shed.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&shed, names::NOT_RUN_HEADER), "1");
    assert_eq!(header(&shed, names::LOAD_HEADER), "2");
    assert!(!header(&shed, names::RETRY_AFTER_MS_HEADER).is_empty());
    running.abort();
    eventually(|| stats(&fleet).begun == 2).await;
    assert_eq!((stats(&fleet).cancels, stats(&fleet).load), (1, 1));
    waiting.abort();
    eventually(|| stats(&fleet).cancels == 2).await;
    assert_eq!((stats(&fleet).load, stats(&fleet).finished), (0, 0));
}

#[tokio::test]
async fn request_past_its_deadline_is_not_run() {
    let (fleet, address) =
        start_server(Service { median_us: LONG_SERVICE_TIME_US, ..Service::default() });
    let before = send(address, shard_request(1, &[(names::DEADLINE_US_HEADER, "0")])).await;
    assert_eq!(header(&before, names::NOT_RUN_HEADER), "1");
    assert_eq!(stats(&fleet).begun, 0);
    // A request that started counts as run, even if its deadline passes.
    let during = loop {
        let reply = send(address, shard_request(1, &[(names::DEADLINE_US_HEADER, "50000")])).await;
        if stats(&fleet).begun == 1 {
            break reply;
        }
    };
    assert_eq!(during.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(header(&during, names::NOT_RUN_HEADER), "");
}

#[tokio::test]
async fn drain_finishes_running_requests() {
    let (fleet, address) = start_server(Service { median_us: 100_000, ..Service::default() });
    let running = tokio::spawn(http::send(address, shard_request(1, &[])));
    eventually(|| stats(&fleet).begun == 1).await;
    fleet.inject_fault(Fault::new("search-0-0", Action::Drain)).await.expect("it is set");
    let last_work = stats(&fleet).last_work_ms;
    let refused = send(address, shard_request(1, &[])).await;
    assert_eq!(header(&refused, names::NOT_RUN_HEADER), "1");
    assert_eq!(header(&refused, names::STATE_HEADER), "draining");
    let finished = running.await.expect("the task ends").expect("the reply arrives");
    assert_eq!(finished.status(), StatusCode::OK);
    let health = Request::get(names::HEALTH_PATH).body(Full::default()).expect("well-formed");
    let health: Health = serde_json::from_slice(send(address, health).await.body()).expect("JSON");
    assert_eq!(health.state, State::Draining);
    assert_eq!(stats(&fleet).last_work_ms, last_work);
}

#[tokio::test]
async fn runs_are_counted_at_their_start() {
    let (fleet, address) = start_server(fast_service());
    let non_idempotent = [(names::NON_IDEMPOTENT_HEADER, "1")];
    send(address, shard_request(1, &[])).await;
    assert!(fleet.runs().runs.is_empty());
    send(address, shard_request(1, &non_idempotent)).await;
    send(address, shard_request(2, &non_idempotent)).await;
    assert_eq!(fleet.runs().repeated().count(), 0, "the refused request did not run");
    send(address, shard_request(1, &non_idempotent)).await;
    let body = json!({ "q": 1 }).to_string();
    assert_eq!(fleet.runs().runs[&body].len(), 2);
    assert_eq!(fleet.runs().repeated().count(), 1);
}

#[tokio::test]
async fn malformed_request_is_not_run() {
    let (fleet, address) = start_server(fast_service());
    let bare = Request::post(names::SHARD_PATH).body(Full::default()).expect("well-formed");
    let refused = send(address, bare).await;
    assert_eq!(refused.status(), StatusCode::BAD_REQUEST);
    assert_eq!(header(&refused, names::NOT_RUN_HEADER), "1");
    assert_eq!(stats(&fleet).begun, 0);
}

#[test]
fn service_times_depend_on_the_seed() {
    let service = Service { straggler_share: 0.05, ..Service::default() };
    let times = |seed| -> Vec<Duration> {
        let mut work = ServiceTimes::new(seed);
        (0..10_000).map(|_| work.next(&service, 1.0)).collect()
    };
    assert_eq!(times(1), times(1));
    assert_ne!(times(1), times(2));
    let mut sorted = times(1);
    sorted.sort();
    let median = sorted[5000].as_secs_f64() * 1e6 / service.median_us as f64;
    assert!((0.95..1.1).contains(&median), "{median}");
    let far = Duration::from_micros(service.median_us * 4);
    let stragglers = sorted.iter().filter(|time| **time > far).count();
    assert!((400..600).contains(&stragglers), "{stragglers}");
}
