//! Timeouts that account for pauses of this process.
//!
//! After a pause, replies that arrived meanwhile wait in their sockets, and all timers that
//! ended meanwhile fire at once. Such replies are read before the time counts as over.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::error::Elapsed;

/// A timer that fires later than this was held up by a pause of the process.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// How long replies may be read after a pause.
pub const READ_TIME: Duration = Duration::from_millis(100);

/// Whether a timer that was due at `deadline` and fires now was held up by a pause.
pub fn was_paused(deadline: Instant) -> bool {
    deadline.elapsed() >= MIN_PAUSE
}

/// Like [`tokio::time::timeout_at`], but after a pause `future` may end within
/// [`READ_TIME`].
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = std::pin::pin!(future);
    match tokio::time::timeout_at(deadline, future.as_mut()).await {
        Err(_) if was_paused(deadline) => tokio::time::timeout(READ_TIME, future).await,
        result => result,
    }
}
