//! Extra sends as a share of first sends.
//!
//! Invariant: over any span, the hedges (or retries) taken are at most their
//! share of the first sends in it and in the two windows of a second before it,
//! plus the burst; none is taken while overloaded. So a wide fan-out may use its whole
//! share at once, and what a busy minute left unused doesn't last.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::context::Budget;
use base::time::Time;

/// What one extra send costs; a share is given in these per first send.
const UNIT: u64 = 10_000;

/// For how long what was earned may be used, in microseconds.
const WINDOW: u64 = 1_000_000;

/// A bucket that first sends fill and extra sends empty.
struct Bucket {
    /// Tokens added by one first send, in parts of [`UNIT`].
    share: u64,
    /// Tokens that are kept in any case.
    burst: u64,
    tokens: AtomicU64,
    /// The number of the current window.
    window: AtomicU64,
    /// Tokens earned in the current window, and in the one before it.
    earned: AtomicU64,
    before: AtomicU64,
}

impl Bucket {
    fn new(percent: f64, burst: u64) -> Self {
        let share = (percent.clamp(0.0, 100.0) / 100.0 * UNIT as f64) as u64;
        let burst = if share == 0 { 0 } else { burst.saturating_mul(UNIT) };
        Self {
            share,
            burst,
            tokens: AtomicU64::new(burst),
            window: AtomicU64::new(0),
            earned: AtomicU64::new(0),
            before: AtomicU64::new(0),
        }
    }

    fn fill(&self, now: Time) {
        let window = now.0 / WINDOW;
        let last = self.window.load(Ordering::Relaxed);
        let turned = last < window
            && self
                .window
                .compare_exchange(last, window, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if turned {
            let earned = self.earned.swap(0, Ordering::Relaxed);
            let before = if last + 1 == window { earned } else { 0 };
            self.before.store(before, Ordering::Relaxed);
        }
        let earned = self.earned.fetch_add(self.share, Ordering::Relaxed) + self.share;
        let most = earned.max(self.before.load(Ordering::Relaxed)).max(self.burst);
        let add = |tokens: u64| Some((tokens + self.share).min(most));
        // The update always has a value, so it can't fail.
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    fn take(&self) -> bool {
        let sub = |tokens: u64| tokens.checked_sub(UNIT);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub).is_ok()
    }
}

struct Buckets {
    hedges: Bucket,
    retries: Bucket,
    overloaded: AtomicBool,
}

/// The budget that all queries of a service share; a clone is another handle.
#[derive(Clone)]
pub struct SharedBudget(Arc<Buckets>);

impl SharedBudget {
    /// Extra sends that a new or idle budget allows at once.
    pub const BURST: u64 = 100;

    /// A budget of shares in percent of first sends.
    pub fn new(hedge_percent: f64, retry_percent: f64) -> Self {
        Self::with_burst(hedge_percent, retry_percent, Self::BURST)
    }

    /// A budget that allows `burst` extra sends at once.
    pub fn with_burst(hedge_percent: f64, retry_percent: f64, burst: u64) -> Self {
        Self(Arc::new(Buckets {
            hedges: Bucket::new(hedge_percent, burst),
            retries: Bucket::new(retry_percent, burst),
            overloaded: AtomicBool::new(false),
        }))
    }

    /// Stops (or allows again) all extra sends.
    pub fn set_overloaded(&self, overloaded: bool) {
        self.0.overloaded.store(overloaded, Ordering::Relaxed);
    }

    fn overloaded(&self) -> bool {
        self.0.overloaded.load(Ordering::Relaxed)
    }
}

impl Budget for SharedBudget {
    fn first_send(&mut self, now: Time) {
        self.0.hedges.fill(now);
        self.0.retries.fill(now);
    }

    fn take_hedge(&mut self, _now: Time) -> bool {
        !self.overloaded() && self.0.hedges.take()
    }

    fn take_retry(&mut self, _now: Time) -> bool {
        !self.overloaded() && self.0.retries.take()
    }
}

impl fmt::Display for SharedBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let left = |bucket: &Bucket| bucket.tokens.load(Ordering::Relaxed) / UNIT;
        let (hedges, retries) = (left(&self.0.hedges), left(&self.0.retries));
        let overloaded = if self.overloaded() { ", overloaded" } else { "" };
        write!(f, "{hedges} hedges, {retries} retries left{overloaded}")
    }
}
