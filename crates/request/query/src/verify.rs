//! Checks a trace against what a query promises.
//!
//! Invariant: the check knows the plan and the lines only, none of the
//! machine's code, and collects all findings with their place.

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
use crate::trace::Trace;
use crate::trace::What;
use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::object::Value;
use wire::caller::Cause;
use wire::caller::Missing;
use wire::caller::Outcome;
use wire::caller::Reason;
use wire::id;
use wire::id::Snapshot;

/// A broken promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Fault {
    /// An attempt or answer of a snapshot that isn't the pinned one.
    #[error("the snapshot is not the pinned one")]
    Snapshot,
    /// A snapshot that the plan doesn't allow.
    #[error("the snapshot or shard is not in the plan")]
    Foreign,
    /// A second restart, or one with attempts left over.
    #[error("the restart is not clean")]
    Restart,
    /// Covered and missing are not the asked shards.
    #[error("covered and missing are not the asked shards")]
    Coverage,
    /// A shard counts as covered without its own whole reply, or the reverse.
    #[error("the covered shards are not those with a reply of their own")]
    Merge,
    /// A missing shard's reason is not what happened.
    #[error("the reason of a missing shard is not what happened")]
    Reason,
    /// A reply of something else left its connection open.
    #[error("a reply that was not the attempt's own was not discarded")]
    Undiscarded,
    /// "Not run" about what may have run, or the reverse.
    #[error("the outcome is not what the attempts ended in")]
    Outcome,
    /// A non-idempotent request was sent while it may have run.
    #[error("a non-idempotent request was sent again")]
    Repeat,
    /// An action that makes no sense: an unknown or ended attempt, a covered
    /// shard, more attempts than allowed, or a time after the deadline.
    #[error("the action makes no sense")]
    Action,
    /// Something follows the final word.
    #[error("something follows the final word")]
    Late,
    /// Attempts are live after the final word.
    #[error("attempts were left running")]
    Running,
    /// The final word was due and didn't come.
    #[error("the final word is held back")]
    Held,
    /// The count of sends is wrong.
    #[error("the sends are miscounted")]
    Sends,
}

/// A broken promise and its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The index of the line.
    pub line: usize,
    /// What is broken.
    pub fault: Fault,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.fault)
    }
}

/// All broken promises of a trace, in order.
pub fn check(trace: &Trace) -> Vec<Finding> {
    let mut checker = Checker::new(&trace.plan);
    for (index, line) in trace.lines.iter().enumerate() {
        checker.line = index;
        match &line.what {
            What::Event(event) => {
                checker.end_step();
                checker.now = line.at;
                checker.event(event);
            }
            What::Decision(_) => {}
            What::Action(action) => checker.action(action),
        }
    }
    checker.end_step();
    checker.findings
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    Queued,
    Sent,
    NotRun(Option<Reason>),
    Ran,
    Cancelled,
    Unknown,
}

struct Made {
    server: Server,
    shard: Shard,
    snapshot: Snapshot,
    end: Fate,
    live: bool,
}

struct Checker<'a> {
    plan: &'a Plan,
    now: Time,
    line: usize,
    findings: Vec<Finding>,
    pinned: Option<&'a Candidate>,
    restarts: u32,
    made: Vec<Made>,
    /// Shards with a reply of their own, and by whom.
    covered: BTreeMap<u32, Server>,
    /// Shards to which a reply of another snapshot came.
    mixed: BTreeSet<u32>,
    sends: u32,
    to_discard: Option<Attempt>,
    gone: bool,
    finished: bool,
}

impl<'a> Checker<'a> {
    fn new(plan: &'a Plan) -> Self {
        Self {
            plan,
            now: Time::ZERO,
            line: 0,
            findings: Vec::new(),
            pinned: None,
            restarts: 0,
            made: Vec::new(),
            covered: BTreeMap::new(),
            mixed: BTreeSet::new(),
            sends: 0,
            to_discard: None,
            gone: false,
            finished: false,
        }
    }

    fn find(&mut self, fault: Fault) {
        self.findings.push(Finding { line: self.line, fault });
    }

    fn expect(&mut self, holds: bool, fault: Fault) {
        if !holds {
            self.find(fault);
        }
    }

    /// Whether the answer is due once all asked shards are covered.
    fn is_whole(&self) -> bool {
        self.pinned.is_some_and(|target| self.covered.len() == asked(target).len())
    }

    fn end_step(&mut self) {
        let due = self.now >= self.plan.deadline || self.is_whole() || self.gone;
        self.expect(self.finished || !due || self.line == 0, Fault::Held);
        let discarded = self.to_discard.take().is_none();
        self.expect(discarded, Fault::Undiscarded);
    }

    fn event(&mut self, event: &Event) {
        if self.finished {
            return;
        }
        match event {
            Event::Sent { attempt } => self.sent(*attempt),
            Event::Replied { attempt, reply } => self.replied(*attempt, reply),
            Event::Ended { attempt, end } => self.ended(*attempt, *end),
            Event::CallerGone => self.gone = true,
            Event::Start | Event::Timer => {}
        }
    }

    fn sent(&mut self, attempt: Attempt) {
        let Some(made) = self.made.get_mut(attempt.as_u32() as usize) else { return };
        if made.live && made.end == Fate::Queued {
            made.end = Fate::Sent;
            self.sends += 1;
        }
    }

    fn replied(&mut self, attempt: Attempt, reply: &Reply) {
        let number = attempt.as_u32();
        let id = id::Attempt { node: self.plan.node, request: self.plan.request, attempt: number };
        self.sent(attempt);
        let Some(made) = self.made.get_mut(number as usize).filter(|made| made.live) else {
            return;
        };
        made.live = false;
        let own = reply.echo == Some(id)
            && reply.snapshot.as_ref() == Some(&made.snapshot)
            && reply.shard == Some(made.shard);
        if own && reply.complete {
            made.end = Fate::Ran;
            self.covered.insert(made.shard.as_u32(), made.server);
        } else {
            made.end = Fate::Unknown;
            if reply.snapshot.as_ref() != Some(&made.snapshot) {
                self.mixed.insert(made.shard.as_u32());
            }
            self.to_discard = Some(attempt);
        }
    }

    fn ended(&mut self, attempt: Attempt, end: Completion) {
        if !matches!(end, Completion::NotSent(_)) {
            self.sent(attempt);
        }
        let Some(made) = self.made.get_mut(attempt.as_u32() as usize) else { return };
        if !made.live && made.end != Fate::Cancelled {
            return;
        }
        made.live = false;
        made.end = match end {
            Completion::NotSent(reason) => Fate::NotRun(Some(reason)),
            Completion::Refused { .. } => Fate::NotRun(Some(Reason::Refused)),
            Completion::Unknown => Fate::Unknown,
        };
    }

    fn action(&mut self, action: &Action) {
        if self.finished {
            return self.find(Fault::Late);
        }
        match action {
            Action::Send { attempt, server, shard, snapshot, deadline } => {
                self.pin(snapshot);
                self.send(*attempt, *shard, *deadline);
                self.made.push(Made {
                    server: *server,
                    shard: *shard,
                    snapshot: snapshot.clone(),
                    end: Fate::Queued,
                    live: true,
                });
            }
            Action::Cancel { attempt } => self.cancel(*attempt),
            Action::CloseConnection { attempt } => {
                let wanted = self.to_discard.take() == Some(*attempt);
                self.expect(wanted, Fault::Action);
            }
            Action::Wake { at } => self.expect(*at <= self.plan.deadline, Fault::Action),
            Action::Finish(last) => self.finish(last),
        }
    }

    fn pin(&mut self, snapshot: &Snapshot) {
        if self.pinned.is_some_and(|target| target.snapshot == *snapshot) {
            return;
        }
        if self.pinned.is_some() {
            self.restarts += 1;
            let clean = self.restarts == 1 && self.made.iter().all(|made| !made.live);
            self.expect(clean, Fault::Restart);
        }
        let wanted = |target: &&Candidate| target.snapshot == *snapshot;
        self.pinned = self.plan.candidates.iter().find(wanted);
        self.covered.clear();
        let first = self.plan.candidates.first().map(|target| &target.snapshot.map);
        let allowed = self.pinned.is_some()
            && snapshot.version >= self.plan.min_version
            && (!self.plan.named_shards || first == Some(&snapshot.map));
        self.expect(allowed, Fault::Foreign);
    }

    fn send(&mut self, attempt: Attempt, shard: Shard, deadline: Time) {
        let known = self.pinned.is_some_and(|target| target.shards.contains(&shard));
        self.expect(known, Fault::Foreign);
        let pinned = self.pinned.map(|target| &target.snapshot);
        let ran = |made: &Made| !matches!(made.end, Fate::NotRun(_));
        let same =
            |made: &&Made| made.shard == shard && Some(&made.snapshot) == pinned && ran(made);
        let before = self.made.iter().filter(same).count();
        let sound = attempt.as_u32() as usize == self.made.len()
            && !self.covered.contains_key(&shard.as_u32())
            && before < self.plan.settings.attempts as usize
            && deadline <= self.plan.deadline
            && self.now < self.plan.deadline;
        self.expect(sound, Fault::Action);
        let safe = |made: &Made| !made.live && matches!(made.end, Fate::NotRun(_));
        let once = !self.plan.non_idempotent || self.made.iter().all(safe);
        self.expect(once, Fault::Repeat);
    }

    fn cancel(&mut self, attempt: Attempt) {
        let made = self.made.get_mut(attempt.as_u32() as usize).filter(|made| made.live);
        let Some(made) = made else { return self.find(Fault::Action) };
        made.live = false;
        made.end = match made.end {
            Fate::Queued => Fate::NotRun(None),
            _ => Fate::Cancelled,
        };
    }

    fn finish(&mut self, last: &Response) {
        self.finished = true;
        let running = self.made.iter().any(|made| made.live);
        self.expect(!running, Fault::Running);
        match last {
            Response::Answer(answer) => self.answer(answer),
            Response::Refusal(refusal) => self.refusal(refusal),
        }
    }

    fn answer(&mut self, answer: &Answer) {
        self.expect(answer.sends == self.sends, Fault::Sends);
        // Where nothing was sent no snapshot is known to be pinned.
        let pinned = self.pinned.or(self.plan.candidates.first());
        let Some(target) = pinned.filter(|target| target.snapshot == answer.snapshot) else {
            return self.find(Fault::Snapshot);
        };
        let missing: Vec<u32> = answer.missing.iter().map(|missing| missing.shard).collect();
        let both: BTreeSet<u32> = answer.covered.iter().chain(&missing).copied().collect();
        let whole = both == asked(target)
            && both.len() == answer.covered.len() + missing.len()
            && answer.covered.is_sorted()
            && missing.is_sorted();
        self.expect(whole, Fault::Coverage);
        let merged = self.covered.keys().copied().eq(answer.covered.iter().copied());
        self.expect(merged, Fault::Merge);
        let own = |shard| self.covered.contains_key(shard) || !self.mixed.contains(shard);
        let one = answer.covered.iter().all(own);
        self.expect(one, Fault::Snapshot);
        for missing in &answer.missing {
            let told = self.is_reason(missing, target);
            self.expect(told, Fault::Reason);
        }
    }

    fn is_reason(&self, missing: &Missing, target: &Candidate) -> bool {
        let of_shard =
            |made: &&Made| made.shard.as_u32() == missing.shard && made.snapshot == target.snapshot;
        let ends = || self.made.iter().filter(of_shard).map(|made| made.end);
        match missing.reason {
            Reason::Deadline => {
                let tail = self.plan.preference == Value::Tail;
                self.now >= if tail { self.plan.soft_deadline } else { self.plan.deadline }
            }
            Reason::Refused => ends().any(|end| end == Fate::NotRun(Some(Reason::Refused))),
            Reason::Unreachable => ends().any(|end| end == Fate::NotRun(Some(Reason::Unreachable))),
            Reason::BadReply => ends().any(|end| end == Fate::Unknown),
            Reason::NoReplica | Reason::Leaving | Reason::Budget => true,
        }
    }

    fn refusal(&mut self, refusal: &Refusal) {
        self.expect(refusal.sends == self.sends, Fault::Sends);
        let covers = !self.covered.is_empty() && refusal.cause != Cause::Cancelled;
        self.expect(!covers, Fault::Merge);
        let not_run = self.made.iter().all(|made| matches!(made.end, Fate::NotRun(_)));
        let outcome = if not_run { Outcome::NotRun } else { Outcome::Unknown };
        self.expect(refusal.outcome == outcome, Fault::Outcome);
    }
}

/// The asked shards of a target, each once.
fn asked(target: &Candidate) -> BTreeSet<u32> {
    target.shards.iter().map(|shard| shard.as_u32()).collect()
}
