//! Waiting for a condition in tests. The limit only ends a test that hangs.

use std::time::Duration;

/// After this a test hangs.
const STUCK: Duration = Duration::from_secs(40);
/// The pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Ends `future` with a panic if it hangs.
pub async fn with_timeout<T>(what: &str, future: impl Future<Output = T>) -> T {
    match tokio::time::timeout(STUCK, future).await {
        Ok(value) => value,
        Err(_) => panic!("this hangs: {what}"),
    }
}

/// Waits until `done`.
pub async fn eventually(what: &str, mut done: impl AsyncFnMut() -> bool) {
    with_timeout(what, async {
        while !done().await {
            tokio::time::sleep(LOOK).await;
        }
    })
    .await;
}
