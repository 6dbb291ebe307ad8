//! The requests that this node suspects of ending servers, and those that it blocks.
//!
//! A request is suspected while it runs at a server that ends. It is blocked once servers have
//! ended under it one after the other, each time in a run that began when the ends before were
//! known, and it has not been answered in between at any node. An answer clears it: a request
//! that ends each server that runs it is never answered. When a request is blocked, the ends of
//! its servers are explained, and no longer speak against others that ran there.
//!
//! The ends of one run of a search at servers of different shards count together. If they lie
//! close together they may have had another cause: then the block is short and explains nothing,
//! and if other requests lost a server at the same moment, it is sent to one at a time.
//!
//! Invariants: a request that has been answered since the last end is not blocked. The memory of
//! a ledger and of its notices is bounded, whatever requests callers make up.

use std::collections::HashMap;
use std::time::Duration;

use crate::identity::Identity;
use crate::notice::Notice;
use crate::record::BLOCKING_ENDS;
use crate::record::Record;
use base::time::Time;

/// The maximum number of requests that are kept.
const MAX_RECORDS: usize = 256;
/// The maximum number of notices in one message.
pub const MAX_NOTICES: usize = 10;
/// How long after a change notices are repeated with each heartbeat.
const FRESH_TIME: Duration = Duration::from_secs(5);

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Like any other.
    Clear,
    /// It is sent to one server at a time.
    Suspect,
    /// It waits: whether it ends servers is known in a moment.
    Held,
    /// It is sent to no server.
    Blocked {
        /// When it may be tried again.
        until: Time,
    },
    /// It is blocked, and this node may try it.
    TrialDue,
}

/// What has changed for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that concerns other nodes.
    Nothing,
    /// One more server has ended.
    Suspected {
        /// The servers that have ended one after the other.
        ends: usize,
    },
    /// It is blocked from now on.
    Blocked,
    /// It is no longer suspected, or was answered before the server ended.
    Cleared {
        /// Whether it was blocked.
        was_blocked: bool,
    },
}

/// All suspected and blocked requests.
#[derive(Debug)]
pub struct Ledger {
    /// This node's part of the time over which the trials of all nodes are spread, from 0 to 1.
    spread: f64,
    records: HashMap<Identity, Record>,
    /// Whether a search was cleared since its servers ended in an outage, and others must be told.
    has_cleared: bool,
}

impl Ledger {
    /// An empty ledger of a node that tries blocked requests at `spread`, from 0 to 1, of the time
    /// over which the trials of all nodes are spread.
    pub fn new(spread: f64) -> Self {
        Self { spread, records: HashMap::new(), has_cleared: false }
    }

    /// Whether no request is suspected or blocked, so that identities needn't be known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How a request is treated.
    pub fn standing(&self, now: Time, identity: Identity) -> Standing {
        let Some(record) = self.records.get(&identity) else { return Standing::Clear };
        if record.ends.is_empty() || record.is_expired(now) {
            return Standing::Clear;
        }
        if !record.is_condemned() {
            return if record.is_undecided(now) { Standing::Held } else { Standing::Suspect };
        }
        if record.is_settling(now) {
            return Standing::Held;
        }
        let others = self.records.iter().filter(|(other, _)| **other != identity);
        if record.is_burst() && others.into_iter().any(|(_, other)| other.ended_with(record)) {
            return if record.is_running(now) { Standing::Held } else { Standing::Suspect };
        }
        let until = record.trial_due(self.spread);
        if now >= until { Standing::TrialDue } else { Standing::Blocked { until } }
    }

    /// Whether a request that was not answered since has ended a server a short time ago, here or
    /// at another node.
    pub fn has_recent_end(&self, now: Time) -> bool {
        self.records.values().any(|record| record.has_recent_end(now))
    }

    /// The number of servers that have ended under a request, one after the other.
    pub fn ends(&self, identity: Identity) -> usize {
        self.records.get(&identity).map_or(0, |record| record.ends.len())
    }

    /// The keys of these servers, and when they ended.
    pub fn ended_servers(&self, identity: Identity) -> Vec<(u32, Time)> {
        let ends = self.records.get(&identity).map(|record| record.ends.iter());
        ends.into_iter().flatten().map(|end| (end.server, end.at)).collect()
    }

    /// Until when a request is blocked; time zero if it is not.
    pub fn blocked_until(&self, identity: Identity) -> Time {
        let record = self.records.get(&identity).filter(|record| record.is_condemned());
        record.map_or(Time::ZERO, |record| record.trial_due(self.spread))
    }

    /// Records that this node sends a request to a server; returns whether the run counts since
    /// the request is suspected.
    pub fn run_begins(&mut self, now: Time, identity: Identity) -> bool {
        let record = self.records.get_mut(&identity);
        record.map(|record| record.run_begins(now)).is_some()
    }

    /// Records that a run has ended for which [`Self::run_begins`] returned `true`.
    pub fn run_ends(&mut self, identity: Identity) {
        if let Some(record) = self.records.get_mut(&identity) {
            record.run_ends();
        }
    }

    /// Records that a run of a request broke off at a server, which may have ended; the run began
    /// when `known` ends were known.
    pub fn broke_off(&mut self, now: Time, identity: Identity, server: u32, known: usize) {
        self.add_end(now, identity, server, None, known);
    }

    /// Records that a run of a search broke off at a server of `shard`, as [`Self::broke_off`]. The
    /// ends of servers of different shards count together.
    pub fn leg_broke_off(
        &mut self,
        now: Time,
        identity: Identity,
        server: u32,
        shard: u32,
        known: usize,
    ) {
        self.add_end(now, identity, server, Some(shard), known);
    }

    /// Records that a run of a request that a server had answered before broke off at `server`,
    /// which may have ended for another reason.
    pub fn answered_broke_off(&mut self, now: Time, identity: Identity, server: u32) {
        self.make_room(now, identity);
        self.records.entry(identity).or_default().add_beside(server);
    }

    /// Whether searches were cleared, since the last call, whose servers ended in an outage.
    pub fn take_cleared(&mut self) -> bool {
        std::mem::take(&mut self.has_cleared)
    }

    /// Clears searches whose servers ended together with others at which they did not run.
    fn clear_outage(&mut self, now: Time) {
        let records = &self.records;
        let is_outage = |(id, record): &(&Identity, &Record)| {
            let others = records.iter().filter(|(other, _)| other != id);
            // Few records settle at a time, so that an end doesn't compare all with all.
            record.is_settling(now) && record.is_outage(others.map(|(_, other)| other))
        };
        let cleared: Vec<Identity> = records.iter().filter(is_outage).map(|(id, _)| *id).collect();
        self.has_cleared |= !cleared.is_empty();
        for identity in cleared {
            if let Some(record) = self.records.get_mut(&identity) {
                record.refute(now);
            }
        }
    }

    fn add_end(
        &mut self,
        now: Time,
        identity: Identity,
        server: u32,
        shard: Option<u32>,
        known: usize,
    ) {
        self.make_room(now, identity);
        self.records.entry(identity).or_default().add(now, server, shard, known);
        self.remove_void();
    }

    /// Records that the server has ended.
    pub fn server_ended(&mut self, now: Time, identity: Identity, server: u32) -> Change {
        let Some(record) = self.records.get_mut(&identity) else { return Change::Nothing };
        if record.remove_beside(server) {
            let was_blocked = record.is_condemned();
            record.ended_beside(now, server);
            self.clear_outage(now);
            return Change::Cleared { was_blocked };
        }
        let end = record.ends.iter_mut().find(|end| end.server == server && !end.proven);
        let Some(end) = end else { return Change::Nothing };
        end.proven = true;
        record.changed_at = now;
        let change = self.suspected(identity);
        self.clear_outage(now);
        change
    }

    /// Records that the server runs on.
    pub fn server_runs(&mut self, identity: Identity, server: u32) {
        if let Some(record) = self.records.get_mut(&identity) {
            record.remove(|end| end.server == server && !end.proven);
            record.remove_beside(server);
            self.remove_void();
        }
    }

    /// Withdraws the ends that this node has found within `span`, since it has lost its path to the
    /// servers; returns what that changes.
    pub fn path_lost(&mut self, now: Time, span: Duration) -> Vec<(Identity, Change)> {
        let mut changes = Vec::new();
        for (identity, record) in &mut self.records {
            let was_blocked = record.is_condemned();
            if record.withdraw(now, span) {
                changes.push((*identity, Change::Cleared { was_blocked }));
            }
        }
        self.remove_void();
        changes
    }

    /// Records that a server has run a request and answered it.
    pub fn answered(&mut self, now: Time, identity: Identity) -> Change {
        let Some(record) = self.records.get_mut(&identity) else { return Change::Nothing };
        if record.ends.is_empty() {
            return Change::Nothing;
        }
        let was_blocked = record.is_condemned();
        record.refute(now);
        let is_known = !record.is_void();
        self.remove_void();
        if is_known { Change::Cleared { was_blocked } } else { Change::Nothing }
    }

    /// Records that this node tries a blocked request.
    pub fn begin_trial(&mut self, now: Time, identity: Identity) {
        if let Some(record) = self.records.get_mut(&identity) {
            record.begin_trial(now);
        }
    }

    /// Takes over what another node knows.
    pub fn on_notice(&mut self, now: Time, notice: &Notice) -> Change {
        self.make_room(now, notice.identity);
        let record = self.records.entry(notice.identity).or_default();
        let (before, was_condemned) = (record.ends.len(), record.is_condemned());
        let changed = record.merge(now, notice);
        let (after, is_condemned) = (record.ends.len(), record.is_condemned());
        self.remove_void();
        self.clear_outage(now);
        if !changed {
            Change::Nothing
        } else if after == 0 && before > 0 {
            Change::Cleared { was_blocked: was_condemned }
        } else if after > before || is_condemned != was_condemned {
            self.suspected(notice.identity)
        } else {
            Change::Nothing
        }
    }

    /// The change for a request under which one more server has ended, unless another one has
    /// caused that.
    fn suspected(&mut self, identity: Identity) -> Change {
        self.explain(identity);
        let Some(record) = self.records.get(&identity) else { return Change::Nothing };
        let ends = record.ends.len();
        if !record.is_condemned() {
            return if ends == 0 { Change::Nothing } else { Change::Suspected { ends } };
        }
        let is_burst = record.is_burst();
        let explained = record.ends.iter().filter(|_| !is_burst);
        let servers: Vec<u32> = explained.map(|end| end.server).collect();
        for other in self.records.values_mut().filter(|other| !other.is_condemned()) {
            other.remove(|end| servers.contains(&end.server));
        }
        self.remove_void();
        if ends > BLOCKING_ENDS { Change::Suspected { ends } } else { Change::Blocked }
    }

    /// Removes the ends of a request that blocked ones have caused.
    fn explain(&mut self, identity: Identity) {
        let Some(mut record) = self.records.remove(&identity) else { return };
        if !record.is_condemned() {
            let explains = |other: &&Record| other.is_condemned() && !other.is_burst();
            let blocked = || self.records.values().filter(explains);
            record.remove(|end| blocked().any(|other| other.has_ended(end.server)));
        }
        if !record.is_void() {
            self.records.insert(identity, record);
        }
    }

    fn remove_void(&mut self) {
        self.records.retain(|_, record| !record.is_void());
    }

    /// Removes a record if there are too many for one more: an expired one, or the one with the
    /// fewest ends that is the oldest.
    fn make_room(&mut self, now: Time, identity: Identity) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&identity) {
            return;
        }
        self.expire(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let rank = |record: &Record| (record.ends.len(), record.changed_at);
        let least = self.records.iter().min_by_key(|(id, record)| (rank(record), **id));
        if let Some(identity) = least.map(|(identity, _)| *identity) {
            self.records.remove(&identity);
        }
    }

    /// Forgets what is of no use any more.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// Whether other nodes must hear of a recent change with each heartbeat.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.records.values().any(|record| now.since(record.changed_at) < FRESH_TIME)
    }

    /// What to tell other nodes in message `number`: the latest changes, and successive messages
    /// go through all others.
    pub fn notices(&self, now: Time, number: u64) -> Vec<Notice> {
        let mut records: Vec<(&Identity, &Record)> = self.records.iter().collect();
        records
            .sort_by_key(|(identity, record)| (std::cmp::Reverse(record.changed_at), **identity));
        let latest = records.len().min(MAX_NOTICES / 2);
        let mut order: Vec<usize> = (0..latest).collect();
        let others = records.len() - latest;
        let start = number as usize * (MAX_NOTICES - latest);
        let count = others.min(MAX_NOTICES - latest);
        order.extend((0..count).map(|at| latest + (start + at) % others));
        let notice = |at: usize| records[at].1.notice(now, *records[at].0);
        order.into_iter().filter_map(notice).collect()
    }

    /// The blocked requests.
    pub fn blocked(&self, now: Time) -> impl Iterator<Item = Identity> {
        let is_blocked = move |record: &Record| record.is_condemned() && !record.is_expired(now);
        self.records.iter().filter(move |(_, record)| is_blocked(record)).map(|(id, _)| *id)
    }
}
