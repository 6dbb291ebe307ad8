//! Connections that went silent are found, closed and replaced within the share.

mod support;

use std::time::Duration;

use support::Act;
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
        factor: 3,
        least: Duration::from_millis(40),
        alone: Duration::from_millis(100),
    })
}

/// Replies on another connection, one each 10 ms, 5 ms long.
fn progress(detector: &mut Detector, from: u64, replies: u64) {
    for turn in 0..replies {
        detector.sent(at(from + turn * 10), NEW, false);
        detector.replied(at(from + turn * 10 + 5), NEW);
    }
}

#[test]
fn progress_of_later_requests_shows_silence() {
    let mut detector = detector();
    detector.sent(at(0), OLD, false);
    progress(&mut detector, 1, 2);
    assert!(detector.silent(at(1000)).is_empty(), "two replies are too few");
    progress(&mut detector, 30, 1);
    assert!(detector.silent(at(36)).is_empty(), "the wait is too short");
    assert_eq!(detector.silent(at(1000)), [OLD]);
}

#[test]
fn a_slow_server_is_not_silent() {
    let mut detector = detector();
    detector.sent(at(0), OLD, false);
    for turn in 0..5 {
        detector.sent(at(1 + turn), NEW, false);
        detector.replied(at(400 + turn), NEW);
    }
    assert!(detector.silent(at(1000)).is_empty(), "all replies are as slow");
}

#[test]
fn replies_to_earlier_requests_show_nothing() {
    let mut detector = detector();
    detector.sent(at(10), OLD, false);
    for turn in 0..5 {
        let other = ConnectionId(10 + turn);
        detector.sent(at(1), other, false);
        detector.replied(at(20 + turn), other);
    }
    assert!(detector.silent(at(5000)).is_empty());
}

#[test]
fn a_request_that_must_not_run_twice_keeps_its_connection() {
    let mut detector = detector();
    detector.sent(at(0), OLD, true);
    progress(&mut detector, 1, 10);
    assert!(detector.silent(at(5000)).is_empty());
}

#[test]
fn an_answered_probe_stands_for_progress() {
    let mut detector = detector();
    detector.sent(at(0), OLD, false);
    assert_eq!(detector.probe(at(50)), None);
    assert_eq!(detector.probe(at(101)), Some(OLD));
    assert_eq!(detector.probe(at(102)), None, "the probe is under way");
    detector.probed(at(101));
    assert_eq!(detector.silent(at(103)), [OLD]);
}

/// The first connection never answers, the others do.
async fn one_is_silent(share: u32, keep: bool) -> Error {
    let stub = Stub::new(|number, _| if number == 1 { Act::Hold } else { Act::Answer }).await;
    let (pool, target) = (pool(), stub.target(share));
    let limit = Duration::from_secs(if keep { 1 } else { 30 });
    let first = Request { deadline: limit, non_idempotent: keep, ..request(0) };
    let stuck = pool.send(&target, &first);
    tokio::pin!(stuck);
    tokio::select! {
        _ = &mut stuck => panic!("the first connection never answers"),
        _ = stub.until(|seen| seen.requests.len() == 1) => {}
    }
    let stop = CancellationToken::new();
    let looking = tokio::spawn({
        let (pool, stop) = (pool.clone(), stop.clone());
        async move { pool.run(stop).await }
    });
    let error = stuck.await.unwrap_err();
    for number in 1..10 {
        pool.send(&target, &request(number)).await.unwrap();
    }
    stop.cancel();
    looking.await.unwrap();
    let seen = stub.seen.borrow().clone();
    assert!(seen.peak <= share, "replaced within the share, not beside it");
    error
}

#[tokio::test]
async fn a_silent_connection_is_found_by_a_probe() {
    assert_eq!(one_is_silent(2, false).await, Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn a_silent_connection_gives_up_the_only_place() {
    assert_eq!(one_is_silent(1, false).await, Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn what_must_not_run_twice_is_waited_for_until_its_deadline() {
    assert_eq!(one_is_silent(1, true).await, Error::Unknown(Lost::Deadline));
}

/// While one connection is silent, requests go over the others.
#[tokio::test]
async fn requests_are_not_made_to_wait_for_a_silent_connection() {
    let stub = Stub::new(|number, _| if number == 1 { Act::Hold } else { Act::Answer }).await;
    let (pool, target) = (pool(), stub.target(2));
    let first = Request { deadline: Duration::from_secs(3600), ..request(0) };
    let stuck = pool.send(&target, &first);
    tokio::pin!(stuck);
    tokio::select! {
        _ = &mut stuck => panic!("the first connection never answers"),
        _ = stub.until(|seen| seen.requests.len() == 1) => {}
    }
    for number in 1..10 {
        let request = request(number);
        tokio::select! {
            _ = &mut stuck => panic!("nobody looks after the connections here"),
            reply = pool.send(&target, &request) => assert!(reply.is_ok()),
        }
    }
}
