//! Selects the snapshot to pin, and decides whether to restart at another one.
//!
//! Invariant: a snapshot is pinned before the first send. A restart discards the
//! results of the previous snapshot and cancels its attempts, and a query restarts
//! at most once.

use crate::context::Context;
use crate::machine::Machine;
use crate::state::Coverage;
use crate::state::ShardState;
use base::time::Time;

/// How many of a candidate's shards can be covered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Availability {
    available: usize,
    total: usize,
}

impl Availability {
    fn is_complete(self) -> bool {
        self.available == self.total
    }

    /// Whether the available fraction is larger than that of `other`. The totals
    /// may differ, since maps differ in size.
    fn exceeds(self, other: Self) -> bool {
        self.available * other.total > other.available * self.total
    }
}

impl Machine {
    /// The allowed candidate with the largest available fraction of shards; on a
    /// tie, the first one in the plan.
    pub(crate) fn best_candidate(&self, context: &Context<'_>) -> Option<usize> {
        let mut best = None;
        for index in 0..self.plan.candidates.len() {
            if !self.plan.allows(index) {
                continue;
            }
            let availability = self.availability(index, context);
            if best.is_none_or(|(_, other)| availability.exceeds(other)) {
                best = Some((index, availability));
            }
            if availability.is_complete() {
                break;
            }
        }
        best.map(|(index, _)| index)
    }

    pub(crate) fn availability(&self, index: usize, context: &Context<'_>) -> Availability {
        let candidate = &self.plan.candidates[index];
        let is_held = |shard: &&_| context.chooser.is_held(&candidate.snapshot, **shard);
        Availability {
            available: candidate.shards.iter().filter(is_held).count(),
            total: candidate.shards.len(),
        }
    }

    /// How many shards of the pinned candidate are covered or can still be covered.
    pub(crate) fn remaining_availability(&self, context: &Context<'_>) -> Availability {
        let snapshot = &self.plan.candidates[self.candidate].snapshot;
        let can_cover = |state: &&ShardState| match state.coverage {
            Coverage::Covered(_) => true,
            Coverage::Missing(_) => false,
            Coverage::Pending => state.live > 0 || context.chooser.is_held(snapshot, state.shard),
        };
        Availability {
            available: self.shard_states.iter().filter(can_cover).count(),
            total: self.shard_states.len(),
        }
    }

    pub(crate) fn pin(&mut self, candidate: usize) {
        self.candidate = candidate;
        self.shard_states.clear();
        self.shard_states
            .extend(self.plan.candidates[candidate].shards.iter().copied().map(ShardState::new));
        self.shard_states.sort_unstable_by_key(|state| state.shard);
        self.shard_states.dedup_by_key(|state| state.shard);
        self.timers.clear();
        self.first_attempt = self.attempt_states.len() as u32;
        self.pending = self.shard_states.len();
        self.covered = 0;
    }

    /// A candidate to restart at: an allowed one with a larger available fraction
    /// than the pinned one, if enough time is left and the retry budget allows it.
    ///
    /// Evaluated at most once for each point in time, since it checks every shard.
    pub(crate) fn better_candidate(
        &mut self,
        now: Time,
        context: &mut Context<'_>,
    ) -> Option<usize> {
        if self.last_restart_check == Some(now) {
            return None;
        }
        self.last_restart_check = Some(now);
        let left = self.plan.deadline.since(now);
        if self.restarted
            || left < self.plan.settings.restart_left
            || self.non_idempotent_may_have_run()
        {
            return None;
        }
        let remaining = self.remaining_availability(context);
        let better = |index: &usize| {
            *index != self.candidate
                && self.plan.allows(*index)
                && self.availability(*index, context).exceeds(remaining)
        };
        let candidate = (0..self.plan.candidates.len()).find(better)?;
        context.budget.take_retry(now).then_some(candidate)
    }

    /// Whether a non-idempotent request may have run.
    pub(crate) fn non_idempotent_may_have_run(&self) -> bool {
        self.plan.non_idempotent
            && self.attempt_states.values().any(|entry| entry.phase.may_have_run())
    }

    pub(crate) fn restart(&mut self, now: Time, candidate: usize, context: &mut Context<'_>) {
        self.restarted = true;
        self.cancel_all(context);
        self.pin(candidate);
        self.fan_out(now, context);
    }
}
