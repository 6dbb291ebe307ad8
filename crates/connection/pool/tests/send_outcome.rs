//! Checks that the error of an attempt without a reply states correctly whether the
//! server may have run it.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Behavior;
use support::Stub;
use support::pool;
use support::request;
use support::settings;
use tokio::net::TcpListener;

use base::entity::Server;
use pool::client::Eligibility;
use pool::client::Pool;
use pool::error::Error;
use pool::error::Lost;
use pool::error::Unsent;
use pool::request::Request;

async fn send_error(behavior: Behavior) -> Error {
    let stub = Stub::new(move |_, _| behavior.clone()).await;
    pool().send(&stub.target(1), &request(1)).await.unwrap_err()
}

#[tokio::test]
async fn a_refusal_with_a_not_run_header_is_refused() {
    let Error::Refused { retry_after, report } = send_error(Behavior::Refuse).await else {
        panic!("not refused")
    };
    assert_eq!(retry_after, Some(Duration::from_millis(40)));
    assert_eq!(report.load, Some(1));
}

#[tokio::test]
async fn a_not_run_header_for_another_attempt_is_unknown() {
    assert!(matches!(
        send_error(Behavior::RefuseWrongAttempt).await,
        Error::Unknown(Lost::Status { .. })
    ));
}

#[tokio::test]
async fn a_server_error_without_a_not_run_header_is_unknown() {
    assert!(matches!(
        send_error(Behavior::ServerError).await,
        Error::Unknown(Lost::Status { status: 503, .. })
    ));
}

#[tokio::test]
async fn a_close_after_the_send_is_unknown() {
    assert_eq!(send_error(Behavior::Close).await, Error::Unknown(Lost::Broken));
}

#[tokio::test]
async fn a_deadline_after_the_send_is_unknown() {
    let stub = Stub::new(|_, _| Behavior::Hang).await;
    let request = Request { timeout: Duration::from_millis(300), ..request(1) };
    let error = pool().send(&stub.target(1), &request).await.unwrap_err();
    assert_eq!(error, Error::Unknown(Lost::Deadline));
}

#[tokio::test]
async fn a_request_to_a_closed_port_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let stub = Stub::new(|_, _| Behavior::Answer).await;
    let target = pool::request::Target { address, ..stub.target(1) };
    let error = pool().send(&target, &request(1)).await.unwrap_err();
    assert_eq!(error, Error::NotSent(Unsent::ConnectFailed));
    assert!(error.is_server_failure(), "a failed connect counts as a failure of the server");
}

#[tokio::test]
async fn a_request_queued_past_its_deadline_is_not_sent() {
    let stub = Stub::new(|_, _| Behavior::Hang).await;
    let (pool, target) = (pool(), stub.target(1));
    let first = request(1);
    let pending = pool.send(&target, &first);
    tokio::pin!(pending);
    tokio::select! {
        _ = &mut pending => panic!("no reply was sent"),
        _ = stub.wait_until(|observed| observed.requests.len() == 1) => {}
    }
    let second = Request { timeout: Duration::from_millis(50), ..request(2) };
    let error = pool.send(&target, &second).await.unwrap_err();
    assert_eq!(error, Error::NotSent(Unsent::Deadline));
    assert_eq!(stub.observed.borrow().requests.len(), 1);
}

#[tokio::test]
async fn a_request_for_a_full_queue_is_not_sent() {
    let stub = Stub::new(|_, _| Behavior::Hang).await;
    let settings = pool::settings::Settings { max_waiting: 0, ..settings() };
    let pool = Pool::new(settings, Arc::new(pool::client::AllowAll));
    let error = pool.send(&stub.target(1), &request(1)).await.unwrap_err();
    assert_eq!(error, Error::NotSent(Unsent::QueueFull));
    assert!(!error.is_server_failure(), "a full queue is not a failure of the server");
}

#[tokio::test]
async fn a_request_without_a_share_is_not_sent() {
    let stub = Stub::new(|_, _| Behavior::Answer).await;
    let pool = pool();
    pool.set_member_count(5);
    let error = pool.send(&stub.target(4), &request(1)).await.unwrap_err();
    assert_eq!(error, Error::NotSent(Unsent::NoShare));
}

struct Switch(AtomicBool);

impl Eligibility for Switch {
    fn may_send(&self, _: Server) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// The server becomes ineligible while the request waits for a connection; the
/// request must not be sent.
#[tokio::test]
async fn eligibility_is_checked_directly_before_sending() {
    let stub = Stub::new(|_, _| Behavior::Delay).await;
    let eligibility = Arc::new(Switch(AtomicBool::new(true)));
    let pool = Pool::new(settings(), eligibility.clone());
    let target = stub.target(1);
    let (first, second) = (request(1), request(2));
    let (pending, waiting) = (pool.send(&target, &first), pool.send(&target, &second));
    tokio::pin!(pending, waiting);
    tokio::select! {
        biased;
        _ = &mut pending => panic!("no reply was sent yet"),
        _ = &mut waiting => panic!("no connection was free yet"),
        _ = stub.wait_until(|observed| observed.requests.len() == 1) => {}
    }
    eligibility.0.store(false, Ordering::SeqCst);
    stub.release.send(true).unwrap();
    let (first, second) = tokio::join!(pending, waiting);
    assert!(first.is_ok());
    assert_eq!(second.unwrap_err(), Error::NotSent(Unsent::Denied));
    assert_eq!(stub.observed.borrow().requests.len(), 1);
}
