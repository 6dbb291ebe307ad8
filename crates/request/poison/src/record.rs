//! What is known of one request.

use std::time::Duration;

use crate::identity::Identity;
use crate::notice;
use crate::notice::Notice;
use base::time::Time;

/// The number of servers that a request must have ended, one after the other, to be blocked.
pub(crate) const BLOCKING_ENDS: usize = 3;
/// The time after the last of these ends in which an answer to the same request, at any node,
/// still prevents the block: longer than most runs, so that one that is in progress may end.
const SETTLING_TIME: Duration = Duration::from_millis(200);
/// How long a request is blocked before the first trial, and between trials; doubled with each
/// trial that ends a server, as far as ends are kept.
const BLOCK_TIME: Duration = Duration::from_secs(60);
/// The trials of different nodes are due at different times within this span, so that the first
/// one is known to the others.
const TRIAL_SPREAD: Duration = Duration::from_secs(10);
/// How long a run of a suspected request keeps others waiting at its node: the server may be slow
/// or silent.
const MAX_HOLD_TIME: Duration = Duration::from_millis(300);
/// The maximum time between the ends of the servers of one run of a search. Ends that lie closer
/// together than this may have had another cause.
const BURST_SPAN: Duration = Duration::from_millis(150);
/// How long a search is blocked after a burst: about as long as servers take to start again, so
/// that one that ran while its servers ended for another reason is refused only meanwhile.
const BURST_BLOCK_TIME: Duration = Duration::from_secs(3);
/// The span of the trials of different nodes after a burst.
const BURST_TRIAL_SPREAD: Duration = Duration::from_secs(2);
/// How long other searches may be expected to end servers too, after the end of one.
const RECENT_TIME: Duration = Duration::from_secs(60);
/// How long a request stays suspected after the last end.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(60);
/// How long a blocked request is remembered after its trial was due.
const BLOCKED_LIFETIME: Duration = Duration::from_secs(600);
/// How long it is remembered that a request did not cause the end of some servers.
const REFUTED_LIFETIME: Duration = Duration::from_secs(20);
/// The maximum number of ends that are kept.
const MAX_ENDS: usize = 5;
/// The maximum number of servers that are kept at which runs broke off: two of each shard.
const MAX_BROKEN: usize = 256;
/// The maximum number of refuted ends that are kept.
const MAX_REFUTED: usize = 6;

/// The end of a server that ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct End {
    pub(crate) server: u32,
    /// The shard that the server ran; `None` if another node saw the end.
    pub(crate) shard: Option<u32>,
    pub(crate) at: Time,
    /// Whether it is known that the server has ended, and not just a connection to it.
    pub(crate) proven: bool,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Servers that ended one after the other, each in a run that began when the ends before it
    /// were known, or those of different shards that ended under one search.
    pub(crate) ends: Vec<End>,
    pub(crate) refuted: Vec<u32>,
    /// Servers that broke off runs of it at this node, whether or not they count as ends.
    broken: Vec<u32>,
    /// Servers that broke off a run of it that had been answered, and may have ended.
    beside: Vec<u32>,
    trial_at: Option<Time>,
    pub(crate) changed_at: Time,
    /// The number of this node's runs that began while it was suspected.
    running: u32,
    /// When the last of them began.
    run_began_at: Time,
}

impl Record {
    fn proven(&self) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(|end| end.proven)
    }

    pub(crate) fn has_ended(&self, server: u32) -> bool {
        self.ends.iter().any(|end| end.server == server)
    }

    /// Whether a server that has ended under it ended a short time ago.
    pub(crate) fn has_recent_end(&self, now: Time) -> bool {
        self.proven().any(|end| now.since(end.at) < RECENT_TIME)
    }

    /// Whether it has ended enough servers to be blocked, or will be once that is certain.
    pub(crate) fn is_condemned(&self) -> bool {
        self.proven().count() >= BLOCKING_ENDS
    }

    /// Whether a run of this node is in progress that keeps others waiting.
    pub(crate) fn is_running(&self, now: Time) -> bool {
        self.running > 0 && now.since(self.run_began_at) < MAX_HOLD_TIME
    }

    /// Whether a run in progress, or a proof, will show in a moment whether it ends servers.
    pub(crate) fn is_undecided(&self, now: Time) -> bool {
        let runs = self.is_running(now);
        let is_unproven = self.ends.iter().any(|end| !end.proven);
        runs || self.ends.len() >= BLOCKING_ENDS || self.spans_shards() && is_unproven
    }

    /// Whether servers of different shards have ended.
    fn spans_shards(&self) -> bool {
        let mut shards = self.ends.iter().filter_map(|end| end.shard);
        shards.next().is_some_and(|first| shards.any(|shard| shard != first))
    }

    /// Whether it is blocked for ends at the same moment, which may have had another cause.
    pub(crate) fn is_burst(&self) -> bool {
        let first = self.ends.iter().map(|end| end.at).min().unwrap_or_default();
        self.is_condemned() && self.last_end().since(first) < BURST_SPAN
    }

    /// Whether a server ended under `other` at the moment of one of these ends. Of each request only
    /// the first ends are kept, so the servers of two that ran at the same ones may differ here.
    pub(crate) fn ended_with(&self, other: &Self) -> bool {
        let is_near = |end: &&End| {
            let gap = |own: &End| own.at.since(end.at).max(end.at.since(own.at));
            self.proven().any(|own| gap(own) < BURST_SPAN)
        };
        other.proven().any(|end| is_near(&end))
    }

    /// Whether so many servers at which it did not run ended at the moment of its own ends that
    /// these must have had another cause. Only the node that ran it can tell.
    pub(crate) fn is_outage<'a>(&self, others: impl Iterator<Item = &'a Self>) -> bool {
        if self.broken.is_empty() || !self.is_burst() {
            return false;
        }
        let is_near =
            |at: Time| self.proven().any(|own| own.at.since(at).max(at.since(own.at)) < BURST_SPAN);
        let mut foreign: Vec<u32> = Vec::new();
        // Of two bursts, both may have been caused by searches that end servers.
        for other in others.filter(|other| !other.is_burst()) {
            let ends = other.proven().filter(|end| is_near(end.at)).map(|end| end.server);
            let refuted = other.refuted.iter().copied().filter(|_| is_near(other.changed_at));
            foreign.extend(ends.chain(refuted).filter(|server| !self.broken.contains(server)));
        }
        foreign.sort_unstable();
        foreign.dedup();
        foreign.len() >= BLOCKING_ENDS
    }

    /// Records that a run that had been answered broke off at a server.
    pub(crate) fn add_beside(&mut self, server: u32) {
        if self.beside.len() < MAX_REFUTED && !self.beside.contains(&server) {
            self.beside.push(server);
        }
    }

    /// Forgets that a run that had been answered broke off at a server; returns whether one did.
    pub(crate) fn remove_beside(&mut self, server: u32) -> bool {
        let before = self.beside.len();
        self.beside.retain(|other| *other != server);
        self.beside.len() < before
    }

    /// Records that a server has ended beside it: after it was answered, so for another reason.
    pub(crate) fn ended_beside(&mut self, now: Time, server: u32) {
        self.refute(now);
        // Leaves room for refuted ends, which late notices would bring back.
        if self.refuted.len() < BLOCKING_ENDS {
            self.add_refuted(server);
        }
    }

    pub(crate) fn run_begins(&mut self, now: Time) {
        self.running += 1;
        self.run_began_at = now;
    }

    pub(crate) fn run_ends(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Whether an answer to it may still prevent the block.
    pub(crate) fn is_settling(&self, now: Time) -> bool {
        let is_decided_late = self.ends.len() == BLOCKING_ENDS || self.is_burst();
        is_decided_late && now.since(self.last_end()) < SETTLING_TIME
    }

    fn last_end(&self) -> Time {
        self.ends.iter().map(|end| end.at).max().unwrap_or_default()
    }

    /// When a node may try it again whose share of the spread of trials is `spread`, from 0 to 1.
    pub(crate) fn trial_due(&self, spread: f64) -> Time {
        let last = self.trial_at.map_or(self.last_end(), |trial| trial.max(self.last_end()));
        if self.is_burst() {
            return last + BURST_BLOCK_TIME + BURST_TRIAL_SPREAD.mul_f64(spread);
        }
        let doublings = self.ends.len().saturating_sub(BLOCKING_ENDS) as u32;
        last + BLOCK_TIME * (1 << doublings) + TRIAL_SPREAD.mul_f64(spread)
    }

    pub(crate) fn begin_trial(&mut self, now: Time) {
        self.trial_at = Some(now);
        self.changed_at = now;
    }

    /// Adds the end of a server of `shard` whose run began when `known` ends were known. Runs that
    /// overlap count once, since they may all have been ended by another request or cause, except
    /// those of one search at different shards, up to the block: later ends must follow them.
    pub(crate) fn add(&mut self, now: Time, server: u32, shard: Option<u32>, known: usize) -> bool {
        if self.broken.len() < MAX_BROKEN {
            self.broken.push(server);
        }
        let is_new = !self.refuted.contains(&server) && !self.has_ended(server);
        let is_other = |end: &End| end.shard.is_some() && shard.is_some() && end.shard != shard;
        let is_beside = self.ends.len() < BLOCKING_ENDS && self.ends.iter().all(is_other);
        let follows = (known >= self.ends.len() || is_beside) && self.ends.len() < MAX_ENDS;
        if is_new && follows {
            self.ends.push(End { server, shard, at: now, proven: false });
        }
        is_new && follows
    }

    /// Removes the ends that `is_explained` selects; returns whether there were any.
    pub(crate) fn remove(&mut self, is_explained: impl Fn(&End) -> bool) -> bool {
        let before = self.ends.len();
        self.ends.retain(|end| !is_explained(end));
        self.ends.len() < before
    }

    /// Removes the ends that this node has found within `span`; those that others were told of are
    /// refuted. Returns whether there were any of these.
    pub(crate) fn withdraw(&mut self, now: Time, span: Duration) -> bool {
        // Other nodes' notices name no shards.
        let is_own = |end: &End| end.shard.is_some() && now.since(end.at) <= span;
        let told: Vec<u32> =
            self.proven().filter(|end| is_own(end)).map(|end| end.server).collect();
        self.remove(is_own);
        told.iter().for_each(|server| self.add_refuted(*server));
        if !told.is_empty() {
            self.changed_at = now;
        }
        !told.is_empty()
    }

    /// Whether nothing is known that other nodes would need.
    pub(crate) fn is_void(&self) -> bool {
        self.ends.is_empty() && self.refuted.is_empty() && self.beside.is_empty()
    }

    /// Clears it of all ends so far.
    pub(crate) fn refute(&mut self, now: Time) {
        let servers: Vec<u32> = self.proven().map(|end| end.server).collect();
        self.ends.clear();
        self.broken.clear();
        servers.into_iter().for_each(|server| self.add_refuted(server));
        self.trial_at = None;
        self.changed_at = now;
    }

    fn add_refuted(&mut self, server: u32) {
        if self.refuted.contains(&server) {
            return;
        }
        self.refuted.push(server);
        if self.refuted.len() > MAX_REFUTED {
            self.refuted.remove(0);
        }
    }

    /// Whether it is of no use any more.
    pub(crate) fn is_expired(&self, now: Time) -> bool {
        let lifetime = match self.ends.len() {
            0 => return self.is_void() || now.since(self.changed_at) >= REFUTED_LIFETIME,
            _ if self.is_condemned() => {
                return now.since(self.trial_due(1.0)) >= BLOCKED_LIFETIME;
            }
            _ => SUSPECT_LIFETIME,
        };
        self.ends.iter().all(|end| now.since(end.at) >= lifetime)
    }

    /// What other nodes are told; `None` if nothing is proven.
    pub(crate) fn notice(&self, now: Time, identity: Identity) -> Option<Notice> {
        let age_ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let ends: Vec<notice::End> = self
            .proven()
            .map(|end| notice::End { server: end.server, age_ms: age_ms(end.at) })
            .collect();
        let refuted = self.refuted.clone();
        let is_empty = ends.is_empty() && refuted.is_empty();
        let trial_age_ms = self.trial_at.map(age_ms);
        (!is_empty).then_some(Notice { identity, ends, refuted, trial_age_ms })
    }

    /// Takes over what another node knows; returns whether that was new.
    pub(crate) fn merge(&mut self, now: Time, notice: &Notice) -> bool {
        let time = |age_ms: u32| now.before(Duration::from_millis(u64::from(age_ms)));
        let mut changed = false;
        for server in notice.refuted.iter().take(MAX_REFUTED) {
            changed |= !self.refuted.contains(server);
            self.add_refuted(*server);
        }
        let refuted = self.refuted.clone();
        changed |= self.remove(|end| refuted.contains(&end.server));
        let ends = notice.ends.iter().filter(|end| !refuted.contains(&end.server));
        let ends: Vec<&notice::End> = ends.take(MAX_ENDS).collect();
        // Ends that overlap are on no list together, so the longer list is taken.
        for end in &ends {
            let count = self.ends.len();
            match self.ends.iter_mut().find(|known| known.server == end.server) {
                Some(known) => {
                    changed |= !known.proven;
                    known.proven = true;
                }
                None if count < ends.len() => {
                    let at = time(end.age_ms);
                    self.ends.push(End { server: end.server, shard: None, at, proven: true });
                    changed = true;
                }
                None => {}
            }
        }
        if let Some(age_ms) = notice.trial_age_ms
            && !self.ends.is_empty()
        {
            self.trial_at = self.trial_at.max(Some(time(age_ms)));
        }
        if changed {
            self.changed_at = now;
        }
        changed
    }
}
