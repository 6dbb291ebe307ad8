//! What a request is run by; fixed before its first send.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Service;
use base::time::Time;
use replica::table::Selection;

/// The terms of one request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The services to ask, each once at least.
    pub parts: Arc<[Service]>,
    /// The fewest of them that an answer must cover.
    pub least: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The most servers of one service that may run it.
    pub attempts: u32,
    /// When an answer must be given to have its full worth; an incomplete one
    /// is given then if it covers enough.
    pub objective: Time,
    /// When the last word must be said.
    pub limit: Time,
    /// The usual time of the route's requests at a server.
    pub work: Duration,
}

/// A request is asked of a second server after this multiple of the time that
/// the first one was expected to take, while the budget of extra requests is
/// untouched.
const HEDGE_FACTOR: f64 = 1.4;
/// Added to the factor when the budget is spent, so that what is left goes to
/// the slowest requests.
const HEDGE_FACTOR_SPENT: f64 = 1.6;
/// Added to the delay: what a node and a server may lose to other work.
const HEDGE_SLACK: Duration = Duration::from_millis(3);
/// The latest hedge, as a part of the time from the start to the objective: what
/// is left must do for a way to another region and the work.
const HEDGE_LATEST: f64 = 0.42;
/// The longest line that is joined, as a multiple of the time to the objective.
/// It is above one since the lines at servers are known from replies, which tell
/// of the longest moments, and since a late answer is better than none.
const LINE_PART: f64 = 2.5;
/// The longest line that a request joins whose objective is past, as a part of
/// the time to the limit; below that of requests that can still be in time.
const LATE_LINE_PART: f64 = 0.3;
/// How long a service whose servers all refused is left alone.
pub const REFUSED_PAUSE: Duration = Duration::from_millis(25);

impl Plan {
    /// Whether a server is worth asking `now`: its reply is expected within
    /// [`LINE_PART`] of the time to the objective or [`LATE_LINE_PART`] of the
    /// time to the limit, or by the limit if the request need not wait there. A
    /// longer line would serve no more requests, only later ones.
    pub fn admits(&self, now: Time, choice: &Selection) -> bool {
        let limit = self.limit.since(now);
        let line = self.objective.since(now).mul_f64(LINE_PART).max(limit.mul_f64(LATE_LINE_PART));
        choice.expected_latency <= line || (!choice.saturated && choice.expected_latency <= limit)
    }

    /// When an attempt that is made `now` and expected to take `expected` is
    /// asked elsewhere as well; `spent` is the part of the budget that is spent.
    pub fn hedge(&self, now: Time, expected: Duration, spent: f64) -> Time {
        let spent = spent.clamp(0.0, 1.0);
        let factor = HEDGE_FACTOR + HEDGE_FACTOR_SPENT * spent * spent;
        let usual = now + expected.mul_f64(factor) + HEDGE_SLACK;
        if self.objective <= now {
            return usual;
        }
        usual.min(now + self.objective.since(now).mul_f64(HEDGE_LATEST))
    }
}
