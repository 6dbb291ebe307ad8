//! When a caller whose request has not run may come back. No I/O.

use std::time::Duration;

/// The time until enough services may accept a request again. `waits` has the time of each
/// service that did not accept it, zero if not known, of which `optional` may stay missing.
pub fn retry_after(mut waits: Vec<Duration>, optional: usize) -> Duration {
    waits.sort();
    let needed = waits.len().saturating_sub(optional);
    needed.checked_sub(1).map_or(Duration::ZERO, |last| waits[last])
}
