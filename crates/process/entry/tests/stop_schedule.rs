//! The end of the requests that are in progress when a node has to stop.

use std::future;

use entry::stop::Stop;

/// Guards against an answer that is ready when its request must end, and that is replaced by one
/// that says that the request may have run.
#[tokio::test]
async fn answer_that_is_ready_at_the_end_of_a_stop_is_sent() {
    let stop = Stop::default();
    stop.end_requests();
    for _ in 0..64 {
        assert_eq!(stop.run_until_due(future::ready("answer")).await, Some("answer"));
    }
}

/// Guards against a request that outlasts a stop and gets no answer.
#[tokio::test]
async fn request_without_an_answer_ends_with_the_stop() {
    let stop = Stop::default();
    let (ended, ()) = tokio::join!(stop.run_until_due(future::pending::<()>()), async {
        stop.end_requests();
    });
    assert_eq!(ended, None);
    assert_eq!(stop.run_until_due(future::pending::<()>()).await, None);
}
