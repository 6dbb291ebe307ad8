//! The state machine of one query.
//!
//! Invariants: a snapshot is pinned before the first send and every merged part
//! comes from it; a shard is merged at most once; covered and missing together
//! are the asked shards; nothing is merged or asked for after the final word.

use std::time::Duration;

use cranelift_entity::EntityRef;
use cranelift_entity::PrimaryMap;

use crate::alarm::Alarms;
use crate::context::Context;
use crate::event::Action;
use crate::event::End;
use crate::event::Event;
use crate::event::Reply;
use crate::plan::Plan;
use crate::slot::Cover;
use crate::slot::Phase;
use crate::slot::Slot;
use crate::slot::Try;
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
    first: u32,
    alarms: Alarms,
    /// Slots that are not decided.
    open: usize,
    /// Slots that are covered.
    pub(crate) covered: usize,
    pub(crate) sends: u32,
    restarted: bool,
    stage: Stage,
    /// The last time asked for by [`Action::Wake`].
    wake: Time,
    /// The shortest time after which an upstream wanted to be asked again.
    pub(crate) retry_after: Option<Duration>,
}

impl Machine {
    /// A query that waits for [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let most = plan.targets.first().map_or(0, |target| target.shards.len());
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
            stage: Stage::New,
            wake: Time::NEVER,
            retry_after: None,
        }
    }

    /// The plan that it runs by.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The snapshot that is pinned; `None` if the plan has no target.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.plan.targets.get(self.target).map(|target| &target.snapshot)
    }

    /// The id under which an attempt is sent.
    pub fn id(&self, attempt: Attempt) -> id::Attempt {
        let attempt = attempt.as_u32();
        id::Attempt { node: self.plan.node, request: self.plan.request, attempt }
    }

    /// Whether the final word is said.
    pub fn is_sealed(&self) -> bool {
        self.stage == Stage::Sealed
    }

    /// Whether a queued attempt is still wanted; asked at the moment of sending.
    pub fn may_send(&self, attempt: Attempt) -> bool {
        let wanted = |entry: &Try| entry.live && entry.phase == Phase::Queued;
        !self.is_sealed() && self.tries.get(attempt).is_some_and(wanted)
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

    fn start(&mut self, now: Time, context: &mut Context<'_>) {
        self.stage = Stage::Running;
        let Some(target) = self.best_target(context) else {
            let single = |index| !self.plan.non_idempotent || self.shards(index) == 1;
            let valid = (0..self.plan.targets.len()).any(single) || self.plan.targets.is_empty();
            let cause = if valid { Cause::NoSnapshot } else { Cause::Invalid };
            return self.refuse(cause, context);
        };
        if now >= self.plan.deadline {
            return self.refuse(Cause::Deadline, context);
        }
        self.pin(target);
        self.fan_out(now, context);
    }

    fn shards(&self, index: usize) -> usize {
        self.plan.targets[index].shards.len()
    }

    /// The allowed target with the largest part of its shards held; of equals
    /// the one that the plan prefers.
    fn best_target(&self, context: &Context<'_>) -> Option<usize> {
        let mut best = None;
        for index in 0..self.plan.targets.len() {
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

    fn promise(&self, index: usize, context: &Context<'_>) -> Promise {
        let target = &self.plan.targets[index];
        let holds = |shard: &&_| context.chooser.holds(&target.snapshot, **shard);
        Promise { held: target.shards.iter().filter(holds).count(), all: target.shards.len() }
    }

    /// What the pinned target can still cover.
    fn remaining(&self, context: &Context<'_>) -> Promise {
        let snapshot = &self.plan.targets[self.target].snapshot;
        let may = |slot: &&Slot| match slot.cover {
            Cover::Covered(_) => true,
            Cover::Missing(_) => false,
            Cover::Open => slot.live > 0 || context.chooser.holds(snapshot, slot.shard),
        };
        Promise { held: self.slots.iter().filter(may).count(), all: self.slots.len() }
    }

    fn pin(&mut self, target: usize) {
        self.target = target;
        self.slots.clear();
        self.slots.extend(self.plan.targets[target].shards.iter().copied().map(Slot::new));
        self.slots.sort_unstable_by_key(|slot| slot.shard);
        self.slots.dedup_by_key(|slot| slot.shard);
        self.alarms.clear();
        self.first = self.tries.len() as u32;
        self.open = self.slots.len();
        self.covered = 0;
    }

    fn fan_out(&mut self, now: Time, context: &mut Context<'_>) {
        let pinned = self.target;
        for index in 0..self.slots.len() as u32 {
            self.try_slot(now, index, Cost::First, context);
            if self.target != pinned {
                // The choice of this slot led to a restart, which fanned out anew.
                return;
            }
        }
    }

    /// Chooses a server for the slot among those not tried, if there is one.
    fn choose(
        &self,
        now: Time,
        index: u32,
        context: &mut Context<'_>,
    ) -> Result<(Server, bool), Reason> {
        let slot = &self.slots[index as usize];
        context.tried.clear();
        let mut next = slot.newest;
        while let Some(attempt) = next {
            let entry = &self.tries[attempt];
            context.tried.push(entry.server);
            next = entry.older;
        }
        let snapshot = &self.plan.targets[self.target].snapshot;
        let server = context.chooser.choose(now, snapshot, slot.shard, &context.tried)?;
        Ok((server, !context.tried.contains(&server)))
    }

    /// Makes an attempt for a slot without a live one, now or after a pause.
    fn try_slot(&mut self, now: Time, index: u32, cost: Cost, context: &mut Context<'_>) {
        if now >= self.plan.deadline {
            return;
        }
        let slot = &self.slots[index as usize];
        if slot.attempts >= self.plan.settings.attempts {
            let reason = slot.reason.unwrap_or(Reason::NoReplica);
            return self.give_up(index, reason);
        }
        let (server, fresh) = match self.choose(now, index, context) {
            Ok(choice) => choice,
            Err(reason) => return self.no_replica(now, index, reason, context),
        };
        if !fresh && cost != Cost::Paused {
            return self.pause(now, index);
        }
        if self.costs_retry(index) && !context.budget.take_retry(now) {
            return self.no_budget(now, index);
        }
        if self.slots[index as usize].attempts == 0 {
            context.budget.first_send(now);
        }
        self.issue(now, index, server, context);
    }

    /// Whether another attempt of the slot adds load: one that follows attempts
    /// that all were never sent does not.
    fn costs_retry(&self, index: u32) -> bool {
        let mut next = self.slots[index as usize].newest;
        while let Some(attempt) = next {
            let entry = &self.tries[attempt];
            if entry.phase != Phase::NotSent {
                return true;
            }
            next = entry.older;
        }
        false
    }

    fn issue(&mut self, now: Time, index: u32, server: Server, context: &mut Context<'_>) {
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
            snapshot: self.plan.targets[self.target].snapshot.clone(),
            deadline: Time(self.plan.deadline.0 - self.way(now)),
        });
        self.arm_hedge(now, index, server, context);
    }

    /// What is taken off the deadline, in microseconds: never all that is left.
    fn way(&self, now: Time) -> u64 {
        let left = self.plan.deadline.since(now);
        self.plan.settings.way.min(left / 2).as_micros() as u64
    }

    fn arm_hedge(&mut self, now: Time, index: u32, server: Server, context: &Context<'_>) {
        let hedge = self.plan.settings.hedge && !self.plan.non_idempotent;
        let at = if hedge { now + context.chooser.hedge_delay(server) } else { Time::NEVER };
        self.alarms.set(&mut self.slots, index, at);
    }

    fn hedge(&mut self, now: Time, index: u32, context: &mut Context<'_>) {
        let slot = &self.slots[index as usize];
        if slot.attempts >= self.plan.settings.attempts {
            return;
        }
        let Ok((server, true)) = self.choose(now, index, context) else { return };
        if context.budget.take_hedge(now) {
            return self.issue(now, index, server, context);
        }
        // A slower attempt deserves a hedge more: ask the budget again later.
        self.arm_hedge(now, index, server, context);
    }

    fn pause(&mut self, now: Time, index: u32) {
        let slot = &self.slots[index as usize];
        let base = self.plan.settings.pause.max(Duration::from_micros(1));
        let pause = base * (1 << slot.attempts.min(6));
        let at = now + pause.max(self.retry_after.unwrap_or_default());
        self.alarms.set(&mut self.slots, index, at);
    }

    fn no_budget(&mut self, now: Time, index: u32) {
        match self.plan.value {
            Value::Tail => self.give_up(index, Reason::Budget),
            Value::Coverage => {
                self.slots[index as usize].reason = Some(Reason::Budget);
                self.pause(now, index);
            }
        }
    }

    fn no_replica(&mut self, now: Time, index: u32, reason: Reason, context: &mut Context<'_>) {
        if let Some(target) = self.better_target(now, context) {
            return self.restart(now, target, context);
        }
        let slot = &mut self.slots[index as usize];
        slot.reason = Some(reason);
        let lost_at = *slot.lost_at.get_or_insert(now);
        let waited = now.since(lost_at) >= self.plan.settings.replica_wait;
        match self.plan.value {
            Value::Coverage if !waited => self.pause(now, index),
            _ => self.give_up(index, reason),
        }
    }

    /// A target to restart at: allowed, with time left, and promising more than
    /// what the pinned one can still cover.
    fn better_target(&self, now: Time, context: &mut Context<'_>) -> Option<usize> {
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
        let target = (0..self.plan.targets.len()).find(better)?;
        context.budget.take_retry(now).then_some(target)
    }

    /// Whether a non-idempotent request may have run.
    fn may_have_run_once(&self) -> bool {
        self.plan.non_idempotent && self.tries.values().any(|entry| entry.phase.may_have_run())
    }

    fn restart(&mut self, now: Time, target: usize, context: &mut Context<'_>) {
        self.restarted = true;
        self.cancel_all(context);
        self.pin(target);
        self.fan_out(now, context);
    }

    fn give_up(&mut self, index: u32, reason: Reason) {
        let slot = &mut self.slots[index as usize];
        slot.cover = Cover::Missing(reason);
        self.open -= 1;
    }

    fn sent(&mut self, attempt: Attempt) {
        let Some(entry) = self.tries.get_mut(attempt) else { return };
        if entry.phase == Phase::Queued && entry.live {
            entry.phase = Phase::Sent;
            self.sends += 1;
        }
    }

    fn replied(&mut self, now: Time, attempt: Attempt, reply: Reply, context: &mut Context<'_>) {
        let Some(entry) = self.tries.get(attempt).copied() else { return };
        if !entry.live {
            return;
        }
        if !self.is_own(attempt, entry, &reply) {
            context.actions.push(Action::Discard { attempt });
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

    fn is_own(&self, attempt: Attempt, entry: Try, reply: &Reply) -> bool {
        let slot = &self.slots[entry.slot as usize];
        reply.complete
            && reply.echo == Some(self.id(attempt))
            && reply.shard == Some(slot.shard)
            && reply.snapshot.as_ref() == self.snapshot()
    }

    fn ended(&mut self, now: Time, attempt: Attempt, end: End, context: &mut Context<'_>) {
        let (phase, reason) = match end {
            End::NotSent(reason) => (Phase::NotSent, reason),
            End::Refused { retry_after, .. } => {
                self.hear_retry_after(retry_after);
                (Phase::Refused, Reason::Refused)
            }
            End::Unknown => (Phase::Unknown, Reason::BadReply),
        };
        self.fail(now, attempt, phase, reason, context);
    }

    fn hear_retry_after(&mut self, after: Option<Duration>) {
        if let Some(after) = after {
            self.retry_after = Some(self.retry_after.map_or(after, |known| known.min(after)));
        }
    }

    fn fail(
        &mut self,
        now: Time,
        attempt: Attempt,
        phase: Phase,
        reason: Reason,
        context: &mut Context<'_>,
    ) {
        let Some(entry) = self.tries.get_mut(attempt) else { return };
        if !entry.live {
            // A cancelled attempt may still be proved not to have run.
            if entry.phase == Phase::Unknown {
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
        self.try_slot(now, index, Cost::Next, context);
    }

    fn timer(&mut self, now: Time, context: &mut Context<'_>) {
        self.wake = Time::NEVER;
        if now >= self.plan.deadline {
            return;
        }
        while let Some(index) = self.alarms.due(&mut self.slots, now) {
            if self.slots[index as usize].live > 0 {
                self.hedge(now, index, context);
            } else {
                self.try_slot(now, index, Cost::Paused, context);
            }
        }
    }

    /// Cancels the live attempts of one list.
    fn cancel_list(&mut self, newest: Option<Attempt>, context: &mut Context<'_>) {
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

    fn cancel(&mut self, attempt: Attempt, context: &mut Context<'_>) {
        let entry = &mut self.tries[attempt];
        if !entry.live {
            return;
        }
        entry.live = false;
        entry.phase = match entry.phase {
            Phase::Queued => Phase::NotSent,
            _ => Phase::Unknown,
        };
        self.slots[entry.slot as usize].live -= 1;
        context.actions.push(Action::Cancel { attempt });
    }

    pub(crate) fn seal(&mut self) {
        self.stage = Stage::Sealed;
    }

    /// Ends the query if it is decided, else asks to be woken.
    fn settle(&mut self, now: Time, context: &mut Context<'_>) {
        if self.is_sealed() {
            return;
        }
        let sliced = self.plan.value == Value::Tail && now >= self.plan.slice && self.covered > 0;
        if self.open == 0 || sliced || now >= self.plan.deadline {
            return self.finish(context);
        }
        let mut next = self.plan.deadline;
        if self.plan.value == Value::Tail && now < self.plan.slice {
            next = next.min(self.plan.slice);
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

/// When an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cost {
    /// As the slot's first.
    First,
    /// Right after another one failed.
    Next,
    /// After a pause.
    Paused,
}

/// How many shards of how many can be covered.
#[derive(Clone, Copy, Debug)]
struct Promise {
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
