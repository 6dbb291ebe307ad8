//! Decides which attempts are made and when: first attempts, retries and hedges.
//!
//! Invariant: every hedge, and every retry that adds load, is taken from the
//! budget; a non-idempotent request is never hedged.

use std::time::Duration;

use crate::context::Context;
use crate::event::Action;
use crate::machine::Machine;
use crate::state::AttemptState;
use crate::state::Phase;
use crate::state::ShardState;
use base::entity::Server;
use base::time::Time;
use conf::object::Preference;
use wire::caller::Cause;
use wire::caller::Reason;

/// When the next attempt for a shard is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTiming {
    /// At once: the first attempt, or one right after a failure. Only a server
    /// that was not tried yet may be used.
    Immediate,
    /// After a pause; a server may then be tried again.
    AfterPause,
}

impl Machine {
    pub(crate) fn fan_out(&mut self, now: Time, context: &mut Context<'_>) {
        let pinned = self.candidate;
        for index in 0..self.shard_states.len() as u32 {
            self.try_shard(now, index, RetryTiming::Immediate, context);
            if self.candidate != pinned {
                // Choosing a server for this shard led to a restart, which has
                // already fanned out to the new candidate's shards.
                return;
            }
        }
    }

    /// Chooses a server for the shard, preferably one that was not tried yet. The
    /// flag in the result is true if it was not.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        index: u32,
        context: &mut Context<'_>,
    ) -> Result<(Server, bool), Reason> {
        let shard = self.shard_states[index as usize].shard;
        let mut tried = std::mem::take(&mut self.tried);
        tried.clear();
        tried.extend(self.attempts(index).map(|entry| entry.server));
        let snapshot = &self.plan.candidates[self.candidate].snapshot;
        let choice = context.chooser.choose(now, snapshot, shard, &tried);
        let choice = choice.map(|server| (server, !tried.contains(&server)));
        self.tried = tried;
        choice
    }

    /// Makes the next attempt for a shard that has no live one, or schedules it,
    /// or marks the shard as missing.
    pub(crate) fn try_shard(
        &mut self,
        now: Time,
        index: u32,
        timing: RetryTiming,
        context: &mut Context<'_>,
    ) {
        if now >= self.plan.deadline {
            return;
        }
        if self.attempts_exhausted(now, index) {
            let reason = self.shard_states[index as usize].reason.unwrap_or(Reason::NoReplica);
            return self.mark_missing(index, reason);
        }
        let (server, untried) = match self.choose(now, index, context) {
            Ok(choice) => choice,
            Err(reason) => return self.on_no_replica(now, index, reason, context),
        };
        if !untried && timing == RetryTiming::Immediate {
            return self.schedule_retry(now, index);
        }
        if self.needs_retry_budget(index) && !context.budget.take_retry(now) {
            return self.on_budget_denied(now, index, context);
        }
        if self.shard_states[index as usize].attempts == 0 {
            context.budget.first_send(now);
        }
        self.send_attempt(now, index, server, context);
    }

    /// Whether the shard has used up its attempts. While the shard may be waited
    /// for, attempts that did not run are not counted.
    pub(crate) fn attempts_exhausted(&mut self, now: Time, index: u32) -> bool {
        let max_attempts = self.plan.settings.max_attempts;
        if self.shard_states[index as usize].attempts < max_attempts {
            return false;
        }
        let ran = self.attempts(index).filter(|entry| entry.phase.may_have_run()).count();
        ran >= max_attempts as usize || !self.may_wait(now, index)
    }

    /// The shard's attempts, newest first.
    pub(crate) fn attempts(&self, index: u32) -> impl Iterator<Item = &AttemptState> {
        let mut next = self.shard_states[index as usize].newest;
        std::iter::from_fn(move || {
            let entry = &self.attempt_states[next?];
            next = entry.previous;
            Some(entry)
        })
    }

    /// Whether the query keeps waiting for a shard that no server can answer at
    /// the moment.
    pub(crate) fn may_wait(&mut self, now: Time, index: u32) -> bool {
        let unavailable_since =
            *self.shard_states[index as usize].unavailable_since.get_or_insert(now);
        self.plan.preference == Preference::Coverage
            && now.since(unavailable_since) < self.plan.settings.replica_wait
    }

    /// Whether another attempt for the shard adds load to the upstreams. It does
    /// not if none of the previous attempts was sent.
    pub(crate) fn needs_retry_budget(&self, index: u32) -> bool {
        self.attempts(index).any(|entry| entry.phase != Phase::NotSent)
    }

    pub(crate) fn send_attempt(
        &mut self,
        now: Time,
        index: u32,
        server: Server,
        context: &mut Context<'_>,
    ) {
        let state = &mut self.shard_states[index as usize];
        let entry = AttemptState {
            shard_index: index,
            server,
            phase: Phase::Queued,
            live: true,
            previous: state.newest,
        };
        let attempt = self.attempt_states.push(entry);
        state.newest = Some(attempt);
        state.attempts += 1;
        state.live += 1;
        context.actions.push(Action::Send {
            attempt,
            server,
            shard: state.shard,
            snapshot: self.plan.candidates[self.candidate].snapshot.clone(),
            deadline: Time::from_micros(self.plan.deadline.micros() - self.network_time(now)),
        });
        self.schedule_hedge(now, index, server, context);
    }

    /// The network time to subtract from the deadline, in microseconds; at most
    /// half of the remaining time.
    pub(crate) fn network_time(&self, now: Time) -> u64 {
        let left = self.plan.deadline.since(now);
        self.plan.settings.network_time.min(left / 2).as_micros() as u64
    }

    pub(crate) fn schedule_hedge(
        &mut self,
        now: Time,
        index: u32,
        server: Server,
        context: &Context<'_>,
    ) {
        let hedge = self.plan.settings.hedge && !self.plan.non_idempotent;
        let at = if hedge { now + context.chooser.hedge_delay(server) } else { Time::NEVER };
        self.timers.set(&mut self.shard_states, index, at);
    }

    pub(crate) fn hedge(&mut self, now: Time, index: u32, context: &mut Context<'_>) {
        if self.shard_states[index as usize].attempts >= self.plan.settings.max_attempts {
            return;
        }
        let Ok((server, true)) = self.choose(now, index, context) else { return };
        if context.budget.take_hedge(now) {
            return self.send_attempt(now, index, server, context);
        }
        // The longer the attempt takes, the more useful a hedge is, so the budget
        // is checked again after another hedge delay.
        self.schedule_hedge(now, index, server, context);
    }

    pub(crate) fn schedule_retry(&mut self, now: Time, index: u32) {
        let state = &self.shard_states[index as usize];
        let base = self.plan.settings.pause.max(Duration::from_micros(1));
        let pause = base * (1 << state.attempts.min(6));
        let at = now + pause.max(state.retry_after.unwrap_or_default());
        self.timers.set(&mut self.shard_states, index, at);
    }

    /// Handles a shard whose next attempt was denied by the retry budget.
    pub(crate) fn on_budget_denied(&mut self, now: Time, index: u32, context: &mut Context<'_>) {
        match self.plan.preference {
            Preference::Tail => self.mark_missing(index, Reason::Budget),
            // Nothing ran and no more may be sent now, so the caller gets the
            // refusal and its retry-after at once instead of at the deadline.
            Preference::Coverage if self.all_refused() => self.refuse(Cause::Refused, context),
            Preference::Coverage => {
                self.shard_states[index as usize].reason = Some(Reason::Budget);
                self.schedule_retry(now, index);
            }
        }
    }

    /// Whether every shard was tried and every attempt was refused or not sent.
    fn all_refused(&self) -> bool {
        let idle = |state: &ShardState| state.attempts > 0 && state.live == 0;
        self.covered == 0 && self.shard_states.iter().all(idle) && !self.may_have_run()
    }

    pub(crate) fn on_no_replica(
        &mut self,
        now: Time,
        index: u32,
        reason: Reason,
        context: &mut Context<'_>,
    ) {
        if let Some(candidate) = self.better_candidate(now, context) {
            return self.restart(now, candidate, context);
        }
        self.shard_states[index as usize].reason = Some(reason);
        // The query does not wait for servers that the chooser reports as
        // unreachable: with one shard lost, every query would otherwise run until
        // its deadline.
        if reason != Reason::Unreachable && self.may_wait(now, index) {
            self.schedule_retry(now, index);
        } else {
            self.mark_missing(index, reason);
        }
    }
}
