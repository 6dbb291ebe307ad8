//! The budget of extra sends, per service. Extra sends are all but the first send of
//! a request to a service.
//!
//! All nodes share one budget per service and window: a fraction of the requests
//! plus a slack. Each node uses the fraction of its own requests and its share of
//! the slack, so nodes need not coordinate.
//!
//! Invariant: within any window the extra sends of a node stay at or below
//! [`Settings::ratio`] of its first sends in that window plus its share of the
//! slack. A share that has been raised grows over one window, since other nodes, or
//! the previous process on this one, may have used it up.

use std::time::Duration;

use cranelift_entity::SecondaryMap;

use base::entity::Service;
use base::time::Time;

/// The number of buckets that a window is divided into.
const BUCKETS_PER_WINDOW: usize = 20;
/// The number of buckets that are kept: the newest one is incomplete, so one more
/// is needed to cover a whole window.
const KEPT_BUCKETS: usize = BUCKETS_PER_WINDOW + 1;

/// The limits on extra sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Extra sends allowed in addition, per service and window, for all nodes together.
    pub slack: f64,
    /// The span that requests are counted over.
    pub window: Duration,
}

/// The fraction of the ratio and of the slack that is used: the rest covers
/// requests that reach a server in a later window than they are counted in here.
const USABLE_FRACTION: f64 = 0.85;

/// Sends to one service in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first: u32,
    extra: u32,
}

#[derive(Clone, Debug)]
struct Window {
    buckets: [Bucket; KEPT_BUCKETS],
    /// The number of the newest bucket, counted from time zero.
    newest: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self { buckets: [Bucket::default(); KEPT_BUCKETS], newest: 0 }
    }
}

impl Window {
    /// Makes `bucket` the newest bucket; clears those that have expired.
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.newest).min(KEPT_BUCKETS as u64);
        for number in 0..passed {
            self.buckets[((bucket - number) % KEPT_BUCKETS as u64) as usize] = Bucket::default();
        }
        self.newest = self.newest.max(bucket);
    }

    fn newest(&mut self) -> &mut Bucket {
        &mut self.buckets[(self.newest % KEPT_BUCKETS as u64) as usize]
    }

    /// The bucket of this number; `None` if it has expired.
    fn bucket(&mut self, number: u64) -> Option<&mut Bucket> {
        let kept = number <= self.newest && number + KEPT_BUCKETS as u64 > self.newest;
        kept.then(|| &mut self.buckets[(number % KEPT_BUCKETS as u64) as usize])
    }

    fn sum(&self) -> Bucket {
        let add = |sum: Bucket, bucket: &Bucket| Bucket {
            first: sum.first + bucket.first,
            extra: sum.extra + bucket.extra,
        };
        self.buckets.iter().fold(Bucket::default(), add)
    }
}

/// The budget of one node.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    /// This node's share of the slack, from 0 to 1.
    share: f64,
    /// The share before it was last raised, and when that was.
    raised_from: (Time, f64),
    windows: SecondaryMap<Service, Window>,
}

impl Budget {
    /// The budget of a node that is the only one and has just started.
    pub fn new(settings: Settings) -> Self {
        Self { settings, share: 1.0, raised_from: (Time::ZERO, 0.0), windows: SecondaryMap::new() }
    }

    /// Changes the limits.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Sets this node's share of the slack, from 0 to 1.
    pub fn set_share(&mut self, now: Time, share: f64) {
        let present = self.present_share(now);
        if share > present {
            self.raised_from = (now, present);
        } else {
            self.raised_from = (Time::ZERO, share);
        }
        self.share = share;
    }

    /// The share that may be used now.
    fn present_share(&self, now: Time) -> f64 {
        let (at, before) = self.raised_from;
        let grown = now.since(at).as_secs_f64() / self.settings.window.as_secs_f64();
        before + (self.share - before) * grown.min(1.0)
    }

    /// The number of the bucket at `now`, counted from time zero.
    fn bucket_number(&self, now: Time) -> u64 {
        let span = (self.settings.window.as_micros() as u64 / BUCKETS_PER_WINDOW as u64).max(1);
        now.micros() / span
    }

    fn window(&mut self, now: Time, service: Service) -> &mut Window {
        let bucket = self.bucket_number(now);
        let window = &mut self.windows[service];
        window.advance(bucket);
        window
    }

    /// Counts the first send of a request to `service`.
    pub fn first_send(&mut self, now: Time, service: Service) {
        self.window(now, service).newest().first += 1;
    }

    /// The fraction of the allowed extra sends that would be used after one more send;
    /// above 1 if none is left.
    pub fn used_fraction(&mut self, now: Time, service: Service) -> f64 {
        let slack = self.settings.slack * self.present_share(now);
        let ratio = self.settings.ratio;
        let sum = self.window(now, service).sum();
        let allowed = USABLE_FRACTION * (slack + ratio * f64::from(sum.first));
        (f64::from(sum.extra) + 1.0) / allowed.max(f64::MIN_POSITIVE)
    }

    /// Takes one extra send to `service`; returns `false` if the budget is used up.
    pub fn take_extra(&mut self, now: Time, service: Service) -> bool {
        if self.used_fraction(now, service) > 1.0 {
            return false;
        }
        self.window(now, service).newest().extra += 1;
        true
    }

    /// Refunds an extra send that was taken at `taken` and never reached a server.
    pub fn refund(&mut self, now: Time, service: Service, taken: Time) {
        let number = self.bucket_number(taken);
        if let Some(bucket) = self.window(now, service).bucket(number) {
            bucket.extra = bucket.extra.saturating_sub(1);
        }
    }
}
