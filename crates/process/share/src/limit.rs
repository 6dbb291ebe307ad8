//! The limit that a server in need names, and this node's part of it. No I/O.
//!
//! A node spends tokens, one a request, which come at its part of the limit. It may always use an
//! even part. What other nodes don't ask for can be used in addition, but that rises slowly and
//! falls at once: the others may ask for their even parts at any time, and this node hears of it
//! only with their next heartbeats.
//!
//! Invariant: in any span this node sends at most its present rate times the span, plus
//! [`burst`] requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::common::Common;
use base::time::Time;

/// A node's part of a limit, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// What it may use at any time.
    pub even: f64,
    /// What it may use while the others ask for no more than they do; at least `even`.
    pub most: f64,
}

/// The span over which sends to a limited server are reported.
pub const REPORT_SPAN: Duration = Duration::from_secs(4);
/// The time that it takes to rise from the even part to all that others leave.
const RISE_TIME: Duration = Duration::from_secs(2);
/// The fraction of the even part below which a node's demand must fall for it to give back what
/// it uses beyond that.
const RELEASE_FRACTION: f64 = 0.5;
/// The tokens that are kept are those of so much time, and at least [`MIN_BURST`].
const BURST_TIME: Duration = Duration::from_millis(500);
const MIN_BURST: f64 = 2.0;
/// The fraction of the kept tokens that less urgent requests leave to the others.
const RESERVE_FRACTION: f64 = 0.5;
/// The weight of the last interval in the rate of demand.
const DEMAND_WEIGHT: f64 = 0.4;
/// A node whose part is below this hears little from the server itself; it forgets a limit that
/// no node has heard of for [`REPORT_LIFETIME`].
const MIN_OWN_RATE: f64 = 0.1;
const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// When a node without a part of the limit may look for another one.
const NO_QUOTA_DELAY: Duration = Duration::from_secs(1);
/// The longest time over which refused requests are spread.
const MAX_SPREAD: Duration = Duration::from_secs(3);
/// The same where there are common tokens: small rates take longer to admit those that return.
const MAX_COMMON_SPREAD: Duration = Duration::from_secs(10);

/// The tokens that are kept at `rate`.
pub fn burst(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST)
}

/// A limit that a server names at present.
#[derive(Clone, Debug)]
pub struct Limit {
    /// The requests per second that it takes from all nodes together.
    pub per_second: f64,
    /// When a reply last named it, to this node or to another one.
    heard_at: Time,
    /// The tokens that are kept are those of so much time, and at least so many.
    kept: (Duration, f64),
    quota: Quota,
    /// Since when this node has asked for more than its even part.
    pressed_since: Option<Time>,
    tokens: f64,
    filled_at: Time,
    /// How often the server would have been chosen since [`Self::metered_at`].
    asked: u32,
    metered_at: Time,
    demand: f64,
    /// When the last request that was refused for the limit may return.
    promised: Time,
    /// This node's sends in the last [`REPORT_SPAN`], and whether each was an extra one.
    sends: VecDeque<(Time, bool)>,
    /// The tokens that any node may use, beside those of this node.
    common: Option<Common>,
}

impl Limit {
    /// A limit that a reply named at `heard_at`. This node has no part of it yet.
    pub fn new(now: Time, heard_at: Time, per_second: f64) -> Self {
        Self {
            per_second,
            heard_at,
            kept: (BURST_TIME, MIN_BURST),
            quota: Quota::default(),
            pressed_since: None,
            tokens: 0.0,
            filled_at: now,
            asked: 0,
            metered_at: now,
            demand: 0.0,
            promised: Time::ZERO,
            sends: VecDeque::new(),
            common: None,
        }
    }

    /// The same limit with tokens that any node may use, beside those of this node's part.
    pub fn with_common(self, common: Common) -> Self {
        Self { common: Some(common), ..self }
    }

    /// The tokens that any node may use.
    pub fn common(&self) -> Option<&Common> {
        self.common.as_ref()
    }

    /// The tokens that any node may use, to be changed.
    pub fn common_mut(&mut self) -> Option<&mut Common> {
        self.common.as_mut()
    }

    /// Keeps the tokens of `time`, and at least `min`, which is one or more.
    pub fn with_kept(self, time: Duration, min: f64) -> Self {
        Self { kept: (time, min), ..self }
    }

    fn burst(&self, rate: f64) -> f64 {
        let (time, min) = self.kept;
        (rate * time.as_secs_f64()).max(min)
    }

    /// When a reply last named it, to this node or to another one.
    pub fn heard_at(&self) -> Time {
        self.heard_at
    }

    /// Takes note of the figure that a reply named at `heard_at`, unless it is older.
    pub fn restate(&mut self, heard_at: Time, per_second: f64) {
        if heard_at >= self.heard_at {
            self.per_second = per_second;
            self.heard_at = heard_at;
        }
    }

    /// How long ago a reply last named it.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.heard_at)
    }

    /// Whether it may have ended without this node having heard of it.
    pub fn is_outdated(&self, now: Time) -> bool {
        self.quota.most < MIN_OWN_RATE && self.age(now) > REPORT_LIFETIME
    }

    /// The requests per second that this node may send now.
    pub fn rate(&self, now: Time) -> f64 {
        let risen = self.pressed_since.map_or(0.0, |since| {
            (now.since(since).as_secs_f64() / RISE_TIME.as_secs_f64()).min(1.0)
        });
        self.quota.even + (self.quota.most - self.quota.even).max(0.0) * risen
    }

    fn tokens(&self, now: Time) -> f64 {
        let rate = self.rate(now);
        let added = rate * now.since(self.filled_at).as_secs_f64();
        (self.tokens + added).min(self.burst(rate))
    }

    fn fill(&mut self, now: Time) {
        self.tokens = self.tokens(now);
        self.filled_at = now;
    }

    /// Sets this node's part.
    pub fn set_quota(&mut self, now: Time, quota: Quota) {
        self.fill(now);
        self.quota = quota;
        let threshold = if self.pressed_since.is_some() { RELEASE_FRACTION } else { 1.0 };
        let is_pressed = self.demand > quota.even * threshold;
        self.pressed_since = is_pressed.then(|| self.pressed_since.unwrap_or(now));
    }

    /// Whether a request may be sent now; less urgent ones leave a reserve.
    pub fn admits(&self, now: Time, leaves_reserve: bool) -> bool {
        self.tokens(now) >= self.needed(now, leaves_reserve)
            || self.common.as_ref().is_some_and(|common| common.admits(now))
    }

    fn needed(&self, now: Time, leaves_reserve: bool) -> f64 {
        let burst = self.burst(self.rate(now));
        let reserve = if leaves_reserve { RESERVE_FRACTION * burst } else { 0.0 };
        1.0 + reserve.min(burst - 1.0)
    }

    /// When a request may be sent, if none may now.
    pub fn admits_at(&self, now: Time) -> Option<Time> {
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return None;
        }
        let Some(common) = &self.common else { return Some(now + self.time_of(now, missing)) };
        if common.admits(now) {
            return None;
        }
        // Without a part of its own, only the common tokens can admit the request.
        let own = (self.rate(now) > 0.0).then(|| now + self.time_of(now, missing));
        let earliest = own.into_iter().chain(common.admits_at(now)).min();
        Some(earliest.unwrap_or(now + NO_QUOTA_DELAY))
    }

    /// The time in which so many tokens come.
    fn time_of(&self, now: Time, tokens: f64) -> Duration {
        let seconds = tokens / self.rate(now).max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(NO_QUOTA_DELAY.as_secs_f64()))
    }

    /// When a request that is refused now should return: each one a token later than the one
    /// before it.
    pub fn promise(&mut self, now: Time) -> Time {
        let earliest = self.admits_at(now).unwrap_or(now);
        let (interval, spread) = match &self.common {
            Some(common) => (common.interval(), MAX_COMMON_SPREAD),
            None => (self.time_of(now, 1.0), MAX_SPREAD),
        };
        let next = self.promised + interval;
        self.promised = if next > now + spread { earliest } else { next.max(earliest) };
        self.promised
    }

    /// Spends the token of a request.
    pub fn take(&mut self, now: Time) {
        self.fill(now);
        if let Some(common) = &mut self.common {
            common.take(now);
            if self.tokens < 1.0 {
                return;
            }
        }
        self.tokens -= 1.0;
    }

    /// Returns the token of a request that was not sent.
    pub fn give_back(&mut self, now: Time) {
        // A token of the share is not renewed: which of the two admitted the request is not kept.
        if let Some(common) = &mut self.common {
            return common.give_back(now);
        }
        self.fill(now);
        self.tokens += 1.0;
    }

    /// Counts a request for which the server would have been chosen without its limit.
    pub fn ask(&mut self) {
        self.asked += 1;
    }

    /// Updates [`Self::demand`]; to be called at intervals.
    pub fn meter(&mut self, now: Time) {
        let seconds = now.since(self.metered_at).as_secs_f64();
        if seconds > 0.0 {
            let rate = f64::from(self.asked) / seconds;
            self.demand += (rate - self.demand) * DEMAND_WEIGHT;
            self.asked = 0;
            self.metered_at = now;
        }
    }

    /// The requests per second that this node would send without the limit.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Counts a request that leaves for the server.
    pub fn sent(&mut self, now: Time, extra: bool) {
        self.sends.push_back((now, extra));
        while self.sends.front().is_some_and(|(at, _)| now.since(*at) > REPORT_SPAN) {
            self.sends.pop_front();
        }
    }

    /// The numbers of first and of extra sends in the last [`REPORT_SPAN`].
    pub fn recent_sends(&self, now: Time) -> (usize, usize) {
        let recent = self.sends.iter().filter(|(at, _)| now.since(*at) <= REPORT_SPAN);
        let extra = recent.clone().filter(|(_, extra)| *extra).count();
        (recent.count() - extra, extra)
    }
}
