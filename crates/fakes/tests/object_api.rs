//! The platform without faults: revisions, preconditions, tombstones, watches, VMs.

use bytes::Bytes;
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
use wire::platform::MAX_VALUE_BYTES;
use wire::platform::Object;
use wire::platform::Vms;

const LONG_WAIT_MS: u64 = 60_000;

fn platform() -> Platform {
    Platform::start(([127, 0, 0, 1], 0).into()).expect("a port is free")
}

async fn call(
    platform: &Platform,
    method: &str,
    path: &str,
    condition: Option<(&str, &str)>,
    body: String,
) -> Response<Bytes> {
    let mut request = Request::builder().method(method).uri(path);
    if let Some((name, value)) = condition {
        request = request.header(name, value);
    }
    let request = request.body(Full::from(body)).expect("the request is well-formed");
    http::send(platform.address(), request).await.expect("the platform answers")
}

async fn get(platform: &Platform, path: &str) -> Response<Bytes> {
    call(platform, "GET", path, None, String::new()).await
}

async fn put(platform: &Platform, name: &str, condition: (&str, &str), value: Value) -> Object {
    let path = format!("/v1/objects/policy/{name}");
    read(&call(platform, "PUT", &path, Some(condition), value.to_string()).await)
}

fn read<T: serde::de::DeserializeOwned>(response: &Response<Bytes>) -> T {
    serde_json::from_slice(response.body()).expect("the body parses")
}

const ABSENT: (&str, &str) = ("if-none-match", "*");

#[tokio::test]
async fn all_objects_share_one_revision_counter() {
    let platform = platform();
    let first = put(&platform, "a", ABSENT, json!(1)).await;
    let second = put(&platform, "b", ABSENT, json!(2)).await;
    let third = put(&platform, "a", ("if-match", "1"), json!(3)).await;
    assert_eq!([first.revision, second.revision, third.revision], [1, 2, 3]);
    let list: List = read(&get(&platform, "/v1/objects/policy").await);
    assert_eq!(list, List { revision: 3, items: vec![third, second] });
}

#[tokio::test]
async fn failed_precondition_rejects_a_write() {
    let platform = platform();
    let path = "/v1/objects/policy/a";
    let item = put(&platform, "a", ABSENT, json!(1)).await;
    for condition in [ABSENT, ("if-match", "7"), ("if-match", "0")] {
        let response = call(&platform, "PUT", path, Some(condition), "2".to_owned()).await;
        assert_eq!(response.status(), StatusCode::PRECONDITION_FAILED, "{condition:?}");
        assert_eq!(read::<Object>(&response), item, "the reply has the current object");
    }
    let missing = call(&platform, "PUT", path, None, "2".to_owned()).await;
    assert_eq!(missing.status(), StatusCode::PRECONDITION_REQUIRED);
    let missing_object = put(&platform, "never", ("if-match", "1"), json!(2)).await;
    assert_eq!((missing_object.revision, missing_object.value), (0, None));
    assert_eq!(platform.stats().conflicts, 4);
}

#[tokio::test]
async fn delete_leaves_a_tombstone() {
    let platform = platform();
    let path = "/v1/objects/policy/a";
    put(&platform, "a", ABSENT, json!(1)).await;
    let deleted = call(&platform, "DELETE", path, Some(("if-match", "1")), String::new()).await;
    let tombstone: Object = read(&deleted);
    assert_eq!((tombstone.revision, &tombstone.value), (2, &None));
    assert_eq!(get(&platform, path).await.status(), StatusCode::NOT_FOUND);
    let list: List = read(&get(&platform, "/v1/objects/policy").await);
    assert_eq!(list, List { revision: 2, items: Vec::new() });
    let batch: Batch = read(&get(&platform, "/v1/watch?since=1&wait_ms=0").await);
    assert_eq!(batch, Batch { revision: 2, items: vec![tombstone] });
    let back = call(&platform, "PUT", path, Some(("if-match", "2")), "5".to_owned()).await;
    assert_eq!(back.status(), StatusCode::PRECONDITION_FAILED, "a tombstone matches nothing");
    assert_eq!(put(&platform, "a", ABSENT, json!(9)).await.revision, 3);
}

#[tokio::test]
async fn watch_waits_for_the_next_change() {
    let platform = platform();
    put(&platform, "a", ABSENT, json!(1)).await;
    let path = format!("/v1/watch?since=1&wait_ms={LONG_WAIT_MS}");
    let (batch, item) = tokio::join!(get(&platform, &path), async {
        while platform.stats().waiting == 0 {
            tokio::task::yield_now().await;
        }
        put(&platform, "b", ABSENT, json!(2)).await
    });
    assert_eq!(read::<Batch>(&batch), Batch { revision: 2, items: vec![item] });
    let empty: Batch = read(&get(&platform, "/v1/watch?since=2&wait_ms=1").await);
    assert_eq!(empty, Batch { revision: 2, items: Vec::new() });
    let stats = platform.stats();
    assert_eq!((stats.calls, stats.watches, stats.writes, stats.waiting), (4, 2, 2, 0));
}

#[tokio::test]
async fn too_large_value_is_rejected() {
    let platform = platform();
    let value = format!("\"{}\"", "x".repeat(MAX_VALUE_BYTES));
    let response = call(&platform, "PUT", "/v1/objects/policy/a", Some(ABSENT), value).await;
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(platform.stats().revision, 0);
}

#[tokio::test]
async fn vm_list_lags() {
    let platform = platform();
    let vms = |name: &str| {
        json!({ "vms": [{ "name": name, "address": "127.0.0.1:1", "data_centre": "a",
            "role": "entry", "life": "leaving" }] })
    };
    let names = |response: Response<Bytes>| -> Vec<String> {
        read::<Vms>(&response).vms.iter().map(|vm| vm.name.to_string()).collect()
    };
    assert!(names(get(&platform, "/v1/vms").await).is_empty());
    call(&platform, "PUT", "/v1/vms", None, vms("n1").to_string()).await;
    assert_eq!(names(get(&platform, "/v1/vms").await), ["n1"]);
    call(&platform, "PUT", "/v1/vms?lag_ms=3600000", None, vms("n2").to_string()).await;
    assert_eq!(names(get(&platform, "/v1/vms").await), ["n1"], "the change is not visible yet");
}
