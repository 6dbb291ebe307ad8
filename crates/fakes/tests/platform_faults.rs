//! The platform's faults, set over HTTP while it runs.

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

/// Polls after which a test is stuck.
const POLLS: u32 = 20_000;

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

async fn fault(platform: &Platform, fault: Value) {
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

/// Polls until the platform has counted what `done` waits for.
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
async fn outage_refuses_closes_or_hangs() {
    let platform = platform();
    fault(&platform, json!({ "outage": "refuse" })).await;
    let refused = create(&platform, "a").await.expect("a refusal is an answer");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    fault(&platform, json!({ "outage": "close" })).await;
    assert!(create(&platform, "a").await.is_err());
    fault(&platform, json!({ "outage": "hang" })).await;
    hangs_during(create(&platform, "a"), async {
        until(|| platform.stats().outages == 3).await;
        fault(&platform, json!({})).await;
        assert_eq!(names(&platform).await, [""; 0], "no call of the outage had an effect");
    })
    .await;
    create(&platform, "a").await.expect("the outage is over");
    assert_eq!(names(&platform).await, ["a"]);
}

#[tokio::test]
async fn effect_comes_without_answer() {
    let platform = platform();
    fault(&platform, json!({ "effect_without_answer": 2, "lose_by": "close" })).await;
    assert!(create(&platform, "a").await.is_err());
    assert!(create(&platform, "b").await.is_err());
    assert!(create(&platform, "c").await.is_ok(), "only the next two are met");
    assert_eq!(names(&platform).await, ["a", "b", "c"]);
    fault(&platform, json!({ "effect_without_answer": 1 })).await;
    hangs_during(create(&platform, "d"), async {
        until(|| platform.stats().revision == 4).await;
        assert_eq!(names(&platform).await, ["a", "b", "c", "d"]);
    })
    .await;
}

#[tokio::test]
async fn late_effect_meets_its_precondition_late() {
    let platform = platform();
    let late = json!({ "late_effect": { "writes": 2, "ms": 200 }, "lose_by": "close" });
    fault(&platform, late).await;
    assert!(create(&platform, "a").await.is_err());
    assert!(create(&platform, "b").await.is_err());
    // A writer that came in between wins over the late one.
    create(&platform, "b").await.expect("the third write is not met");
    let batch = watch(&platform, 1, 60_000).await;
    assert_eq!(batch.items.len(), 1);
    assert_eq!(&*batch.items[0].name, "a", "the late effect came");
    until(|| platform.stats().conflicts == 1).await;
    assert_eq!(platform.stats().revision, 2);
}

#[tokio::test]
async fn stale_read_shows_the_past() {
    let platform = platform();
    for name in ["a", "b", "c"] {
        create(&platform, name).await.expect("the platform is healthy");
    }
    fault(&platform, json!({ "stale_by": 2 })).await;
    assert_eq!(names(&platform).await, ["a"]);
    assert_eq!(watch(&platform, 0, 0).await.revision, 3, "watches are not stale");
    fault(&platform, json!({})).await;
    assert_eq!(names(&platform).await, ["a", "b", "c"]);
}

#[tokio::test]
async fn silent_watch_never_returns() {
    let platform = platform();
    hangs_during(watch(&platform, 0, 60_000), async {
        until(|| platform.stats().waiting == 1).await;
        fault(&platform, json!({ "silent_watch": true })).await;
        create(&platform, "a").await.expect("writes work");
        fault(&platform, json!({})).await;
        assert_eq!(watch(&platform, 0, 60_000).await.revision, 1, "a new watch works");
    })
    .await;
}

#[tokio::test]
async fn unknown_fault_is_refused() {
    let platform = platform();
    let response = call(&platform, request("PUT", "/fault", "{\"outge\":\"hang\"}".to_owned()));
    let status = response.await.expect("the platform answers").status();
    assert_eq!(status, StatusCode::BAD_REQUEST);
}
