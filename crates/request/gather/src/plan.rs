//! The parameters of a request, fixed before its first send.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Service;
use base::time::Time;
use replica::table::Selection;

/// The parameters of one request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The services to send it to, each at least once.
    pub services: Arc<[Service]>,
    /// The minimum number of them that an answer must cover.
    pub min_services: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The maximum number of servers of one service that may run it.
    pub max_attempts: u32,
    /// Until when an answer has its full value; from then on, an incomplete answer is
    /// returned as soon as it covers enough services.
    pub soft_deadline: Time,
    /// When the response must be returned at the latest.
    pub deadline: Time,
    /// The usual service time of the route's requests.
    pub service_time: Duration,
}

/// A hedge is sent after this multiple of the expected latency of the first
/// attempt, while the budget of extra requests is unused.
const HEDGE_FACTOR: f64 = 1.4;
/// Added to the factor when the budget is used up, so that the remaining hedges go
/// to the slowest requests.
const HEDGE_FACTOR_BUDGET_USED: f64 = 1.6;
/// Added to the delay of a hedge: a node and a server may lose this time to other
/// work.
const HEDGE_DELAY_MARGIN: Duration = Duration::from_millis(3);
/// The maximum delay of a hedge, as a fraction of the time to the soft deadline: the
/// rest must suffice for the network time to another region and the service time.
const MAX_HEDGE_DELAY_FRACTION: f64 = 0.42;
/// The maximum expected latency at a server, as a multiple of the time to the soft
/// deadline. It is above one because queue lengths are known from replies, which
/// over-represent the times of long queues, and because a late answer is better than
/// none.
const MAX_LATENCY_FACTOR: f64 = 2.5;
/// The maximum expected latency of a request past its soft deadline, as a fraction
/// of the time to the deadline; it is below that of requests that can still be
/// answered in time.
const MAX_LATE_LATENCY_FRACTION: f64 = 0.3;
/// How long to wait before a service is tried again whose servers all refused.
pub const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(25);

impl Plan {
    /// Whether to send to the chosen server `now`: its reply is expected within
    /// [`MAX_LATENCY_FACTOR`] of the time to the soft deadline or
    /// [`MAX_LATE_LATENCY_FRACTION`] of the time to the deadline, or by the deadline
    /// if the server is not saturated. Longer queues would not serve more requests;
    /// they would only serve them later.
    pub fn admits(&self, now: Time, choice: &Selection) -> bool {
        let left = self.deadline.since(now);
        let max_latency = self
            .soft_deadline
            .since(now)
            .mul_f64(MAX_LATENCY_FACTOR)
            .max(left.mul_f64(MAX_LATE_LATENCY_FRACTION));
        choice.expected_latency <= max_latency
            || (!choice.saturated && choice.expected_latency <= left)
    }

    /// When to hedge an attempt that is made `now` with the latency
    /// `expected_latency`; `budget_used` is the used fraction of the budget.
    pub fn hedge_time(&self, now: Time, expected_latency: Duration, budget_used: f64) -> Time {
        let used = budget_used.clamp(0.0, 1.0);
        let factor = HEDGE_FACTOR + HEDGE_FACTOR_BUDGET_USED * used * used;
        let usual = now + expected_latency.mul_f64(factor) + HEDGE_DELAY_MARGIN;
        if self.soft_deadline <= now {
            return usual;
        }
        usual.min(now + self.soft_deadline.since(now).mul_f64(MAX_HEDGE_DELAY_FRACTION))
    }
}
