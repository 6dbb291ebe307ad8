//! Membership and failure detection in the manner of SWIM: the load of probes on
//! each node does not depend on the size of the deployment.
//!
//! In each probe interval a node probes one member, taking all members in turn in a
//! shuffled order. If the member does not answer, a few others are asked to probe
//! it. If that fails too, the member is suspected, and it is declared dead unless
//! it refutes the suspicion in time. Changes are piggybacked on probes and their
//! answers as rumors.
//!
//! Invariants: a dead incarnation comes back only by refuting with a higher
//! sequence; [`crate::record::Departure`] only moves forward; a node that was
//! suspected, or was paused for long enough that it may have been, is not fresh
//! until it has compared its objects with a peer; after a long pause it also
//! discards its list of members.
//!
//! Every node currently has the full list of members. [`crate::summary`] computes
//! what data centres would exchange if membership were limited to one data centre.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::record::Record;
use crate::record::State;
use base::hash;
use base::time::Time;
use wire::id::Incarnation;

/// The maximum number of records piggybacked on one message.
pub const MAX_RUMORS_PER_MESSAGE: usize = 8;
/// The number of members that are asked to probe one that did not answer.
pub const INDIRECT_PROBES: usize = 2;

/// Settings of failure detection.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The time between two probes by one node.
    pub probe_interval: Duration,
    /// How long a member is suspected before it is declared dead.
    pub suspicion_timeout: Duration,
    /// How long a dead member is kept.
    pub dead_retention: Duration,
    /// The gap between two ticks from which the process counts as paused.
    pub pause_threshold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            suspicion_timeout: Duration::from_millis(2500),
            dead_retention: Duration::from_secs(600),
            pause_threshold: Duration::from_secs(3),
        }
    }
}

/// A change of a member's state, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member's name.
    pub name: Arc<str>,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The member's new state.
    pub state: State,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} is {:?}", self.name, self.incarnation, self.state)
    }
}

/// The outcome of a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TickOutcome {
    /// The process was paused: the node must join again before it claims to be
    /// fresh.
    pub resumed: bool,
    /// Other nodes may have suspected this one: it must compare its objects with a
    /// peer before it claims to be fresh.
    pub suspected: bool,
    /// Members that were declared dead.
    pub changes: Vec<Change>,
}

/// A member to contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The incarnation that is expected at the address.
    pub incarnation: Incarnation,
    /// The member's address for peers.
    pub peer: SocketAddr,
}

#[derive(Clone, Debug)]
struct Member {
    record: Record,
    state_since: Time,
    vm_leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct Rumor {
    incarnation: Incarnation,
    remaining_sends: u32,
}

/// One node's view of the membership.
#[derive(Clone, Debug)]
pub struct Table {
    own: Record,
    members: BTreeMap<Incarnation, Member>,
    settings: Settings,
    probe_order: Vec<Incarnation>,
    rumors: Vec<Rumor>,
    peers_before_pause: Vec<SocketAddr>,
    last_tick: Option<Time>,
    suspected: bool,
    random: ChaCha8Rng,
}

impl Table {
    /// Creates a table that contains only `own`; `seed` determines the order of
    /// probes.
    pub fn new(own: Record, settings: Settings, seed: u64) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            settings,
            probe_order: Vec::new(),
            rumors: Vec::new(),
            peers_before_pause: Vec::new(),
            last_tick: None,
            suspected: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Changes the own record, and spreads it if it did change.
    pub fn update(&mut self, change: impl FnOnce(&mut Record)) {
        let mut next = self.own.clone();
        change(&mut next);
        next.leave = next.leave.max(self.own.leave);
        next.sequence = self.own.sequence;
        if next == self.own {
            return;
        }
        self.own = next;
        self.own.sequence += 1;
        self.enqueue_rumor(self.own.incarnation);
    }

    /// Returns all members except this node, dead ones included, ordered by
    /// incarnation.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns all members, this node first.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.others())
    }

    /// Returns the record of a member.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Record> {
        if incarnation == self.own.incarnation {
            return Some(&self.own);
        }
        self.members.get(&incarnation).map(|member| &member.record)
    }

    /// Whether the platform's VM list, which lags behind, has the member's VM as
    /// leaving.
    pub fn is_vm_leaving(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|member| member.vm_leaving)
    }

    /// Records which members the VM list has as leaving. This is only a hint, which
    /// puts a member at the end of lookups; a member is removed only by its own record
    /// or by failed probes.
    pub fn set_vm_leaving(&mut self, names: &[Arc<str>]) {
        for member in self.members.values_mut() {
            member.vm_leaving = names.contains(&member.record.name);
        }
    }

    /// Returns the peer addresses of the members that were known before a pause.
    pub fn peers_before_pause(&self) -> &[SocketAddr] {
        &self.peers_before_pause
    }

    /// Merges records received from another node.
    pub fn merge(&mut self, records: Vec<Record>, now: Time) -> Vec<Change> {
        records.into_iter().filter_map(|record| self.merge_record(record, now)).collect()
    }

    fn merge_record(&mut self, mut record: Record, now: Time) -> Option<Change> {
        if record.incarnation == self.own.incarnation {
            self.refute(&record);
            return None;
        }
        let known = self.members.get(&record.incarnation);
        if let Some(member) = known {
            if !record.supersedes(&member.record) {
                return None;
            }
            record.leave = record.leave.max(member.record.leave);
        } else if record.state == State::Dead {
            // There is no member to remove, and accepting the record would keep the
            // rumor in circulation forever.
            return None;
        }
        let vm_leaving = known.is_some_and(|member| member.vm_leaving);
        let before = known.map(|member| member.record.state);
        let state_since = match known {
            Some(member) if member.record.state == record.state => member.state_since,
            _ => now,
        };
        let change = change_of(&record);
        let incarnation = record.incarnation;
        let changed = before != Some(record.state);
        self.members.insert(incarnation, Member { record, state_since, vm_leaving });
        self.enqueue_rumor(incarnation);
        changed.then_some(change)
    }

    /// Refutes a record in which another node has this one as suspect or dead.
    fn refute(&mut self, claim: &Record) {
        let wrong = matches!(claim.state, State::Suspect | State::Dead);
        if wrong && claim.sequence >= self.own.sequence {
            self.own.sequence = claim.sequence + 1;
            self.enqueue_rumor(self.own.incarnation);
            self.on_suspected();
        }
    }

    /// Clears the own record's `fresh`: changes are pushed to members that are
    /// considered up, so this node may have missed some while it was suspected.
    fn on_suspected(&mut self) {
        self.suspected |= self.own.fresh;
        self.update(|own| own.fresh = false);
    }

    /// Returns the next member to probe.
    pub fn next_probe(&mut self) -> Option<Target> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self
                    .others()
                    .filter(|r| r.state != State::Dead)
                    .map(|r| r.incarnation)
                    .collect();
                self.probe_order.shuffle(&mut self.random);
                if self.probe_order.is_empty() {
                    return None;
                }
            }
            let incarnation = self.probe_order.pop()?;
            let record = self.get(incarnation).filter(|record| record.state != State::Dead);
            if let Some(record) = record {
                return Some(Target { incarnation, peer: record.peer });
            }
        }
    }

    /// Returns up to `count` random members that are up, except `except`.
    pub fn sample(&mut self, count: usize, except: Option<Incarnation>) -> Vec<Target> {
        let up = self.members.values().map(|member| &member.record).filter(|record| record.is_up());
        let up = up.filter(|record| Some(record.incarnation) != except);
        let mut targets: Vec<Target> = up
            .map(|record| Target { incarnation: record.incarnation, peer: record.peer })
            .collect();
        let count = count.min(targets.len());
        for index in 0..count {
            let other = self.random.random_range(index..targets.len());
            targets.swap(index, other);
        }
        targets.truncate(count);
        targets
    }

    /// Handles the answer to a probe of `expected`, which was sent by the node of
    /// `record`.
    pub fn on_ack(&mut self, expected: Incarnation, record: Record, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        if record.incarnation != expected {
            // Another incarnation uses the address, so the expected one has ended.
            changes.extend(self.worsen(expected, State::Dead, now));
        }
        changes.extend(self.merge_record(record, now));
        changes
    }

    /// Returns the records that have a member at `peer` as suspect or dead, for it
    /// to refute.
    pub fn suspicions(&self, peer: SocketAddr) -> Vec<Record> {
        let down = self.others().filter(|record| record.peer == peer && !record.is_up());
        down.take(MAX_RUMORS_PER_MESSAGE).cloned().collect()
    }

    /// Suspects a member that answered neither a direct nor an indirect probe.
    pub fn on_probe_failed(&mut self, incarnation: Incarnation, now: Time) -> Option<Change> {
        self.worsen(incarnation, State::Suspect, now)
    }

    fn worsen(&mut self, incarnation: Incarnation, state: State, now: Time) -> Option<Change> {
        let member = self.members.get_mut(&incarnation)?;
        if member.record.state >= state {
            return None;
        }
        member.record.state = state;
        member.state_since = now;
        let change = change_of(&member.record);
        self.enqueue_rumor(incarnation);
        Some(change)
    }

    /// Declares members dead whose suspicion timed out, removes dead members after
    /// their retention, and detects pauses of this process by the gap since the
    /// last tick. A direct probe and the indirect ones fail within one probe
    /// interval, so after a longer gap other nodes may suspect this one.
    pub fn tick(&mut self, now: Time) -> TickOutcome {
        let gap = now.since(self.last_tick.replace(now).unwrap_or(now));
        if gap >= self.settings.pause_threshold {
            self.reset_after_pause();
            self.suspected = false;
            return TickOutcome { resumed: true, ..TickOutcome::default() };
        }
        if gap > self.settings.probe_interval {
            self.on_suspected();
        }
        let suspected = std::mem::take(&mut self.suspected);
        let (suspicion_timeout, dead_retention) =
            (self.settings.suspicion_timeout, self.settings.dead_retention);
        let expired = |member: &&Member| {
            member.record.state == State::Suspect
                && now.since(member.state_since) >= suspicion_timeout
        };
        let dead: Vec<Incarnation> =
            self.members.values().filter(expired).map(|member| member.record.incarnation).collect();
        let changes =
            dead.into_iter().filter_map(|inc| self.worsen(inc, State::Dead, now)).collect();
        self.members.retain(|_, member| {
            member.record.state != State::Dead || now.since(member.state_since) < dead_retention
        });
        TickOutcome { resumed: false, suspected, changes }
    }

    /// Discards the members, whose records are as old as the pause. Peers may have
    /// declared this node dead meanwhile.
    fn reset_after_pause(&mut self) {
        self.peers_before_pause = self.others().map(|record| record.peer).collect();
        self.members.clear();
        self.probe_order.clear();
        self.rumors.clear();
        self.update(|own| {
            own.fresh = false;
            own.state = State::Joining;
        });
    }

    /// Returns the records to piggyback on the next message.
    pub fn rumors(&mut self) -> Vec<Record> {
        self.rumors.sort_by_key(|rumor| std::cmp::Reverse(rumor.remaining_sends));
        let mut records = Vec::new();
        for rumor in self.rumors.iter_mut().take(MAX_RUMORS_PER_MESSAGE) {
            rumor.remaining_sends -= 1;
            let member = self.members.get(&rumor.incarnation).map(|member| &member.record);
            let own = Some(&self.own).filter(|own| own.incarnation == rumor.incarnation);
            records.extend(member.or(own).cloned());
        }
        self.rumors.retain(|rumor| rumor.remaining_sends > 0);
        records
    }

    /// Queues a record to be piggybacked on the next messages, often enough to
    /// reach all members with high probability.
    fn enqueue_rumor(&mut self, incarnation: Incarnation) {
        const SENDS_PER_DOUBLING: u32 = 2;
        let doublings = usize::BITS - (self.members.len() + 1).leading_zeros();
        let remaining_sends = SENDS_PER_DOUBLING * doublings;
        match self.rumors.iter_mut().find(|rumor| rumor.incarnation == incarnation) {
            Some(rumor) => rumor.remaining_sends = remaining_sends,
            None => self.rumors.push(Rumor { incarnation, remaining_sends }),
        }
    }

    /// Returns a digest that is equal on nodes with the same view of the members that
    /// are not dead.
    pub fn digest(&self) -> u64 {
        let hash = |record: &Record| {
            let fields = [record.incarnation.0, record.sequence, record.state as u64];
            let text = fields.map(|field| format!("{field:x}"));
            hash::stable(0, &[&text[0], &text[1], &text[2]])
        };
        self.all().filter(|record| record.state != State::Dead).fold(0, |all, r| all ^ hash(r))
    }

    /// Returns the lowest revision that a member which is up has applied.
    pub fn lowest_applied(&self) -> u64 {
        let up = self.all().filter(|record| record.is_up());
        up.map(|record| record.applied).min().unwrap_or(0)
    }

    /// Returns the highest revision that any member has applied.
    pub fn highest_applied(&self) -> u64 {
        self.all().map(|record| record.applied).max().unwrap_or(0)
    }
}

fn change_of(record: &Record) -> Change {
    Change { name: record.name.clone(), incarnation: record.incarnation, state: record.state }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for record in self.all() {
            writeln!(f, "{record}")?;
        }
        Ok(())
    }
}
