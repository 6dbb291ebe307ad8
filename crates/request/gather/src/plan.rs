//! The parameters of a request, fixed before its first send.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Service;
use base::time::Time;
use replica::table::Selection;

/// The parameters of one request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The services that should answer it. Each shard of a query is a service.
    pub services: Arc<[Service]>,
    /// The minimum number of them that an answer must cover.
    pub min_services: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The maximum number of servers of one service that may run it; attempts that were
    /// certainly not run don't count.
    pub max_attempts: u32,
    /// Until when an answer has its full value; from then on, an incomplete answer is
    /// returned as soon as it covers enough services.
    pub soft_deadline: Time,
    /// When the response must be returned at the latest: before the caller's deadline, by
    /// the time that returning it takes.
    pub deadline: Time,
    /// The usual service time of the route's requests.
    pub usual_service_time: Duration,
    /// The time that this node itself takes to send the request to all services and to read
    /// their replies.
    pub own_work: Duration,
}

/// A hedge is sent after this multiple of the expected latency of the latest attempt,
/// while the budget of extra sends is unused.
const HEDGE_FACTOR: f64 = 1.4;
/// Added to the factor when the budget is used up, so that the remaining hedges go
/// to the slowest requests.
const HEDGE_FACTOR_INCREASE: f64 = 1.6;
/// Added to the delay of a hedge: a node and a server may lose this time to work on other
/// requests.
const HEDGE_DELAY_MARGIN: Duration = Duration::from_millis(3);
/// The maximum delay of a hedge, as a fraction of the time to the soft deadline: the
/// rest must suffice for the network time to another region and the service time.
const MAX_HEDGE_DELAY_FRACTION: f64 = 0.42;
/// The maximum expected latency at a server, as a multiple of the time to the soft
/// deadline. It is above one because reported queues are longer than the average, and
/// because a late answer is better than none.
const MAX_LATENCY_FACTOR: f64 = 2.5;
/// The same for a service that the answer can do without. It is above one because expected
/// latencies count the line at a server twice: as its slowness and as its load.
const MAX_OPTIONAL_LATENCY_FACTOR: f64 = 1.3;
/// Alternative limit, as a fraction of the time to the deadline: the greater limit
/// applies, and this one alone after the soft deadline.
const MAX_LATE_LATENCY_FRACTION: f64 = 0.3;
/// How long to wait before a service is tried again whose servers were all tried and
/// did not run the request.
pub const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(25);

impl Plan {
    /// Whether to send to the chosen server `now`: its reply is expected within
    /// [`MAX_LATENCY_FACTOR`] of the time to the soft deadline or
    /// [`MAX_LATE_LATENCY_FRACTION`] of the time to the deadline, or by the deadline
    /// if the server is not saturated. Longer queues would not serve more requests;
    /// they would only serve them later.
    pub fn admits(&self, now: Time, selection: &Selection) -> bool {
        let left = self.deadline.since(now);
        let max_latency = self
            .soft_deadline
            .since(now)
            .mul_f64(MAX_LATENCY_FACTOR)
            .max(left.mul_f64(MAX_LATE_LATENCY_FRACTION));
        selection.expected_latency <= max_latency
            || (!selection.saturated && selection.expected_latency <= left)
    }

    /// Whether the reply of the chosen server is expected by the soft deadline, from which on an
    /// incomplete answer does not wait for it. After that, every reply counts as in time.
    pub fn is_in_time(&self, now: Time, selection: &Selection) -> bool {
        let left = self.soft_deadline.since(now);
        left.is_zero() || selection.expected_latency <= left.mul_f64(MAX_OPTIONAL_LATENCY_FACTOR)
    }

    /// When to hedge an attempt that is made `now` with the latency
    /// `expected_latency`, apart from this node's own work; `used_fraction` is the fraction of the budget that
    /// would be used after one more send.
    pub fn hedge_time(&self, now: Time, expected_latency: Duration, used_fraction: f64) -> Time {
        let used = used_fraction.clamp(0.0, 1.0);
        let factor = HEDGE_FACTOR + HEDGE_FACTOR_INCREASE * used * used;
        let usual = now + expected_latency.mul_f64(factor) + self.own_work + HEDGE_DELAY_MARGIN;
        if self.soft_deadline <= now {
            return usual;
        }
        usual.min(now + self.soft_deadline.since(now).mul_f64(MAX_HEDGE_DELAY_FRACTION))
    }
}
