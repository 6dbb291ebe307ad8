//! Checks that each attempt gets its own complete reply, and that a connection on
//! which another reply may still arrive is never reused.

mod support;

use support::Behavior;
use support::Stub;
use support::pool;
use support::request;

#[tokio::test]
async fn a_connection_is_reused_after_a_reply() {
    let stub = Stub::new(|_, _| Behavior::Answer).await;
    let pool = pool();
    for number in 0..5 {
        let request = request(number);
        let reply = pool.send(&stub.target(1), &request).await.unwrap();
        assert_eq!(reply.attempt_id, Some(request.attempt));
        assert!(reply.complete);
        assert_eq!(&reply.body[..], b"found");
    }
    assert_eq!(stub.observed.borrow().accepted, 1);
}

#[tokio::test]
async fn a_truncated_body_is_not_complete() {
    let stub =
        Stub::new(|number, _| if number == 1 { Behavior::Truncate } else { Behavior::Answer })
            .await;
    let pool = pool();
    let truncated = pool.send(&stub.target(1), &request(1)).await.unwrap();
    assert!(!truncated.complete);
    let whole = pool.send(&stub.target(1), &request(2)).await.unwrap();
    assert!(whole.complete);
}

#[tokio::test]
async fn a_swapped_reply_is_detected_and_closes_its_connection() {
    let stub =
        Stub::new(|number, _| if number == 1 { Behavior::WrongAttempt } else { Behavior::Answer })
            .await;
    let pool = pool();
    let first = request(1);
    let reply = pool.send(&stub.target(1), &first).await.unwrap();
    assert_ne!(reply.attempt_id, Some(first.attempt));
    let second = request(2);
    let reply = pool.send(&stub.target(1), &second).await.unwrap();
    assert_eq!(reply.attempt_id, Some(second.attempt));
    assert_eq!(stub.observed.borrow().requests[1].0, 2);
}

#[tokio::test]
async fn a_late_reply_after_a_cancel_is_discarded() {
    let stub =
        Stub::new(|number, _| if number == 1 { Behavior::Delay } else { Behavior::Answer }).await;
    let pool = pool();
    let target = stub.target(1);
    let first = request(1);
    {
        let pending = pool.send(&target, &first);
        tokio::select! {
            _ = pending => panic!("no reply was sent yet"),
            _ = stub.wait_until(|observed| observed.requests.len() == 1) => {}
        }
    }
    stub.release.send(true).unwrap();
    let second = request(2);
    let reply = pool.send(&target, &second).await.unwrap();
    assert_eq!(reply.attempt_id, Some(second.attempt));
    let observed = stub.wait_until(|observed| observed.open == 1).await;
    assert_eq!(observed.requests[1].0, 2, "the second request must use a new connection");
}
