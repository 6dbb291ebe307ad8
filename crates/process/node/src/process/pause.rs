//! Detects that this process was paused.
//!
//! A request that arrives while the process is paused waits in its socket for an
//! unknown time, so a timeout that is counted from the moment of reading ends too
//! late. Invariant: a request that is read while
//! [`PauseDetector::paused_recently`] holds may have waited for an unknown time; one
//! that is read at other times has waited for less than [`MIN_PAUSE`].

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::process::state::Process;
use base::time::Time;

/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The time without a tick from which on the process counts as paused.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// For this long after a pause, a request that is read may have arrived during the
/// pause.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Detects pauses as gaps between ticks.
#[derive(Debug, Default)]
pub struct PauseDetector {
    /// The last tick, in microseconds of the process's clock.
    last_tick: AtomicU64,
    /// The tick that ended the last pause; zero if there was none.
    resumed_at: AtomicU64,
}

impl PauseDetector {
    /// Records a tick.
    pub fn tick(&self, now: Time) {
        let last = Time::from_micros(self.last_tick.swap(now.micros(), Ordering::SeqCst));
        if now.since(last) >= MIN_PAUSE {
            self.resumed_at.store(now.micros(), Ordering::SeqCst);
            log::warn!(target: "node", "The process was paused for {:?}.", now.since(last));
        }
    }

    /// Whether a request that is read now may have waited through a pause.
    pub fn paused_recently(&self, now: Time) -> bool {
        let last = Time::from_micros(self.last_tick.load(Ordering::SeqCst));
        let resumed = Time::from_micros(self.resumed_at.load(Ordering::SeqCst));
        now.since(last) >= MIN_PAUSE || (resumed > Time::ZERO && now.since(resumed) < SETTLE_TIME)
    }
}

/// Ticks until the process exits.
pub async fn run(process: Arc<Process>) {
    loop {
        process.pause_detector.tick(process.clock.now());
        tokio::select! {
            () = process.background_tasks.cancelled() => return,
            () = tokio::time::sleep(TICK_INTERVAL) => {}
        }
    }
}
