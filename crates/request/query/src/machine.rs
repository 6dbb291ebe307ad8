//! The state machine of one query.
//!
//! Invariants: a snapshot is pinned before the first send and every merged part
//! comes from it; a shard is merged at most once; covered and missing together
//! are the asked shards; nothing is merged or asked for after the final word.

use std::time::Duration;

use cranelift_entity::EntityRef;
use cranelift_entity::PrimaryMap;

use crate::attempt::Turn;
use crate::context::Context;
use crate::event::Action;
use crate::event::Completion;
use crate::event::Event;
use crate::event::Reply;
use crate::plan::Plan;
use crate::state::Cover;
use crate::state::Phase;
use crate::state::Slot;
use crate::state::Try;
use crate::timers::Alarms;
use base::entity::Attempt;
use base::entity::Server;
use base::time::Time;
use conf::object::Value;
use wire::caller::Cause;
use wire::caller::Reason;
use wire::id;
use wire::id::Snapshot;

/// How far a query came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not started.
    New,
    /// Attempts are made.
    Running,
    /// The final word is said.
    Sealed,
}

/// One query.
#[derive(Debug)]
pub struct Machine {
    pub(crate) plan: Plan,
    /// The index of the pinned target.
    pub(crate) target: usize,
    pub(crate) slots: Vec<Slot>,
    pub(crate) tries: PrimaryMap<Attempt, Try>,
    /// The first attempt under the pinned target.
    pub(crate) first: u32,
    pub(crate) alarms: Alarms,
    /// Slots that are not decided.
    pub(crate) open: usize,
    /// Slots that are covered.
    pub(crate) covered: usize,
    pub(crate) sends: u32,
    pub(crate) restarted: bool,
    /// When a restart was last weighed.
    pub(crate) weighed: Option<Time>,
    stage: Stage,
    /// The last time asked for by [`Action::Wake`].
    wake: Time,
    /// Reused for the servers that were tried for a shard.
    pub(crate) tried: Vec<Server>,
    /// The shortest time after which an upstream wanted to be asked again.
    pub(crate) retry_after: Option<Duration>,
}

impl Machine {
    /// A query that waits for [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let most = plan.candidates.first().map_or(0, |target| target.shards.len());
        Self {
            plan,
            target: 0,
            slots: Vec::with_capacity(most),
            tries: PrimaryMap::with_capacity(most + most / 8),
            first: 0,
            alarms: Alarms::with_capacity(most),
            open: 0,
            covered: 0,
            sends: 0,
            restarted: false,
            weighed: None,
            stage: Stage::New,
            wake: Time::NEVER,
            tried: Vec::new(),
            retry_after: None,
        }
    }

    /// The plan that it runs by.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The snapshot that is pinned; `None` if the plan has no target.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.plan.candidates.get(self.target).map(|target| &target.snapshot)
    }

    /// The id under which an attempt is sent.
    pub fn id(&self, attempt: Attempt) -> id::Attempt {
        let attempt = attempt.as_u32();
        id::Attempt { node: self.plan.node, request: self.plan.request, attempt }
    }

    /// Whether the final word is said.
    pub fn is_finished(&self) -> bool {
        self.stage == Stage::Sealed
    }

    /// Whether a queued attempt is still wanted; asked at the moment of sending.
    pub fn may_send(&self, attempt: Attempt) -> bool {
        let wanted = |entry: &Try| entry.live && entry.phase == Phase::Queued;
        !self.is_finished() && self.tries.get(attempt).is_some_and(wanted)
    }

    /// Handles one event at `now`; what is to be done is added to the context's
    /// actions.
    pub fn handle(&mut self, now: Time, event: Event, context: &mut Context<'_>) {
        match (self.stage, event) {
            (Stage::New, Event::Start) => self.start(now, context),
            (Stage::Running, Event::Sent { attempt }) => self.sent(attempt),
            (Stage::Running, Event::Replied { attempt, reply }) => {
                self.replied(now, attempt, reply, context);
            }
            (Stage::Running, Event::Ended { attempt, end }) => {
                self.ended(now, attempt, end, context);
            }
            (Stage::Running, Event::Timer) => self.timer(now, context),
            (Stage::New | Stage::Running, Event::CallerGone) => {
                self.refuse(Cause::Cancelled, context);
            }
            _ => return,
        }
        self.settle(now, context);
    }

    pub(crate) fn start(&mut self, now: Time, context: &mut Context<'_>) {
        self.stage = Stage::Running;
        let Some(target) = self.best_target(context) else {
            let single = |index| !self.plan.non_idempotent || self.shards(index) == 1;
            let valid =
                (0..self.plan.candidates.len()).any(single) || self.plan.candidates.is_empty();
            let cause = if valid { Cause::NoSnapshot } else { Cause::Invalid };
            return self.refuse(cause, context);
        };
        if now >= self.plan.deadline {
            return self.refuse(Cause::Deadline, context);
        }
        self.pin(target);
        // All candidates were just weighed, each shard asked about once.
        self.weighed = Some(now);
        self.fan_out(now, context);
    }

    pub(crate) fn shards(&self, index: usize) -> usize {
        self.plan.candidates[index].shards.len()
    }

    pub(crate) fn give_up(&mut self, index: u32, reason: Reason) {
        let slot = &mut self.slots[index as usize];
        slot.cover = Cover::Missing(reason);
        self.open -= 1;
    }

    pub(crate) fn sent(&mut self, attempt: Attempt) {
        let Some(entry) = self.tries.get_mut(attempt) else { return };
        if entry.phase == Phase::Queued && entry.live {
            entry.phase = Phase::Sent;
            self.sends += 1;
        }
    }

    pub(crate) fn replied(
        &mut self,
        now: Time,
        attempt: Attempt,
        reply: Reply,
        context: &mut Context<'_>,
    ) {
        // A reply proves the send, also if the shell failed to tell of it.
        self.sent(attempt);
        let Some(entry) = self.tries.get(attempt).copied() else { return };
        if !entry.live {
            return;
        }
        if !self.is_own(attempt, entry, &reply) {
            context.actions.push(Action::CloseConnection { attempt });
            return self.fail(now, attempt, Phase::Unknown, Reason::BadReply, context);
        }
        let entry = &mut self.tries[attempt];
        entry.live = false;
        entry.phase = Phase::Ran;
        let slot = &mut self.slots[entry.slot as usize];
        slot.live -= 1;
        slot.cover = Cover::Covered(reply.body);
        let newest = slot.newest;
        self.open -= 1;
        self.covered += 1;
        self.cancel_list(newest, context);
    }

    pub(crate) fn is_own(&self, attempt: Attempt, entry: Try, reply: &Reply) -> bool {
        let slot = &self.slots[entry.slot as usize];
        reply.complete
            && reply.echo == Some(self.id(attempt))
            && reply.shard == Some(slot.shard)
            && reply.snapshot.as_ref() == self.snapshot()
    }

    pub(crate) fn ended(
        &mut self,
        now: Time,
        attempt: Attempt,
        end: Completion,
        context: &mut Context<'_>,
    ) {
        let (phase, reason) = match end {
            Completion::NotSent(reason) => (Phase::NotSent, reason),
            Completion::Refused { retry_after, .. } => {
                self.sent(attempt);
                self.hear_retry_after(attempt, retry_after);
                (Phase::Refused, Reason::Refused)
            }
            Completion::Unknown => {
                self.sent(attempt);
                (Phase::Unknown, Reason::BadReply)
            }
        };
        self.fail(now, attempt, phase, reason, context);
    }

    pub(crate) fn hear_retry_after(&mut self, attempt: Attempt, after: Option<Duration>) {
        let Some(entry) = self.tries.get(attempt).filter(|entry| entry.live) else { return };
        self.slots[entry.slot as usize].retry_after = after;
        if let Some(after) = after {
            self.retry_after = Some(self.retry_after.map_or(after, |known| known.min(after)));
        }
    }

    pub(crate) fn fail(
        &mut self,
        now: Time,
        attempt: Attempt,
        phase: Phase,
        reason: Reason,
        context: &mut Context<'_>,
    ) {
        let Some(entry) = self.tries.get_mut(attempt) else { return };
        if !entry.live {
            // Only what was cancelled may still be proved not to have run; an
            // attempt that ended by itself has ended for good.
            if entry.phase == Phase::Cancelled {
                entry.phase = phase;
            }
            return;
        }
        entry.live = false;
        entry.phase = phase;
        let index = entry.slot;
        let slot = &mut self.slots[index as usize];
        slot.live -= 1;
        slot.reason = Some(reason);
        if slot.live > 0 {
            return;
        }
        slot.alarm = Time::NEVER;
        if self.may_have_run_once() {
            return self.give_up(index, reason);
        }
        self.try_slot(now, index, Turn::Now, context);
    }

    pub(crate) fn timer(&mut self, now: Time, context: &mut Context<'_>) {
        self.wake = Time::NEVER;
        if now >= self.plan.deadline {
            return;
        }
        while let Some(index) = self.alarms.due(&mut self.slots, now) {
            if self.is_finished() {
                // The slot before this one led to the last word.
                return;
            }
            if self.slots[index as usize].live > 0 {
                self.hedge(now, index, context);
            } else {
                self.try_slot(now, index, Turn::Paused, context);
            }
        }
    }

    /// Cancels the live attempts of one list.
    pub(crate) fn cancel_list(&mut self, newest: Option<Attempt>, context: &mut Context<'_>) {
        let mut next = newest;
        while let Some(attempt) = next {
            self.cancel(attempt, context);
            next = self.tries[attempt].older;
        }
    }

    pub(crate) fn cancel_all(&mut self, context: &mut Context<'_>) {
        for number in self.first as usize..self.tries.len() {
            self.cancel(Attempt::new(number), context);
        }
    }

    pub(crate) fn cancel(&mut self, attempt: Attempt, context: &mut Context<'_>) {
        let entry = &mut self.tries[attempt];
        if !entry.live {
            return;
        }
        entry.live = false;
        entry.phase = match entry.phase {
            Phase::Queued => Phase::NotSent,
            _ => Phase::Cancelled,
        };
        self.slots[entry.slot as usize].live -= 1;
        context.actions.push(Action::Cancel { attempt });
    }

    pub(crate) fn seal(&mut self) {
        self.stage = Stage::Sealed;
    }

    /// Ends the query if it is decided, else asks to be woken.
    pub(crate) fn settle(&mut self, now: Time, context: &mut Context<'_>) {
        if self.is_finished() {
            return;
        }
        let sliced = self.plan.preference == Value::Tail
            && now >= self.plan.soft_deadline
            && self.covered > 0;
        if self.open == 0 || sliced || now >= self.plan.deadline {
            return self.finish(context);
        }
        let mut next = self.plan.deadline;
        if self.plan.preference == Value::Tail && now < self.plan.soft_deadline {
            next = next.min(self.plan.soft_deadline);
        }
        if let Some((at, _)) = self.alarms.next(&self.slots) {
            next = next.min(at);
        }
        if next != self.wake {
            self.wake = next;
            context.actions.push(Action::Wake { at: next });
        }
    }
}
