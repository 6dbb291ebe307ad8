//! Waiting for a condition in tests. The timeout only ends tests that hang.

use std::time::Duration;

/// The time after which a test counts as hung.
const TIMEOUT: Duration = Duration::from_secs(40);
/// The pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Awaits `future`, or panics if it doesn't finish in time.
pub async fn with_timeout<T>(what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(TIMEOUT, future).await {
        Ok(value) => value,
        Err(_) => panic!("timed out: {what}"),
    }
}

/// Polls until `done` returns true, or panics if it doesn't in time.
pub async fn eventually(what: &str, mut done: impl AsyncFnMut() -> bool) {
    with_timeout(what, async {
        while !done().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
    .await;
}
