//! The state machine of one query.
//!
//! Invariants: a snapshot is pinned before the first send, and every merged
//! result comes from it; a shard is merged at most once; the covered and the
//! missing shards together are the requested shards; after the response, nothing
//! is merged and no action is emitted.

use std::time::Duration;

use cranelift_entity::EntityRef;
use cranelift_entity::PrimaryMap;

use crate::attempt::RetryTiming;
use crate::context::Context;
use crate::event::Action;
use crate::event::Completion;
use crate::event::Event;
use crate::event::Reply;
use crate::plan::Plan;
use crate::state::AttemptState;
use crate::state::Coverage;
use crate::state::Phase;
use crate::state::ShardState;
use crate::timers::Timers;
use base::entity::Attempt;
use base::entity::Server;
use base::time::Time;
use conf::object::Preference;
use wire::caller::Cause;
use wire::caller::Reason;
use wire::id;
use wire::id::Snapshot;

/// The stage of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not started.
    New,
    /// Attempts are in progress.
    Running,
    /// The response was emitted.
    Finished,
}

/// The state machine of one query.
#[derive(Debug)]
pub struct Machine {
    pub(crate) plan: Plan,
    /// The index of the pinned candidate in the plan.
    pub(crate) candidate: usize,
    pub(crate) shard_states: Vec<ShardState>,
    pub(crate) attempt_states: PrimaryMap<Attempt, AttemptState>,
    /// The number of the first attempt for the pinned candidate.
    pub(crate) first_attempt: u32,
    pub(crate) timers: Timers,
    /// Number of shards that are neither covered nor missing yet.
    pub(crate) pending: usize,
    /// Number of shards that are covered.
    pub(crate) covered: usize,
    pub(crate) sends: u32,
    pub(crate) restarted: bool,
    /// When the candidates were last compared for a restart.
    pub(crate) last_restart_check: Option<Time>,
    stage: Stage,
    /// The time of the last [`Action::Wake`].
    wake_at: Time,
    /// Buffer for the servers already tried for a shard, reused between calls.
    pub(crate) tried: Vec<Server>,
    /// The shortest retry-after that any upstream sent.
    pub(crate) retry_after: Option<Duration>,
}

impl Machine {
    /// Creates a machine that has not received [`Event::Start`] yet.
    pub fn new(plan: Plan) -> Self {
        let capacity = plan.candidates.first().map_or(0, |candidate| candidate.shards.len());
        Self {
            plan,
            candidate: 0,
            shard_states: Vec::with_capacity(capacity),
            attempt_states: PrimaryMap::with_capacity(capacity + capacity / 8),
            first_attempt: 0,
            timers: Timers::with_capacity(capacity),
            pending: 0,
            covered: 0,
            sends: 0,
            restarted: false,
            last_restart_check: None,
            stage: Stage::New,
            wake_at: Time::NEVER,
            tried: Vec::new(),
            retry_after: None,
        }
    }

    /// The plan of the query.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The pinned snapshot; `None` if the plan has no candidates.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.plan.candidates.get(self.candidate).map(|candidate| &candidate.snapshot)
    }

    /// The id that is sent with an attempt.
    pub fn id(&self, attempt: Attempt) -> id::Attempt {
        let attempt = attempt.as_u32();
        id::Attempt { node: self.plan.node, request: self.plan.request, attempt }
    }

    /// Whether the response was emitted.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Finished
    }

    /// Whether a queued attempt may still be sent. The caller checks this right
    /// before it hands the request to a connection.
    pub fn may_send(&self, attempt: Attempt) -> bool {
        let is_queued = |entry: &AttemptState| entry.live && entry.phase == Phase::Queued;
        !self.is_finished() && self.attempt_states.get(attempt).is_some_and(is_queued)
    }

    /// Handles one event at `now` and appends the resulting actions to the
    /// context.
    pub fn handle(&mut self, now: Time, event: Event, context: &mut Context<'_>) {
        match (self.stage, event) {
            (Stage::New, Event::Start) => self.start(now, context),
            (Stage::Running, Event::Sent { attempt }) => self.on_sent(attempt),
            (Stage::Running, Event::Replied { attempt, reply }) => {
                self.on_reply(now, attempt, reply, context);
            }
            (Stage::Running, Event::Ended { attempt, completion }) => {
                self.on_completion(now, attempt, completion, context);
            }
            (Stage::Running, Event::Timer) => self.on_timer(now, context),
            (Stage::New | Stage::Running, Event::CallerGone) => {
                self.refuse(Cause::Cancelled, context);
            }
            _ => return,
        }
        self.finish_or_schedule_wake(now, context);
    }

    pub(crate) fn start(&mut self, now: Time, context: &mut Context<'_>) {
        self.stage = Stage::Running;
        let Some(candidate) = self.best_candidate(context) else {
            // A non-idempotent request must be for exactly one shard; one for which no
            // candidate has exactly one is invalid.
            let single_shard = |index| !self.plan.non_idempotent || self.shard_count(index) == 1;
            let valid = (0..self.plan.candidates.len()).any(single_shard)
                || self.plan.candidates.is_empty();
            let cause = if valid { Cause::NoSnapshot } else { Cause::Invalid };
            return self.refuse(cause, context);
        };
        if now >= self.plan.deadline {
            return self.refuse(Cause::Deadline, context);
        }
        self.pin(candidate);
        // `best_candidate` has just compared all candidates.
        self.last_restart_check = Some(now);
        self.fan_out(now, context);
    }

    pub(crate) fn shard_count(&self, index: usize) -> usize {
        self.plan.candidates[index].shards.len()
    }

    pub(crate) fn mark_missing(&mut self, index: u32, reason: Reason) {
        let state = &mut self.shard_states[index as usize];
        state.coverage = Coverage::Missing(reason);
        self.pending -= 1;
    }

    pub(crate) fn on_sent(&mut self, attempt: Attempt) {
        let Some(entry) = self.attempt_states.get_mut(attempt) else { return };
        if entry.phase == Phase::Queued && entry.live {
            entry.phase = Phase::Sent;
            self.sends += 1;
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        now: Time,
        attempt: Attempt,
        reply: Reply,
        context: &mut Context<'_>,
    ) {
        // A reply proves that the attempt was sent, even if the driver did not
        // report it.
        self.on_sent(attempt);
        let Some(entry) = self.attempt_states.get(attempt).copied() else { return };
        if !entry.live {
            return;
        }
        if !self.matches_attempt(attempt, entry, &reply) {
            context.actions.push(Action::CloseConnection { attempt });
            return self.fail_attempt(now, attempt, Phase::Unknown, Reason::BadReply, context);
        }
        let entry = &mut self.attempt_states[attempt];
        entry.live = false;
        entry.phase = Phase::Ran;
        let state = &mut self.shard_states[entry.shard_index as usize];
        state.live -= 1;
        state.coverage = Coverage::Covered(reply.body);
        let newest = state.newest;
        self.pending -= 1;
        self.covered += 1;
        self.cancel_shard_attempts(newest, context);
    }

    pub(crate) fn matches_attempt(
        &self,
        attempt: Attempt,
        entry: AttemptState,
        reply: &Reply,
    ) -> bool {
        let state = &self.shard_states[entry.shard_index as usize];
        reply.complete
            && reply.attempt_id == Some(self.id(attempt))
            && reply.shard == Some(state.shard)
            && reply.snapshot.as_ref() == self.snapshot()
    }

    pub(crate) fn on_completion(
        &mut self,
        now: Time,
        attempt: Attempt,
        completion: Completion,
        context: &mut Context<'_>,
    ) {
        let (phase, reason) = match completion {
            Completion::NotSent(reason) => (Phase::NotSent, reason),
            Completion::Refused { retry_after, .. } => {
                self.on_sent(attempt);
                self.record_retry_after(attempt, retry_after);
                (Phase::Refused, Reason::Refused)
            }
            Completion::Unknown => {
                self.on_sent(attempt);
                (Phase::Unknown, Reason::BadReply)
            }
        };
        self.fail_attempt(now, attempt, phase, reason, context);
    }

    pub(crate) fn record_retry_after(&mut self, attempt: Attempt, after: Option<Duration>) {
        let Some(entry) = self.attempt_states.get(attempt).filter(|entry| entry.live) else {
            return;
        };
        self.shard_states[entry.shard_index as usize].retry_after = after;
        if let Some(after) = after {
            self.retry_after = Some(self.retry_after.map_or(after, |known| known.min(after)));
        }
    }

    pub(crate) fn fail_attempt(
        &mut self,
        now: Time,
        attempt: Attempt,
        phase: Phase,
        reason: Reason,
        context: &mut Context<'_>,
    ) {
        let Some(entry) = self.attempt_states.get_mut(attempt) else { return };
        if !entry.live {
            // A late completion may still prove that a cancelled attempt did not
            // run; the phase of any other ended attempt is final.
            if entry.phase == Phase::Cancelled {
                entry.phase = phase;
            }
            return;
        }
        entry.live = false;
        entry.phase = phase;
        let index = entry.shard_index;
        let state = &mut self.shard_states[index as usize];
        state.live -= 1;
        state.reason = Some(reason);
        if state.live > 0 {
            return;
        }
        state.timer = Time::NEVER;
        if self.non_idempotent_may_have_run() {
            return self.mark_missing(index, reason);
        }
        self.try_shard(now, index, RetryTiming::Immediate, context);
    }

    pub(crate) fn on_timer(&mut self, now: Time, context: &mut Context<'_>) {
        self.wake_at = Time::NEVER;
        if now >= self.plan.deadline {
            return;
        }
        while let Some(index) = self.timers.pop_due(&mut self.shard_states, now) {
            if self.is_finished() {
                // Handling the previous shard finished the query.
                return;
            }
            if self.shard_states[index as usize].live > 0 {
                self.hedge(now, index, context);
            } else {
                self.try_shard(now, index, RetryTiming::AfterPause, context);
            }
        }
    }

    /// Cancels the live attempts of one shard, starting from its newest one.
    pub(crate) fn cancel_shard_attempts(
        &mut self,
        newest: Option<Attempt>,
        context: &mut Context<'_>,
    ) {
        let mut next = newest;
        while let Some(attempt) = next {
            self.cancel(attempt, context);
            next = self.attempt_states[attempt].previous;
        }
    }

    pub(crate) fn cancel_all(&mut self, context: &mut Context<'_>) {
        for number in self.first_attempt as usize..self.attempt_states.len() {
            self.cancel(Attempt::new(number), context);
        }
    }

    pub(crate) fn cancel(&mut self, attempt: Attempt, context: &mut Context<'_>) {
        let entry = &mut self.attempt_states[attempt];
        if !entry.live {
            return;
        }
        entry.live = false;
        entry.phase = match entry.phase {
            Phase::Queued => Phase::NotSent,
            _ => Phase::Cancelled,
        };
        self.shard_states[entry.shard_index as usize].live -= 1;
        context.actions.push(Action::Cancel { attempt });
    }

    pub(crate) fn mark_finished(&mut self) {
        self.stage = Stage::Finished;
    }

    /// Finishes the query if it is complete or out of time; otherwise updates
    /// the wake-up time.
    pub(crate) fn finish_or_schedule_wake(&mut self, now: Time, context: &mut Context<'_>) {
        if self.is_finished() {
            return;
        }
        let soft_deadline_reached = self.plan.preference == Preference::Tail
            && now >= self.plan.soft_deadline
            && self.covered > 0;
        if self.pending == 0 || soft_deadline_reached || now >= self.plan.deadline {
            return self.finish(context);
        }
        let mut next = self.plan.deadline;
        if self.plan.preference == Preference::Tail && now < self.plan.soft_deadline {
            next = next.min(self.plan.soft_deadline);
        }
        if let Some((at, _)) = self.timers.peek(&self.shard_states) {
            next = next.min(at);
        }
        if next != self.wake_at {
            self.wake_at = next;
            context.actions.push(Action::Wake { at: next });
        }
    }
}
