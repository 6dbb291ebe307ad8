//! An attempt without a reply tells exactly what is known of its effect.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Act;
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

async fn outcome(act: Act) -> Error {
    let stub = Stub::new(move |_, _| act.clone()).await;
    pool().send(&stub.target(1), &request(1)).await.unwrap_err()
}

#[tokio::test]
async fn a_certified_refusal_is_refused() {
    let Error::Refused { retry_after, report } = outcome(Act::Refuse).await else {
        panic!("not refused")
    };
    assert_eq!(retry_after, Some(Duration::from_millis(40)));
    assert_eq!(report.load, Some(1));
}

#[tokio::test]
async fn a_certificate_for_another_attempt_says_nothing() {
    assert!(matches!(outcome(Act::RefuseOther).await, Error::Unknown(Lost::Status { .. })));
}

#[tokio::test]
async fn a_failure_without_a_certificate_is_unknown() {
    assert!(matches!(outcome(Act::Fail).await, Error::Unknown(Lost::Status { status: 503, .. })));
}

#[tokio::test]
async fn a_close_after_the_send_is_unknown() {
    assert_eq!(outcome(Act::Close).await, Error::Unknown(Lost::Broken));
}

#[tokio::test]
async fn a_deadline_after_the_send_is_unknown() {
    let stub = Stub::new(|_, _| Act::Hold).await;
    let request = Request { deadline: Duration::from_millis(300), ..request(1) };
    let error = pool().send(&stub.target(1), &request).await.unwrap_err();
    assert_eq!(error, Error::Unknown(Lost::Deadline));
}

#[tokio::test]
async fn a_refused_connect_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let stub = Stub::new(|_, _| Act::Answer).await;
    let target = pool::request::Target { address, ..stub.target(1) };
    let error = pool().send(&target, &request(1)).await.unwrap_err();
    assert_eq!(error, Error::NotSent(Unsent::ConnectFailed));
    assert!(error.is_fault(), "it speaks against the server");
}

#[tokio::test]
async fn waiting_past_the_deadline_is_not_sent() {
    let stub = Stub::new(|_, _| Act::Hold).await;
    let (pool, target) = (pool(), stub.target(1));
    let first = request(1);
    let holding = pool.send(&target, &first);
    tokio::pin!(holding);
    tokio::select! {
        _ = &mut holding => panic!("nothing was answered"),
        _ = stub.until(|seen| seen.requests.len() == 1) => {}
    }
    let second = Request { deadline: Duration::from_millis(50), ..request(2) };
    let error = pool.send(&target, &second).await.unwrap_err();
    assert_eq!(error, Error::NotSent(Unsent::Deadline));
    assert_eq!(stub.seen.borrow().requests.len(), 1);
}

#[tokio::test]
async fn a_full_line_is_not_sent() {
    let stub = Stub::new(|_, _| Act::Hold).await;
    let settings = pool::settings::Settings { most_waiting: 0, ..settings() };
    let pool = Pool::new(settings, Arc::new(pool::client::Open));
    let error = pool.send(&stub.target(1), &request(1)).await.unwrap_err();
    assert_eq!(error, Error::NotSent(Unsent::QueueFull));
    assert!(!error.is_fault(), "it speaks of this node");
}

#[tokio::test]
async fn no_share_is_not_sent() {
    let stub = Stub::new(|_, _| Act::Answer).await;
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

/// The gate closes while the request waits for its connection; nothing goes out.
#[tokio::test]
async fn the_gate_is_asked_at_the_moment_of_sending() {
    let stub = Stub::new(|_, _| Act::Late).await;
    let gate = Arc::new(Switch(AtomicBool::new(true)));
    let pool = Pool::new(settings(), gate.clone());
    let target = stub.target(1);
    let (first, second) = (request(1), request(2));
    let (sending, waiting) = (pool.send(&target, &first), pool.send(&target, &second));
    tokio::pin!(sending, waiting);
    tokio::select! {
        biased;
        _ = &mut sending => panic!("nothing was answered yet"),
        _ = &mut waiting => panic!("no connection was free yet"),
        _ = stub.until(|seen| seen.requests.len() == 1) => {}
    }
    gate.0.store(false, Ordering::SeqCst);
    stub.release.send(true).unwrap();
    let (first, second) = tokio::join!(sending, waiting);
    assert!(first.is_ok());
    assert_eq!(second.unwrap_err(), Error::NotSent(Unsent::Denied));
    assert_eq!(stub.seen.borrow().requests.len(), 1);
}
