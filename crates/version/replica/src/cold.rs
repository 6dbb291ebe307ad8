//! Cold servers: what they bear after their start. No I/O.
//!
//! Invariant: in any second a node sends a cold server at most its part of the rate and the few
//! tokens that it keeps; a part that it has just got begins without tokens.

use std::time::Duration;

use base::time::Time;
use share::limit::Limit;
use share::limit::Quota;
use share::part;
use share::part::Claim;

/// How a service's servers behave after their start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Warmup {
    /// How long they are cold.
    pub time: Duration,
    /// The requests per second that a cold one bears from all nodes together; zero if there is no
    /// bound.
    pub per_second: f64,
}

/// A node keeps the tokens of so much time, and at least so many: the fraction of a token that
/// comes while a request is awaited is not lost.
const KEPT_TIME: Duration = Duration::from_millis(100);
const MIN_KEPT: f64 = 1.5;
/// The smallest even part, in requests per second. With it, the tokens that all nodes keep are at
/// most a quarter of what the server bears in a second.
const MIN_EVEN: f64 = 6.0;

/// The limit on a server that is cold from `now` on; this node has no part of it yet.
pub(crate) fn limit(now: Time, per_second: f64) -> Limit {
    Limit::new(now, now, per_second).with_kept(KEPT_TIME, MIN_KEPT)
}

/// The part of the serving node `own` in what the cold server of this key bears. Standby nodes
/// get none: each of them could hold a token.
pub fn quota(limit: &Limit, key: u32, own: Claim, others: &[Claim]) -> Quota {
    part::serving_at_least(limit.per_second, key, own, others, 0, MIN_EVEN)
}
