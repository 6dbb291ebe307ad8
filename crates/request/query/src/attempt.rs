//! Which attempts are made, and when: first ones, retries and hedges.
//!
//! Invariant: a hedge or a retry that adds load is paid from the budget; a
//! non-idempotent request is never hedged.

use std::time::Duration;

use crate::context::Context;
use crate::event::Action;
use crate::machine::Machine;
use crate::state::Phase;
use crate::state::Slot;
use crate::state::Try;
use base::entity::Server;
use base::time::Time;
use conf::object::Value;
use wire::caller::Cause;
use wire::caller::Reason;

/// When an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// As the slot's first, or right after another one failed.
    Now,
    /// After a pause, so that a server may be asked again.
    Paused,
}

impl Machine {
    pub(crate) fn fan_out(&mut self, now: Time, context: &mut Context<'_>) {
        let pinned = self.target;
        for index in 0..self.slots.len() as u32 {
            self.try_slot(now, index, Turn::Now, context);
            if self.target != pinned {
                // The choice of this slot led to a restart, which fanned out anew.
                return;
            }
        }
    }

    /// Chooses a server for the slot among those not tried, if there is one.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        index: u32,
        context: &mut Context<'_>,
    ) -> Result<(Server, bool), Reason> {
        let shard = self.slots[index as usize].shard;
        let mut tried = std::mem::take(&mut self.tried);
        tried.clear();
        tried.extend(self.attempts(index).map(|entry| entry.server));
        let snapshot = &self.plan.candidates[self.target].snapshot;
        let choice = context.chooser.choose(now, snapshot, shard, &tried);
        let choice = choice.map(|server| (server, !tried.contains(&server)));
        self.tried = tried;
        choice
    }

    /// Makes an attempt for a slot without a live one, now or after a pause.
    pub(crate) fn try_slot(
        &mut self,
        now: Time,
        index: u32,
        turn: Turn,
        context: &mut Context<'_>,
    ) {
        if now >= self.plan.deadline {
            return;
        }
        if self.is_spent(now, index) {
            let reason = self.slots[index as usize].reason.unwrap_or(Reason::NoReplica);
            return self.give_up(index, reason);
        }
        let (server, fresh) = match self.choose(now, index, context) {
            Ok(choice) => choice,
            Err(reason) => return self.no_replica(now, index, reason, context),
        };
        if !fresh && turn == Turn::Now {
            return self.pause(now, index);
        }
        if self.costs_retry(index) && !context.budget.take_retry(now) {
            return self.no_budget(now, index, context);
        }
        if self.slots[index as usize].attempts == 0 {
            context.budget.first_send(now);
        }
        self.issue(now, index, server, context);
    }

    /// Whether the slot has had all its attempts. Those that did not run don't
    /// count for as long as the slot may be waited for.
    pub(crate) fn is_spent(&mut self, now: Time, index: u32) -> bool {
        let most = self.plan.settings.attempts;
        if self.slots[index as usize].attempts < most {
            return false;
        }
        let ran = self.attempts(index).filter(|entry| entry.phase.may_have_run()).count();
        ran >= most as usize || !self.may_wait(now, index)
    }

    /// The slot's attempts, newest first.
    pub(crate) fn attempts(&self, index: u32) -> impl Iterator<Item = &Try> {
        let mut next = self.slots[index as usize].newest;
        std::iter::from_fn(move || {
            let entry = &self.tries[next?];
            next = entry.older;
            Some(entry)
        })
    }

    /// Whether a slot that no server can answer now is waited for.
    pub(crate) fn may_wait(&mut self, now: Time, index: u32) -> bool {
        let lost_at = *self.slots[index as usize].lost_at.get_or_insert(now);
        self.plan.preference == Value::Coverage
            && now.since(lost_at) < self.plan.settings.replica_wait
    }

    /// Whether another attempt of the slot adds load: one that follows attempts
    /// that all were never sent does not.
    pub(crate) fn costs_retry(&self, index: u32) -> bool {
        self.attempts(index).any(|entry| entry.phase != Phase::NotSent)
    }

    pub(crate) fn issue(
        &mut self,
        now: Time,
        index: u32,
        server: Server,
        context: &mut Context<'_>,
    ) {
        let slot = &mut self.slots[index as usize];
        let entry =
            Try { slot: index, server, phase: Phase::Queued, live: true, older: slot.newest };
        let attempt = self.tries.push(entry);
        slot.newest = Some(attempt);
        slot.attempts += 1;
        slot.live += 1;
        context.actions.push(Action::Send {
            attempt,
            server,
            shard: slot.shard,
            snapshot: self.plan.candidates[self.target].snapshot.clone(),
            deadline: Time(self.plan.deadline.0 - self.network_time(now)),
        });
        self.arm_hedge(now, index, server, context);
    }

    /// What is taken off the deadline, in microseconds: never all that is left.
    pub(crate) fn network_time(&self, now: Time) -> u64 {
        let left = self.plan.deadline.since(now);
        self.plan.settings.network_time.min(left / 2).as_micros() as u64
    }

    pub(crate) fn arm_hedge(
        &mut self,
        now: Time,
        index: u32,
        server: Server,
        context: &Context<'_>,
    ) {
        let hedge = self.plan.settings.hedge && !self.plan.non_idempotent;
        let at = if hedge { now + context.chooser.hedge_delay(server) } else { Time::NEVER };
        self.alarms.set(&mut self.slots, index, at);
    }

    pub(crate) fn hedge(&mut self, now: Time, index: u32, context: &mut Context<'_>) {
        if self.slots[index as usize].attempts >= self.plan.settings.attempts {
            return;
        }
        let Ok((server, true)) = self.choose(now, index, context) else { return };
        if context.budget.take_hedge(now) {
            return self.issue(now, index, server, context);
        }
        // A slower attempt deserves a hedge more: ask the budget again later.
        self.arm_hedge(now, index, server, context);
    }

    pub(crate) fn pause(&mut self, now: Time, index: u32) {
        let slot = &self.slots[index as usize];
        let base = self.plan.settings.pause.max(Duration::from_micros(1));
        let pause = base * (1 << slot.attempts.min(6));
        let at = now + pause.max(slot.retry_after.unwrap_or_default());
        self.alarms.set(&mut self.slots, index, at);
    }

    /// The budget denies another attempt of the slot.
    pub(crate) fn no_budget(&mut self, now: Time, index: u32, context: &mut Context<'_>) {
        match self.plan.preference {
            Value::Tail => self.give_up(index, Reason::Budget),
            // Nothing ran and nothing more may be sent now: the caller is told at
            // once when to come back, instead of at the deadline.
            Value::Coverage if self.is_refused() => self.refuse(Cause::Refused, context),
            Value::Coverage => {
                self.slots[index as usize].reason = Some(Reason::Budget);
                self.pause(now, index);
            }
        }
    }

    /// Whether every shard was tried, and every attempt was refused or not sent.
    fn is_refused(&self) -> bool {
        let idle = |slot: &Slot| slot.attempts > 0 && slot.live == 0;
        self.covered == 0 && self.slots.iter().all(idle) && !self.may_have_run()
    }

    pub(crate) fn no_replica(
        &mut self,
        now: Time,
        index: u32,
        reason: Reason,
        context: &mut Context<'_>,
    ) {
        if let Some(target) = self.better_target(now, context) {
            return self.restart(now, target, context);
        }
        self.slots[index as usize].reason = Some(reason);
        // Servers that the chooser takes for lost are not waited for: with one
        // shard lost, every query would otherwise last to its deadline.
        if reason != Reason::Unreachable && self.may_wait(now, index) {
            self.pause(now, index);
        } else {
            self.give_up(index, reason);
        }
    }
}
