//! Faults of the platform, set over HTTP while it runs.

use std::future::Future;
use std::io;
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
use fakes::platform::Platform;
use wire::platform::Batch;
use wire::platform::List;

/// The number of polls after which a wait fails.
const MAX_POLLS: u32 = 20_000;

fn platform() -> Platform {
    Platform::start(([127, 0, 0, 1], 0).into()).expect("a port is free")
}

async fn call(platform: &Platform, request: Request<Full<Bytes>>) -> io::Result<Response<Bytes>> {
    http::send(platform.address(), request).await
}

fn request(method: &str, path: &str, body: String) -> Request<Full<Bytes>> {
    let request = Request::builder().method(method).uri(path).header("if-none-match", "*");
    request.body(Full::from(body)).expect("the request is well-formed")
}

async fn put_fault(platform: &Platform, fault: Value) {
    let response = call(platform, request("PUT", "/fault", fault.to_string())).await;
    let status = response.expect("the platform answers").status();
    assert_eq!(status, StatusCode::OK);
}

async fn create(platform: &Platform, name: &str) -> io::Result<Response<Bytes>> {
    let path = format!("/v1/objects/policy/{name}");
    call(platform, request("PUT", &path, "1".to_owned())).await
}

async fn names(platform: &Platform) -> Vec<String> {
    let list = call(platform, request("GET", "/v1/objects/policy", String::new())).await;
    let list = list.expect("the platform answers");
    let list: List = serde_json::from_slice(list.body()).expect("the body is a list");
    list.items.iter().map(|item| item.name.to_string()).collect()
}

async fn watch(platform: &Platform, since: u64, wait_ms: u64) -> Batch {
    let path = format!("/v1/watch?since={since}&wait_ms={wait_ms}");
    let batch = call(platform, request("GET", &path, String::new())).await;
    serde_json::from_slice(batch.expect("the platform answers").body()).expect("a batch")
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
async fn outage_refuses_closes_or_hangs() {
    let platform = platform();
    put_fault(&platform, json!({ "outage": "refuse" })).await;
    let refused = create(&platform, "a").await.expect("a refusal is an answer");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    put_fault(&platform, json!({ "outage": "close" })).await;
    assert!(create(&platform, "a").await.is_err());
    put_fault(&platform, json!({ "outage": "hang" })).await;
    stays_pending_during(create(&platform, "a"), async {
        eventually(|| platform.stats().outages == 3).await;
        put_fault(&platform, json!({})).await;
        assert_eq!(names(&platform).await, [""; 0], "no call of the outage had an effect");
    })
    .await;
    create(&platform, "a").await.expect("the outage is over");
    assert_eq!(names(&platform).await, ["a"]);
}

#[tokio::test]
async fn write_takes_effect_without_answer() {
    let platform = platform();
    put_fault(&platform, json!({ "effect_without_answer": 2, "lose_by": "close" })).await;
    assert!(create(&platform, "a").await.is_err());
    assert!(create(&platform, "b").await.is_err());
    assert!(create(&platform, "c").await.is_ok(), "only the next two writes are affected");
    assert_eq!(names(&platform).await, ["a", "b", "c"]);
    put_fault(&platform, json!({ "effect_without_answer": 1 })).await;
    stays_pending_during(create(&platform, "d"), async {
        eventually(|| platform.stats().revision == 4).await;
        assert_eq!(names(&platform).await, ["a", "b", "c", "d"]);
    })
    .await;
}

#[tokio::test]
async fn delayed_write_checks_its_precondition_late() {
    let platform = platform();
    let late = json!({ "late_effect": { "writes": 2, "ms": 200 }, "lose_by": "close" });
    put_fault(&platform, late).await;
    assert!(create(&platform, "a").await.is_err());
    assert!(create(&platform, "b").await.is_err());
    // A write in between wins over the delayed one.
    create(&platform, "b").await.expect("the third write is not delayed");
    let batch = watch(&platform, 1, 60_000).await;
    assert_eq!(batch.items.len(), 1);
    assert_eq!(&*batch.items[0].name, "a", "the delayed write took effect");
    eventually(|| platform.stats().conflicts == 1).await;
    assert_eq!(platform.stats().revision, 2);
}

#[tokio::test]
async fn stale_read_returns_an_older_revision() {
    let platform = platform();
    for name in ["a", "b", "c"] {
        create(&platform, name).await.expect("the platform is healthy");
    }
    put_fault(&platform, json!({ "stale_by": 2 })).await;
    assert_eq!(names(&platform).await, ["a"]);
    assert_eq!(watch(&platform, 0, 0).await.revision, 3, "watches are not stale");
    put_fault(&platform, json!({})).await;
    assert_eq!(names(&platform).await, ["a", "b", "c"]);
}

#[tokio::test]
async fn silent_watch_never_returns() {
    let platform = platform();
    stays_pending_during(watch(&platform, 0, 60_000), async {
        eventually(|| platform.stats().waiting == 1).await;
        put_fault(&platform, json!({ "silent_watch": true })).await;
        create(&platform, "a").await.expect("writes work");
        put_fault(&platform, json!({})).await;
        assert_eq!(watch(&platform, 0, 60_000).await.revision, 1, "a new watch works");
    })
    .await;
}

#[tokio::test]
async fn unknown_fault_is_rejected() {
    let platform = platform();
    let response = call(&platform, request("PUT", "/fault", "{\"outge\":\"hang\"}".to_owned()));
    let status = response.await.expect("the platform answers").status();
    assert_eq!(status, StatusCode::BAD_REQUEST);
}
