//! Finds out that this process was paused.
//!
//! What arrived while a process stood still waited in its sockets for a time that
//! nobody counted, so a deadline that is counted from the reading is worth
//! nothing. Invariant: a request that is read while [`Pulse::is_suspect`] holds
//! may be older than it says; one that is read at other times waited for less than
//! [`PAUSE`] unseen.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::process::state::Process;
use base::time::Time;

/// The time between two beats.
const EVERY: Duration = Duration::from_millis(50);
/// The time without a beat that counts as a pause.
const PAUSE: Duration = Duration::from_millis(500);
/// How long after a pause what is read may have waited through it.
const SETTLE: Duration = Duration::from_secs(1);

/// Beats while the process runs.
#[derive(Debug, Default)]
pub struct Pulse {
    /// The last beat, in microseconds of the process's time.
    beat: AtomicU64,
    /// The beat that ended the last pause; zero if there was none.
    woke: AtomicU64,
}

impl Pulse {
    /// One beat.
    pub fn beat(&self, now: Time) {
        let last = Time(self.beat.swap(now.0, Ordering::SeqCst));
        if now.since(last) >= PAUSE {
            self.woke.store(now.0, Ordering::SeqCst);
            log::warn!(target: "node", "The process stood still for {:?}.", now.since(last));
        }
    }

    /// Whether what is read now may have waited through a pause.
    pub fn is_suspect(&self, now: Time) -> bool {
        let beat = Time(self.beat.load(Ordering::SeqCst));
        let woke = Time(self.woke.load(Ordering::SeqCst));
        now.since(beat) >= PAUSE || (woke > Time::ZERO && now.since(woke) < SETTLE)
    }
}

/// Beats until the process ends.
pub async fn run(process: Arc<Process>) {
    loop {
        process.pulse.beat(process.clock.now());
        tokio::select! {
            () = process.end.cancelled() => return,
            () = tokio::time::sleep(EVERY) => {}
        }
    }
}
