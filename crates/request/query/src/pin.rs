//! Which snapshot is pinned, and whether to start again at another.
//!
//! Invariant: a snapshot is pinned before the first send; a restart drops all
//! that the former one covered, cancels its attempts, and happens once at most.

use crate::context::Context;
use crate::machine::Machine;
use crate::state::Cover;
use crate::state::Slot;
use base::time::Time;

/// How many shards of how many can be covered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Promise {
    held: usize,
    all: usize,
}

impl Promise {
    fn is_whole(self) -> bool {
        self.held == self.all
    }

    /// Whether a larger part is held than in `other`; maps differ in size.
    fn exceeds(self, other: Self) -> bool {
        self.held * other.all > other.held * self.all
    }
}

impl Machine {
    /// The allowed target with the largest part of its shards held; of equals
    /// the one that the plan prefers.
    pub(crate) fn best_target(&self, context: &Context<'_>) -> Option<usize> {
        let mut best = None;
        for index in 0..self.plan.candidates.len() {
            if !self.plan.allows(index) {
                continue;
            }
            let promise = self.promise(index, context);
            if best.is_none_or(|(_, other)| promise.exceeds(other)) {
                best = Some((index, promise));
            }
            if promise.is_whole() {
                break;
            }
        }
        best.map(|(index, _)| index)
    }

    pub(crate) fn promise(&self, index: usize, context: &Context<'_>) -> Promise {
        let target = &self.plan.candidates[index];
        let holds = |shard: &&_| context.chooser.holds(&target.snapshot, **shard);
        Promise { held: target.shards.iter().filter(holds).count(), all: target.shards.len() }
    }

    /// What the pinned target can still cover.
    pub(crate) fn remaining(&self, context: &Context<'_>) -> Promise {
        let snapshot = &self.plan.candidates[self.target].snapshot;
        let may = |slot: &&Slot| match slot.cover {
            Cover::Covered(_) => true,
            Cover::Missing(_) => false,
            Cover::Open => slot.live > 0 || context.chooser.holds(snapshot, slot.shard),
        };
        Promise { held: self.slots.iter().filter(may).count(), all: self.slots.len() }
    }

    pub(crate) fn pin(&mut self, target: usize) {
        self.target = target;
        self.slots.clear();
        self.slots.extend(self.plan.candidates[target].shards.iter().copied().map(Slot::new));
        self.slots.sort_unstable_by_key(|slot| slot.shard);
        self.slots.dedup_by_key(|slot| slot.shard);
        self.alarms.clear();
        self.first = self.tries.len() as u32;
        self.open = self.slots.len();
        self.covered = 0;
    }

    /// A target to restart at: allowed, with time left, and promising more than
    /// what the pinned one can still cover.
    ///
    /// Weighed at most once for each point in time: it looks at every shard.
    pub(crate) fn better_target(&mut self, now: Time, context: &mut Context<'_>) -> Option<usize> {
        if self.weighed == Some(now) {
            return None;
        }
        self.weighed = Some(now);
        let left = self.plan.deadline.since(now);
        if self.restarted || left < self.plan.settings.restart_left || self.may_have_run_once() {
            return None;
        }
        let remaining = self.remaining(context);
        let better = |index: &usize| {
            *index != self.target
                && self.plan.allows(*index)
                && self.promise(*index, context).exceeds(remaining)
        };
        let target = (0..self.plan.candidates.len()).find(better)?;
        context.budget.take_retry(now).then_some(target)
    }

    /// Whether a non-idempotent request may have run.
    pub(crate) fn may_have_run_once(&self) -> bool {
        self.plan.non_idempotent && self.tries.values().any(|entry| entry.phase.may_have_run())
    }

    pub(crate) fn restart(&mut self, now: Time, target: usize, context: &mut Context<'_>) {
        self.restarted = true;
        self.cancel_all(context);
        self.pin(target);
        self.fan_out(now, context);
    }
}
