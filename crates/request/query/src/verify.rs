//! Verifies that a trace satisfies the guarantees of a query.
//!
//! Invariant: the check uses only the plan and the lines of the trace and shares
//! no code with the state machine. It collects all violations with their lines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use crate::event::Action;
use crate::event::Answer;
use crate::event::Completion;
use crate::event::Event;
use crate::event::Refusal;
use crate::event::Reply;
use crate::event::Response;
use crate::plan::Candidate;
use crate::plan::Plan;
use crate::trace::Entry;
use crate::trace::Trace;
use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::object::Preference;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::MissingShard;
use wire::caller::Reason;
use wire::id;
use wire::id::Snapshot;

/// A violated guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Fault {
    /// An answer, or a result in it, comes from a snapshot that is not pinned.
    #[error("the snapshot is not the pinned one")]
    Snapshot,
    /// An attempt uses a snapshot or shard that the plan does not allow.
    #[error("the snapshot or shard is not in the plan")]
    NotInPlan,
    /// The query restarted a second time, or with attempts still live.
    #[error("the query restarted more than once or with live attempts")]
    Restart,
    /// The covered and missing shards together are not the requested shards.
    #[error("the covered and missing shards are not the requested shards")]
    Coverage,
    /// A shard is reported as covered without a complete reply of its own, or the
    /// reverse.
    #[error("the covered shards are not those with a complete reply of their own")]
    Merge,
    /// The reason of a missing shard does not match the events.
    #[error("the reason of a missing shard does not match the events")]
    Reason,
    /// A reply was wrong or incomplete, but its connection was not closed.
    #[error("the connection of a wrong or incomplete reply was not closed")]
    ConnectionKept,
    /// A refusal reports "not run" although an attempt may have run, or the reverse.
    #[error("the outcome of the refusal does not match the attempts")]
    Outcome,
    /// A non-idempotent request was sent again although it may have run.
    #[error("a non-idempotent request was sent again")]
    Repeat,
    /// An invalid action: for an unknown or ended attempt, for a covered shard, for
    /// more attempts than allowed, or with a time after the deadline.
    #[error("the action is invalid")]
    Action,
    /// An action follows the response.
    #[error("an action follows the response")]
    AfterFinish,
    /// Attempts are still live after the response.
    #[error("attempts are still live after the response")]
    Running,
    /// The response was due but was not emitted.
    #[error("the response is overdue")]
    Overdue,
    /// The number of sends is wrong.
    #[error("the number of sends is wrong")]
    Sends,
}

/// A violated guarantee and the line where it was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The index of the line.
    pub line: usize,
    /// The violated guarantee.
    pub fault: Fault,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.fault)
    }
}

/// Returns all violations of a trace, in order.
pub fn check(trace: &Trace) -> Vec<Violation> {
    let mut checker = Checker::new(&trace.plan);
    for (index, line) in trace.lines.iter().enumerate() {
        checker.line = index;
        match &line.entry {
            Entry::Event(event) => {
                checker.end_step();
                checker.now = line.at;
                checker.event(event);
            }
            Entry::Decision(_) => {}
            Entry::Action(action) => checker.action(action),
        }
    }
    checker.end_step();
    checker.violations
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptStatus {
    Queued,
    Sent,
    NotRun(Option<Reason>),
    Ran,
    Cancelled,
    Unknown,
}

struct AttemptRecord {
    server: Server,
    shard: Shard,
    snapshot: Snapshot,
    status: AttemptStatus,
    live: bool,
}

struct Checker<'a> {
    plan: &'a Plan,
    now: Time,
    line: usize,
    violations: Vec<Violation>,
    pinned: Option<&'a Candidate>,
    restarts: u32,
    attempts: Vec<AttemptRecord>,
    /// Shards with a complete reply of their own, and the server that sent it.
    covered: BTreeMap<u32, Server>,
    /// Shards that received a reply from another snapshot.
    mismatched: BTreeSet<u32>,
    sends: u32,
    to_close: Option<Attempt>,
    caller_gone: bool,
    finished: bool,
}

impl<'a> Checker<'a> {
    fn new(plan: &'a Plan) -> Self {
        Self {
            plan,
            now: Time::ZERO,
            line: 0,
            violations: Vec::new(),
            pinned: None,
            restarts: 0,
            attempts: Vec::new(),
            covered: BTreeMap::new(),
            mismatched: BTreeSet::new(),
            sends: 0,
            to_close: None,
            caller_gone: false,
            finished: false,
        }
    }

    fn report(&mut self, fault: Fault) {
        self.violations.push(Violation { line: self.line, fault });
    }

    fn require(&mut self, holds: bool, fault: Fault) {
        if !holds {
            self.report(fault);
        }
    }

    /// Whether all requested shards are covered, so that the answer is due.
    fn is_fully_covered(&self) -> bool {
        self.pinned.is_some_and(|candidate| self.covered.len() == requested_shards(candidate).len())
    }

    fn end_step(&mut self) {
        let due = self.now >= self.plan.deadline || self.is_fully_covered() || self.caller_gone;
        self.require(self.finished || !due || self.line == 0, Fault::Overdue);
        let closed = self.to_close.take().is_none();
        self.require(closed, Fault::ConnectionKept);
    }

    fn event(&mut self, event: &Event) {
        if self.finished {
            return;
        }
        match event {
            Event::Sent { attempt } => self.sent(*attempt),
            Event::Replied { attempt, reply } => self.replied(*attempt, reply),
            Event::Ended { attempt, completion } => self.ended(*attempt, *completion),
            Event::CallerGone => self.caller_gone = true,
            Event::Start | Event::Timer => {}
        }
    }

    fn sent(&mut self, attempt: Attempt) {
        let Some(record) = self.attempts.get_mut(attempt.as_u32() as usize) else { return };
        if record.live && record.status == AttemptStatus::Queued {
            record.status = AttemptStatus::Sent;
            self.sends += 1;
        }
    }

    fn replied(&mut self, attempt: Attempt, reply: &Reply) {
        let number = attempt.as_u32();
        let id = id::Attempt { node: self.plan.node, request: self.plan.request, attempt: number };
        self.sent(attempt);
        let Some(record) = self.attempts.get_mut(number as usize).filter(|record| record.live)
        else {
            return;
        };
        record.live = false;
        let own = reply.attempt_id == Some(id)
            && reply.snapshot.as_ref() == Some(&record.snapshot)
            && reply.shard == Some(record.shard);
        if own && reply.complete {
            record.status = AttemptStatus::Ran;
            self.covered.insert(record.shard.as_u32(), record.server);
        } else {
            record.status = AttemptStatus::Unknown;
            if reply.snapshot.as_ref() != Some(&record.snapshot) {
                self.mismatched.insert(record.shard.as_u32());
            }
            self.to_close = Some(attempt);
        }
    }

    fn ended(&mut self, attempt: Attempt, completion: Completion) {
        if !matches!(completion, Completion::NotSent(_)) {
            self.sent(attempt);
        }
        let Some(record) = self.attempts.get_mut(attempt.as_u32() as usize) else { return };
        if !record.live && record.status != AttemptStatus::Cancelled {
            return;
        }
        record.live = false;
        record.status = match completion {
            Completion::NotSent(reason) => AttemptStatus::NotRun(Some(reason)),
            Completion::Refused { .. } => AttemptStatus::NotRun(Some(Reason::Refused)),
            Completion::Unknown => AttemptStatus::Unknown,
        };
    }

    fn action(&mut self, action: &Action) {
        if self.finished {
            return self.report(Fault::AfterFinish);
        }
        match action {
            Action::Send { attempt, server, shard, snapshot, deadline } => {
                self.pin(snapshot);
                self.send(*attempt, *shard, *deadline);
                self.attempts.push(AttemptRecord {
                    server: *server,
                    shard: *shard,
                    snapshot: snapshot.clone(),
                    status: AttemptStatus::Queued,
                    live: true,
                });
            }
            Action::Cancel { attempt } => self.cancel(*attempt),
            Action::CloseConnection { attempt } => {
                let expected = self.to_close.take() == Some(*attempt);
                self.require(expected, Fault::Action);
            }
            Action::Wake { at } => self.require(*at <= self.plan.deadline, Fault::Action),
            Action::Finish(response) => self.finish(response),
        }
    }

    fn pin(&mut self, snapshot: &Snapshot) {
        if self.pinned.is_some_and(|candidate| candidate.snapshot == *snapshot) {
            return;
        }
        if self.pinned.is_some() {
            self.restarts += 1;
            let clean = self.restarts == 1 && self.attempts.iter().all(|record| !record.live);
            self.require(clean, Fault::Restart);
        }
        let is_pinned = |candidate: &&Candidate| candidate.snapshot == *snapshot;
        self.pinned = self.plan.candidates.iter().find(is_pinned);
        self.covered.clear();
        let first = self.plan.candidates.first().map(|candidate| &candidate.snapshot.map);
        let allowed = self.pinned.is_some()
            && snapshot.version >= self.plan.min_version
            && (!self.plan.named_shards || first == Some(&snapshot.map));
        self.require(allowed, Fault::NotInPlan);
    }

    fn send(&mut self, attempt: Attempt, shard: Shard, deadline: Time) {
        let known = self.pinned.is_some_and(|candidate| candidate.shards.contains(&shard));
        self.require(known, Fault::NotInPlan);
        let pinned = self.pinned.map(|candidate| &candidate.snapshot);
        let ran = |record: &AttemptRecord| !matches!(record.status, AttemptStatus::NotRun(_));
        let same_shard = |record: &&AttemptRecord| {
            record.shard == shard && Some(&record.snapshot) == pinned && ran(record)
        };
        let before = self.attempts.iter().filter(same_shard).count();
        let valid = attempt.as_u32() as usize == self.attempts.len()
            && !self.covered.contains_key(&shard.as_u32())
            && before < self.plan.settings.max_attempts as usize
            && deadline <= self.plan.deadline
            && self.now < self.plan.deadline;
        self.require(valid, Fault::Action);
        let safe = |record: &AttemptRecord| {
            !record.live && matches!(record.status, AttemptStatus::NotRun(_))
        };
        let once = !self.plan.non_idempotent || self.attempts.iter().all(safe);
        self.require(once, Fault::Repeat);
    }

    fn cancel(&mut self, attempt: Attempt) {
        let record = self.attempts.get_mut(attempt.as_u32() as usize).filter(|record| record.live);
        let Some(record) = record else { return self.report(Fault::Action) };
        record.live = false;
        record.status = match record.status {
            AttemptStatus::Queued => AttemptStatus::NotRun(None),
            _ => AttemptStatus::Cancelled,
        };
    }

    fn finish(&mut self, response: &Response) {
        self.finished = true;
        let running = self.attempts.iter().any(|record| record.live);
        self.require(!running, Fault::Running);
        match response {
            Response::Answer(answer) => self.answer(answer),
            Response::Refusal(refusal) => self.refusal(refusal),
        }
    }

    fn answer(&mut self, answer: &Answer) {
        self.require(answer.sends == self.sends, Fault::Sends);
        // If nothing was sent, the trace does not show which snapshot is pinned.
        let pinned = self.pinned.or(self.plan.candidates.first());
        let Some(candidate) = pinned.filter(|candidate| candidate.snapshot == answer.snapshot)
        else {
            return self.report(Fault::Snapshot);
        };
        let missing: Vec<u32> = answer.missing.iter().map(|missing| missing.shard).collect();
        let all: BTreeSet<u32> = answer.covered.iter().chain(&missing).copied().collect();
        let complete = all == requested_shards(candidate)
            && all.len() == answer.covered.len() + missing.len()
            && answer.covered.is_sorted()
            && missing.is_sorted();
        self.require(complete, Fault::Coverage);
        let merged = self.covered.keys().copied().eq(answer.covered.iter().copied());
        self.require(merged, Fault::Merge);
        let own = |shard| self.covered.contains_key(shard) || !self.mismatched.contains(shard);
        let same_snapshot = answer.covered.iter().all(own);
        self.require(same_snapshot, Fault::Snapshot);
        for missing in &answer.missing {
            let reason_matches = self.is_valid_reason(missing, candidate);
            self.require(reason_matches, Fault::Reason);
        }
    }

    fn is_valid_reason(&self, missing: &MissingShard, candidate: &Candidate) -> bool {
        let of_shard = |record: &&AttemptRecord| {
            record.shard.as_u32() == missing.shard && record.snapshot == candidate.snapshot
        };
        let statuses = || self.attempts.iter().filter(of_shard).map(|record| record.status);
        match missing.reason {
            Reason::Deadline => {
                let tail = self.plan.preference == Preference::Tail;
                self.now >= if tail { self.plan.soft_deadline } else { self.plan.deadline }
            }
            Reason::Refused => {
                statuses().any(|status| status == AttemptStatus::NotRun(Some(Reason::Refused)))
            }
            Reason::Unreachable => {
                statuses().any(|status| status == AttemptStatus::NotRun(Some(Reason::Unreachable)))
            }
            Reason::BadReply => statuses().any(|status| status == AttemptStatus::Unknown),
            Reason::NoReplica | Reason::Leaving | Reason::Budget => true,
        }
    }

    fn refusal(&mut self, refusal: &Refusal) {
        self.require(refusal.sends == self.sends, Fault::Sends);
        let covers = !self.covered.is_empty() && refusal.cause != Cause::Cancelled;
        self.require(!covers, Fault::Merge);
        let not_run =
            self.attempts.iter().all(|record| matches!(record.status, AttemptStatus::NotRun(_)));
        let outcome = if not_run { Execution::NotRun } else { Execution::Unknown };
        self.require(refusal.outcome == outcome, Fault::Outcome);
    }
}

/// The requested shards of a candidate, without duplicates.
fn requested_shards(candidate: &Candidate) -> BTreeSet<u32> {
    candidate.shards.iter().map(|shard| shard.as_u32()).collect()
}
