//! Each attempt gets its own whole reply, and a connection that may still carry
//! another one is never used again.

mod support;

use support::Act;
use support::Stub;
use support::pool;
use support::request;

#[tokio::test]
async fn an_answered_connection_is_used_again() {
    let stub = Stub::new(|_, _| Act::Answer).await;
    let pool = pool();
    for number in 0..5 {
        let request = request(number);
        let reply = pool.send(&stub.target(1), &request).await.unwrap();
        assert_eq!(reply.echo, Some(request.attempt));
        assert!(reply.complete);
        assert_eq!(&reply.body[..], b"found");
    }
    assert_eq!(stub.seen.borrow().accepted, 1);
}

#[tokio::test]
async fn a_cut_body_is_not_complete() {
    let stub = Stub::new(|number, _| if number == 1 { Act::Cut } else { Act::Answer }).await;
    let pool = pool();
    let cut = pool.send(&stub.target(1), &request(1)).await.unwrap();
    assert!(!cut.complete);
    let whole = pool.send(&stub.target(1), &request(2)).await.unwrap();
    assert!(whole.complete);
}

#[tokio::test]
async fn a_swapped_reply_shows_and_closes_its_connection() {
    let stub = Stub::new(|number, _| if number == 1 { Act::Swap } else { Act::Answer }).await;
    let pool = pool();
    let first = request(1);
    let reply = pool.send(&stub.target(1), &first).await.unwrap();
    assert_ne!(reply.echo, Some(first.attempt));
    let second = request(2);
    let reply = pool.send(&stub.target(1), &second).await.unwrap();
    assert_eq!(reply.echo, Some(second.attempt));
    assert_eq!(stub.seen.borrow().requests[1].0, 2);
}

#[tokio::test]
async fn a_late_reply_after_a_cancel_reaches_nobody() {
    let stub = Stub::new(|number, _| if number == 1 { Act::Late } else { Act::Answer }).await;
    let pool = pool();
    let target = stub.target(1);
    let first = request(1);
    {
        let sending = pool.send(&target, &first);
        tokio::select! {
            _ = sending => panic!("nothing was answered yet"),
            _ = stub.until(|seen| seen.requests.len() == 1) => {}
        }
    }
    stub.release.send(true).unwrap();
    let second = request(2);
    let reply = pool.send(&target, &second).await.unwrap();
    assert_eq!(reply.echo, Some(second.attempt));
    let seen = stub.until(|seen| seen.open == 1).await;
    assert_eq!(seen.requests[1].0, 2, "the second request went over a new connection");
}
