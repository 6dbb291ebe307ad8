//! Checks that connections that no longer respond are detected, closed and replaced
//! within the share.

mod support;

use std::time::Duration;

use support::Behavior;
use support::Stub;
use support::pool;
use support::request;
use tokio_util::sync::CancellationToken;

use base::time::Time;
use pool::error::Error;
use pool::error::Lost;
use pool::request::Request;
use pool::server::ConnectionId;
use pool::silence::Detector;
use pool::silence::Settings;

const OLD: ConnectionId = ConnectionId(1);
const NEW: ConnectionId = ConnectionId(2);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn detector() -> Detector {
    Detector::new(Settings {
        later_replies: 3,
        latency_factor: 3,
        min_wait: Duration::from_millis(40),
        probe_after: Duration::from_millis(100),
    })
}

/// Replies on another connection, one every 10 ms with a latency of 5 ms.
fn later_replies(detector: &mut Detector, from: u64, replies: u64) {
    for index in 0..replies {
        detector.request_sent(at(from + index * 10), NEW, false);
        detector.reply_received(at(from + index * 10 + 5), NEW);
    }
}

#[test]
fn later_replies_reveal_a_silent_connection() {
    let mut detector = detector();
    detector.request_sent(at(0), OLD, false);
    later_replies(&mut detector, 1, 2);
    assert!(detector.silent(at(1000)).is_empty(), "two replies are too few");
    later_replies(&mut detector, 30, 1);
    assert!(detector.silent(at(36)).is_empty(), "the wait is too short");
    assert_eq!(detector.silent(at(1000)), [OLD]);
}

#[test]
fn a_slow_server_is_not_silent() {
    let mut detector = detector();
    detector.request_sent(at(0), OLD, false);
    for index in 0..5 {
        detector.request_sent(at(1 + index), NEW, false);
        detector.reply_received(at(400 + index), NEW);
    }
    assert!(detector.silent(at(1000)).is_empty(), "all replies are equally slow");
}

#[test]
fn replies_to_earlier_requests_do_not_count() {
    let mut detector = detector();
    detector.request_sent(at(10), OLD, false);
    for index in 0..5 {
        let other = ConnectionId(10 + index);
        detector.request_sent(at(1), other, false);
        detector.reply_received(at(20 + index), other);
    }
    assert!(detector.silent(at(5000)).is_empty());
}

#[test]
fn a_non_idempotent_request_keeps_its_connection() {
    let mut detector = detector();
    detector.request_sent(at(0), OLD, true);
    later_replies(&mut detector, 1, 10);
    assert!(detector.silent(at(5000)).is_empty());
}

#[test]
fn an_answered_probe_counts_as_progress() {
    let mut detector = detector();
    detector.request_sent(at(0), OLD, false);
    assert_eq!(detector.next_probe(at(50)), None);
    assert_eq!(detector.next_probe(at(101)), Some(OLD));
    assert_eq!(detector.next_probe(at(102)), None, "the probe was just sent");
    detector.probe_answered(at(101));
    assert_eq!(detector.silent(at(103)), [OLD]);
}

/// The error of a request on the first connection, which never replies while the
/// others do.
async fn first_is_silent(share: u32, protected: bool) -> Error {
    let stub =
        Stub::new(|number, _| if number == 1 { Behavior::Hang } else { Behavior::Answer }).await;
    let (pool, target) = (pool(), stub.target(share));
    let limit = Duration::from_secs(if protected { 1 } else { 30 });
    let first = Request { timeout: limit, non_idempotent: protected, ..request(0) };
    let stuck = pool.send(&target, &first);
    tokio::pin!(stuck);
    tokio::select! {
        _ = &mut stuck => panic!("the first connection never replies"),
        _ = stub.wait_until(|observed| observed.requests.len() == 1) => {}
    }
    let stop = CancellationToken::new();
    let maintenance = tokio::spawn({
        let (pool, stop) = (pool.clone(), stop.clone());
        async move { pool.run(stop).await }
    });
    let error = stuck.await.unwrap_err();
    for number in 1..10 {
        pool.send(&target, &request(number)).await.unwrap();
    }
    stop.cancel();
    maintenance.await.unwrap();
    let observed = stub.observed.borrow().clone();
    assert!(observed.peak_open <= share, "the replacement must not exceed the share");
    error
}

#[tokio::test]
async fn a_silent_connection_is_detected_by_a_probe() {
    assert_eq!(first_is_silent(2, false).await, Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn a_silent_connection_is_closed_if_it_is_the_only_one() {
    assert_eq!(first_is_silent(1, false).await, Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn a_non_idempotent_request_waits_until_its_deadline() {
    assert_eq!(first_is_silent(1, true).await, Error::Unknown(Lost::Deadline));
}

/// While one connection is silent, other requests use the remaining ones.
#[tokio::test]
async fn requests_do_not_wait_for_a_silent_connection() {
    let stub =
        Stub::new(|number, _| if number == 1 { Behavior::Hang } else { Behavior::Answer }).await;
    let (pool, target) = (pool(), stub.target(2));
    let first = Request { timeout: Duration::from_secs(3600), ..request(0) };
    let stuck = pool.send(&target, &first);
    tokio::pin!(stuck);
    tokio::select! {
        _ = &mut stuck => panic!("the first connection never replies"),
        _ = stub.wait_until(|observed| observed.requests.len() == 1) => {}
    }
    for number in 1..10 {
        let request = request(number);
        tokio::select! {
            _ = &mut stuck => panic!("no maintenance closes the silent connection"),
            reply = pool.send(&target, &request) => assert!(reply.is_ok()),
        }
    }
}
