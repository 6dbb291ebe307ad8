//! Limits extra sends (hedges and retries) to a percentage of the first sends.
//!
//! Invariant: over any period, the hedges (or retries) taken are at most their
//! percentage of the first sends in the period and in the two one-second windows
//! before it, plus the burst. None is taken during overload. So a wide fan-out can
//! use its whole allowance at once, but an allowance left over from a busy minute
//! expires.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::context::Budget;
use base::time::Time;

/// Tokens that one extra send costs.
const TOKENS_PER_SEND: u64 = 10_000;

/// The length of a window, in microseconds. Tokens expire at the end of the window
/// after the one they were earned in.
const WINDOW_MICROS: u64 = 1_000_000;

/// A token bucket: first sends add tokens, extra sends remove them.
struct TokenBucket {
    /// Tokens that one first send adds.
    tokens_per_first_send: u64,
    /// Tokens that can be held regardless of the first sends.
    burst: u64,
    tokens: AtomicU64,
    /// The number of the current window.
    window: AtomicU64,
    /// Tokens earned in the current window.
    earned: AtomicU64,
    /// Tokens earned in the previous window.
    earned_before: AtomicU64,
}

impl TokenBucket {
    fn new(percent: f64, burst: u64) -> Self {
        let tokens_per_first_send =
            (percent.clamp(0.0, 100.0) / 100.0 * TOKENS_PER_SEND as f64) as u64;
        let burst =
            if tokens_per_first_send == 0 { 0 } else { burst.saturating_mul(TOKENS_PER_SEND) };
        Self {
            tokens_per_first_send,
            burst,
            tokens: AtomicU64::new(burst),
            window: AtomicU64::new(0),
            earned: AtomicU64::new(0),
            earned_before: AtomicU64::new(0),
        }
    }

    fn refill(&self, now: Time) {
        let window = now.micros() / WINDOW_MICROS;
        let last = self.window.load(Ordering::Relaxed);
        let window_changed = last < window
            && self
                .window
                .compare_exchange(last, window, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if window_changed {
            let earned = self.earned.swap(0, Ordering::Relaxed);
            let earned_before = if last + 1 == window { earned } else { 0 };
            self.earned_before.store(earned_before, Ordering::Relaxed);
        }
        let earned = self.earned.fetch_add(self.tokens_per_first_send, Ordering::Relaxed)
            + self.tokens_per_first_send;
        let max_tokens = earned.max(self.earned_before.load(Ordering::Relaxed)).max(self.burst);
        let add = |tokens: u64| Some((tokens + self.tokens_per_first_send).min(max_tokens));
        // The closure always returns `Some`, so the update cannot fail.
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    fn take(&self) -> bool {
        let sub = |tokens: u64| tokens.checked_sub(TOKENS_PER_SEND);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub).is_ok()
    }
}

struct Buckets {
    hedges: TokenBucket,
    retries: TokenBucket,
    overloaded: AtomicBool,
}

/// The budget shared by all queries of a service; clones refer to the same budget.
#[derive(Clone)]
pub struct SharedBudget(Arc<Buckets>);

impl SharedBudget {
    /// Number of extra sends that a new or idle budget allows at once.
    pub const DEFAULT_BURST: u64 = 100;

    /// Creates a budget from percentages of the first sends.
    pub fn new(hedge_percent: f64, retry_percent: f64) -> Self {
        Self::with_burst(hedge_percent, retry_percent, Self::DEFAULT_BURST)
    }

    /// Creates a budget that allows `burst` extra sends at once.
    pub fn with_burst(hedge_percent: f64, retry_percent: f64, burst: u64) -> Self {
        Self(Arc::new(Buckets {
            hedges: TokenBucket::new(hedge_percent, burst),
            retries: TokenBucket::new(retry_percent, burst),
            overloaded: AtomicBool::new(false),
        }))
    }

    /// Denies all extra sends while `overloaded` is set.
    pub fn set_overloaded(&self, overloaded: bool) {
        self.0.overloaded.store(overloaded, Ordering::Relaxed);
    }

    fn overloaded(&self) -> bool {
        self.0.overloaded.load(Ordering::Relaxed)
    }
}

impl Budget for SharedBudget {
    fn first_send(&mut self, now: Time) {
        self.0.hedges.refill(now);
        self.0.retries.refill(now);
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
        let left = |bucket: &TokenBucket| bucket.tokens.load(Ordering::Relaxed) / TOKENS_PER_SEND;
        let (hedges, retries) = (left(&self.0.hedges), left(&self.0.retries));
        let overloaded = if self.overloaded() { ", overloaded" } else { "" };
        write!(f, "{hedges} hedges, {retries} retries left{overloaded}")
    }
}
