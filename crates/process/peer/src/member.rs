//! Who is in the deployment, found by probes with the same load on every node
//! whatever the size.
//!
//! Each period a node probes one member, each in turn in a shuffled order; if no
//! answer comes it asks a few others to probe that member; only then is it
//! suspected, and dead if it doesn't refute that in time. What changed rides
//! along on probes and their answers.
//!
//! Invariants: a dead incarnation is never alive again unless it refutes with a
//! higher sequence; [`crate::record::Departure`] never goes back; a node that stood still
//! for long enough to be suspected, or was, is not fresh until it has caught up;
//! after a long pause it also forgets whom it knew.
//!
//! Today every node knows every other. [`crate::summary`] gives what data
//! centres are to tell each other when full membership ends at their borders.

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

/// The most records that ride along on one message.
pub const RUMORS_PER_MESSAGE: usize = 8;
/// How many members are asked to probe one that didn't answer.
pub const INDIRECT_PROBES: usize = 2;

/// How members are watched.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The time between two probes of one node.
    pub period: Duration,
    /// How long a member stays suspected before it is dead.
    pub suspicion: Duration,
    /// How long a dead member is remembered.
    pub forget: Duration,
    /// A gap between two ticks that means that the process was paused.
    pub pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            suspicion: Duration::from_millis(2500),
            forget: Duration::from_secs(600),
            pause: Duration::from_secs(3),
        }
    }
}

/// A change of what is known about a member, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub name: Arc<str>,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it is now.
    pub state: State,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} is {:?}", self.name, self.incarnation, self.state)
    }
}

/// What a tick found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticked {
    /// The process was paused: join again before claiming to be fresh.
    pub woke: bool,
    /// Others may have passed this node over: compare before claiming to be fresh.
    pub doubted: bool,
    /// Members that are dead now.
    pub changes: Vec<Change>,
}

/// Whom to probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The life that is expected there.
    pub incarnation: Incarnation,
    /// Where it listens for peers.
    pub peer: SocketAddr,
}

#[derive(Clone, Debug)]
struct Slot {
    record: Record,
    since: Time,
    vm_leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct Rumor {
    incarnation: Incarnation,
    left: u32,
}

/// The members as one node knows them.
#[derive(Clone, Debug)]
pub struct Table {
    own: Record,
    slots: BTreeMap<Incarnation, Slot>,
    settings: Settings,
    order: Vec<Incarnation>,
    rumors: Vec<Rumor>,
    known_peers: Vec<SocketAddr>,
    ticked: Option<Time>,
    doubted: bool,
    random: ChaCha8Rng,
}

impl Table {
    /// A table that knows only `own`; `seed` sets the order of probes.
    pub fn new(own: Record, settings: Settings, seed: u64) -> Self {
        Self {
            own,
            slots: BTreeMap::new(),
            settings,
            order: Vec::new(),
            rumors: Vec::new(),
            known_peers: Vec::new(),
            ticked: None,
            doubted: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// This node's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Changes the own record, and tells the others if it did change.
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
        self.spread(self.own.incarnation);
    }

    /// All members but this node, dead ones included, by incarnation.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.slots.values().map(|slot| &slot.record)
    }

    /// All members, this node first.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.others())
    }

    /// One member.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Record> {
        if incarnation == self.own.incarnation {
            return Some(&self.own);
        }
        self.slots.get(&incarnation).map(|slot| &slot.record)
    }

    /// Whether the VM list, which lags, says that a member is to go.
    pub fn is_vm_leaving(&self, incarnation: Incarnation) -> bool {
        self.slots.get(&incarnation).is_some_and(|slot| slot.vm_leaving)
    }

    /// Takes the VM list's word, as advice only: it moves a member to the end of
    /// lookups. Only the member's own notice and failed probes remove it.
    pub fn advise_leaving(&mut self, names: &[Arc<str>]) {
        for slot in self.slots.values_mut() {
            slot.vm_leaving = names.contains(&slot.record.name);
        }
    }

    /// Peer addresses of members that were known before a pause.
    pub fn known_peers(&self) -> &[SocketAddr] {
        &self.known_peers
    }

    /// Takes what another node says about members.
    pub fn merge(&mut self, records: Vec<Record>, now: Time) -> Vec<Change> {
        records.into_iter().filter_map(|record| self.merge_one(record, now)).collect()
    }

    fn merge_one(&mut self, mut record: Record, now: Time) -> Option<Change> {
        if record.incarnation == self.own.incarnation {
            self.refute(&record);
            return None;
        }
        let known = self.slots.get(&record.incarnation);
        if let Some(slot) = known {
            if !record.supersedes(&slot.record) {
                return None;
            }
            record.leave = record.leave.max(slot.record.leave);
        } else if record.state == State::Dead {
            // Nothing to forget; taking it would keep the rumor going for ever.
            return None;
        }
        let vm_leaving = known.is_some_and(|slot| slot.vm_leaving);
        let before = known.map(|slot| slot.record.state);
        let since = match known {
            Some(slot) if slot.record.state == record.state => slot.since,
            _ => now,
        };
        let change = change_of(&record);
        let incarnation = record.incarnation;
        let changed = before != Some(record.state);
        self.slots.insert(incarnation, Slot { record, since, vm_leaving });
        self.spread(incarnation);
        changed.then_some(change)
    }

    /// Another node thinks that this one is gone.
    fn refute(&mut self, said: &Record) {
        let wrong = matches!(said.state, State::Suspect | State::Dead);
        if wrong && said.sequence >= self.own.sequence {
            self.own.sequence = said.sequence + 1;
            self.spread(self.own.incarnation);
            self.doubt();
        }
    }

    /// What is new went to the members that were thought to be up, so this node
    /// may have missed some of it.
    fn doubt(&mut self) {
        self.doubted |= self.own.fresh;
        self.update(|own| own.fresh = false);
    }

    /// The next member to probe, each in turn.
    pub fn next_probe(&mut self) -> Option<Target> {
        loop {
            if self.order.is_empty() {
                self.order = self
                    .others()
                    .filter(|r| r.state != State::Dead)
                    .map(|r| r.incarnation)
                    .collect();
                self.order.shuffle(&mut self.random);
                if self.order.is_empty() {
                    return None;
                }
            }
            let incarnation = self.order.pop()?;
            let record = self.get(incarnation).filter(|record| record.state != State::Dead);
            if let Some(record) = record {
                return Some(Target { incarnation, peer: record.peer });
            }
        }
    }

    /// Up to `count` random members that are up, without `except`.
    pub fn sample(&mut self, count: usize, except: Option<Incarnation>) -> Vec<Target> {
        let up = self.slots.values().map(|slot| &slot.record).filter(|record| record.is_up());
        let up = up.filter(|record| Some(record.incarnation) != except);
        let mut targets: Vec<Target> = up
            .map(|record| Target { incarnation: record.incarnation, peer: record.peer })
            .collect();
        let count = count.min(targets.len());
        for place in 0..count {
            let other = self.random.random_range(place..targets.len());
            targets.swap(place, other);
        }
        targets.truncate(count);
        targets
    }

    /// `expected` was probed and `record` answered from its address.
    pub fn acked(&mut self, expected: Incarnation, record: Record, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        if record.incarnation != expected {
            // The address has a new owner, so the old one is gone for sure.
            changes.extend(self.degrade(expected, State::Dead, now));
        }
        changes.extend(self.merge_one(record, now));
        changes
    }

    /// What is thought, wrongly perhaps, of the member at `peer`, for it to refute.
    pub fn opinions(&self, peer: SocketAddr) -> Vec<Record> {
        let there = self.others().filter(|record| record.peer == peer && !record.is_up());
        there.take(RUMORS_PER_MESSAGE).cloned().collect()
    }

    /// Neither a direct nor an indirect probe of a member was answered.
    pub fn unreachable(&mut self, incarnation: Incarnation, now: Time) -> Option<Change> {
        self.degrade(incarnation, State::Suspect, now)
    }

    fn degrade(&mut self, incarnation: Incarnation, state: State, now: Time) -> Option<Change> {
        let slot = self.slots.get_mut(&incarnation)?;
        if slot.record.state >= state {
            return None;
        }
        slot.record.state = state;
        slot.since = now;
        let change = change_of(&slot.record);
        self.spread(incarnation);
        Some(change)
    }

    /// Time has passed: suspicions end, dead members are forgotten, and a gap
    /// since the last tick shows that this process was paused. A direct probe and
    /// the indirect ones fail within a period, so after a gap longer than that
    /// this node may be suspected.
    pub fn tick(&mut self, now: Time) -> Ticked {
        let gap = now.since(self.ticked.replace(now).unwrap_or(now));
        if gap >= self.settings.pause {
            self.wake();
            self.doubted = false;
            return Ticked { woke: true, ..Ticked::default() };
        }
        if gap > self.settings.period {
            self.doubt();
        }
        let doubted = std::mem::take(&mut self.doubted);
        let (suspicion, forget) = (self.settings.suspicion, self.settings.forget);
        let over = |slot: &&Slot| {
            slot.record.state == State::Suspect && now.since(slot.since) >= suspicion
        };
        let dead: Vec<Incarnation> =
            self.slots.values().filter(over).map(|slot| slot.record.incarnation).collect();
        let changes =
            dead.into_iter().filter_map(|inc| self.degrade(inc, State::Dead, now)).collect();
        self.slots
            .retain(|_, slot| slot.record.state != State::Dead || now.since(slot.since) < forget);
        Ticked { woke: false, doubted, changes }
    }

    /// What this node knows is old by the length of the pause, and its peers may
    /// have declared it dead.
    fn wake(&mut self) {
        self.known_peers = self.others().map(|record| record.peer).collect();
        self.slots.clear();
        self.order.clear();
        self.rumors.clear();
        self.update(|own| {
            own.fresh = false;
            own.state = State::Joining;
        });
    }

    /// The records to send along with the next message.
    pub fn rumors(&mut self) -> Vec<Record> {
        self.rumors.sort_by_key(|rumor| std::cmp::Reverse(rumor.left));
        let mut records = Vec::new();
        for rumor in self.rumors.iter_mut().take(RUMORS_PER_MESSAGE) {
            rumor.left -= 1;
            let slot = self.slots.get(&rumor.incarnation).map(|slot| &slot.record);
            let own = Some(&self.own).filter(|own| own.incarnation == rumor.incarnation);
            records.extend(slot.or(own).cloned());
        }
        self.rumors.retain(|rumor| rumor.left > 0);
        records
    }

    /// Sends a record along on the next messages, often enough that it reaches
    /// everybody with high probability.
    fn spread(&mut self, incarnation: Incarnation) {
        const SENDS_PER_DOUBLING: u32 = 2;
        let doublings = usize::BITS - (self.slots.len() + 1).leading_zeros();
        let left = SENDS_PER_DOUBLING * doublings;
        match self.rumors.iter_mut().find(|rumor| rumor.incarnation == incarnation) {
            Some(rumor) => rumor.left = left,
            None => self.rumors.push(Rumor { incarnation, left }),
        }
    }

    /// Equal on nodes that know the same, for digests.
    pub fn digest(&self) -> u64 {
        let hash = |record: &Record| {
            let marks = [record.incarnation.0, record.sequence, record.state as u64];
            let text = marks.map(|mark| format!("{mark:x}"));
            hash::stable(0, &[&text[0], &text[1], &text[2]])
        };
        self.all().filter(|record| record.state != State::Dead).fold(0, |all, r| all ^ hash(r))
    }

    /// The lowest revision that a member which is up has applied.
    pub fn lowest_applied(&self) -> u64 {
        let up = self.all().filter(|record| record.is_up());
        up.map(|record| record.applied).min().unwrap_or(0)
    }

    /// The highest revision that any member has applied.
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
