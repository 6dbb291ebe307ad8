//! Where a node gets the registry's state from: the registry itself, or another node that
//! watches it. No I/O.
//!
//! The first serving nodes of each data centre watch the registry, and all others follow
//! them in turn, so that one watcher that is cut off from the registry delays a change by
//! one poll at most. A serving node that reports that the registry does not answer watches
//! only if no other one can.
//!
//! Where a data centre has no more nodes than watchers, all of them watch, whether they serve
//! or not.
//!
//! A follower that has heard nothing confirmed by the registry for a while asks it itself: all
//! watchers of its data centre may be cut off at once.
//!
//! Invariant: a node that has no live watcher to follow watches the registry itself, once
//! the time for discovery after its start is over.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::members::Members;
use crate::members::Rank;
use base::time::Time;

/// A source of the registry's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// None: the node has just started, and waits until it has found the others.
    Discovery,
    /// The registry.
    Registry,
    /// The node at this address.
    Peer(IpAddr),
}

/// The number of watchers of a data centre.
pub const WATCHERS: usize = 2;
/// How long a watcher that did not answer is not asked again.
const SUSPICION_TIME: Duration = Duration::from_secs(3);

/// The delay of a follower's next call of its own after one that failed.
const OWN_CALL_INTERVAL: Duration = Duration::from_millis(2500);

/// The maximum waits and ages, and the fractions of the bound on changes that limit them where
/// that is short. The sum of a watch, the delay of the next one and a poll stays below the age
/// limit, and that with its jitter below the bound.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2500);
const WATCH_WAIT_FRACTION: f64 = 0.5;
/// The time that a watch on a silent connection takes besides its wait: the delay after the last
/// changes, the timeout, the backoff, and the way of the change to the followers.
const SILENT_WATCH_TIME: Duration = Duration::from_millis(1900);
/// The shortest wait of a watch, however short the bound is.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(300);
const MAX_POLL_WAIT: Duration = Duration::from_millis(700);
const POLL_WAIT_FRACTION: f64 = 0.14;
const MAX_AGE: Duration = Duration::from_millis(4000);
const AGE_FRACTION: f64 = 0.8;
const MAX_JITTER: Duration = Duration::from_millis(500);
const JITTER_FRACTION: f64 = 0.1;

/// How long calls wait and how old a state may become, so that a change is in force in time on
/// every follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long the registry is asked to wait for a change.
    pub watch_wait: Duration,
    /// How long a watcher is asked to wait for one.
    pub poll_wait: Duration,
    /// The age of a state, counted from the registry's last answer to a watcher, from which on
    /// a follower asks the registry itself.
    max_age: Duration,
    /// The maximum that is added at random, so that the followers don't call at the same time.
    max_jitter: Duration,
}

impl Timing {
    /// The timing for changes that must be in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        let part = |fraction, longest| bound.mul_f64(fraction).min(longest);
        Self {
            watch_wait: part(WATCH_WAIT_FRACTION, MAX_WATCH_WAIT)
                .min(bound.saturating_sub(SILENT_WATCH_TIME))
                .max(MIN_WATCH_WAIT),
            poll_wait: part(POLL_WAIT_FRACTION, MAX_POLL_WAIT),
            max_age: part(AGE_FRACTION, MAX_AGE),
            max_jitter: part(JITTER_FRACTION, MAX_JITTER),
        }
    }

    /// When a follower asks the registry itself, if it hears nothing newer: its state was
    /// confirmed at `confirmed_at`, and its last own call failed at `failed_at`. `jitter` is from
    /// 0 to 1.
    pub fn own_call_at(&self, confirmed_at: Time, failed_at: Option<Time>, jitter: f64) -> Time {
        let due = confirmed_at + self.max_age;
        let due = failed_at.map_or(due, |failed_at| due.max(failed_at + OWN_CALL_INTERVAL));
        due + self.max_jitter.mul_f64(jitter)
    }

    /// The longest time from the registry's last answer to a watcher until a follower asks the
    /// registry itself.
    pub fn latest_own_call(&self) -> Duration {
        self.max_age + self.max_jitter
    }
}

/// Chooses a node's source.
#[derive(Debug, Default)]
pub struct Selector {
    suspected_until: HashMap<IpAddr, Time>,
    turn: usize,
}

impl Selector {
    /// The source of the next call. `serving` tells whether this node serves, and
    /// `registry_answers` whether its last call to the registry succeeded.
    pub fn choose(
        &mut self,
        now: Time,
        members: &Members,
        serving: bool,
        registry_answers: bool,
    ) -> Source {
        self.suspected_until.retain(|_, until| *until > now);
        let own = members.own();
        let mut ranked: Vec<(bool, Rank)> = members
            .elected(now)
            .map(|node| (!node.registry_answers, node.capacity, node.caller_address.ip()))
            .filter(|(_, _, ip)| !self.suspected_until.contains_key(ip))
            .map(|(fails, capacity, ip)| (fails, (std::cmp::Reverse(capacity), ip)))
            .collect();
        if serving {
            ranked.push((!registry_answers, own.rank()));
        }
        ranked.sort();
        ranked.truncate(WATCHERS);
        if ranked.is_empty() && members.is_discovering(now) {
            return Source::Discovery;
        }
        let is_small =
            !members.is_discovering(now) && members.nodes_of_own_data_centre(now) <= WATCHERS;
        if is_small || ranked.is_empty() || ranked.iter().any(|(_, (_, ip))| *ip == own.ip) {
            return Source::Registry;
        }
        self.turn += 1;
        let (_, (_, ip)) = ranked[self.turn % ranked.len()];
        Source::Peer(ip)
    }

    /// Records that the watcher at `ip` did not answer.
    pub fn failed(&mut self, now: Time, ip: IpAddr) {
        self.suspected_until.insert(ip, now + SUSPICION_TIME);
    }
}
