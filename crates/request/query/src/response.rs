//! The final word on a query.
//!
//! Invariant: "not run" is said only if no attempt ever made may have run.

use std::time::Duration;

use crate::context::Context;
use crate::event::Action;
use crate::event::Answer;
use crate::event::Refusal;
use crate::event::Response;
use crate::machine::Machine;
use crate::state::Cover;
use crate::state::Slot;
use wire::caller::Cause;
use wire::caller::Missing;
use wire::caller::Outcome;
use wire::caller::Part;
use wire::caller::Reason;

impl Machine {
    /// Says the final word by what is covered.
    pub(crate) fn finish(&mut self, context: &mut Context<'_>) {
        if self.covered == 0 && !self.slots.is_empty() {
            let cause = self.cause();
            return self.refuse(cause, context);
        }
        // Reasons are read before the cancels, which end the live attempts.
        let answer = self.answer();
        self.cancel_all(context);
        self.seal();
        context.actions.push(Action::Finish(Response::Answer(answer)));
    }

    fn answer(&mut self) -> Answer {
        let mut answer = Answer {
            snapshot: self.plan.candidates[self.target].snapshot.clone(),
            covered: Vec::with_capacity(self.covered),
            missing: Vec::with_capacity(self.slots.len() - self.covered),
            parts: Vec::with_capacity(self.covered),
            sends: self.sends,
        };
        for slot in &mut self.slots {
            let shard = slot.shard.as_u32();
            let reason = reason(slot);
            if let Cover::Covered(body) = &mut slot.cover {
                answer.covered.push(shard);
                answer.parts.push(Part { shard, body: body.take() });
            } else {
                answer.missing.push(Missing { shard, reason });
            }
        }
        answer
    }

    fn cause(&self) -> Cause {
        if self.may_have_run() && self.plan.non_idempotent {
            let live = self.slots.iter().any(|slot| slot.live > 0);
            return if live { Cause::Deadline } else { Cause::LostReply };
        }
        match self.commonest_reason() {
            Some(Reason::NoReplica) => Cause::NoSnapshot,
            Some(Reason::Leaving | Reason::Unreachable) => Cause::Unreachable,
            Some(Reason::Refused) => Cause::Refused,
            Some(Reason::BadReply) => Cause::LostReply,
            Some(Reason::Budget) => Cause::Overload,
            Some(Reason::Deadline) | None => Cause::Deadline,
        }
    }

    /// The reason of most shards, which speaks for a query that covers none.
    fn commonest_reason(&self) -> Option<Reason> {
        let mut reasons: Vec<Reason> = self.slots.iter().map(reason).collect();
        reasons.sort_unstable();
        let runs = reasons.chunk_by(|left, right| left == right);
        runs.max_by_key(|run| run.len()).map(|run| run[0])
    }

    /// Whether any attempt ever made may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.tries.values().any(|entry| entry.phase.may_have_run())
    }

    /// Refuses the query.
    pub(crate) fn refuse(&mut self, cause: Cause, context: &mut Context<'_>) {
        let outcome = if self.may_have_run() { Outcome::Unknown } else { Outcome::NotRun };
        self.cancel_all(context);
        self.seal();
        let retry_after = match cause {
            Cause::Invalid | Cause::Cancelled => None,
            _ if self.plan.non_idempotent && outcome == Outcome::Unknown => None,
            _ => Some(self.retry_after.unwrap_or(Self::RETRY_AFTER)),
        };
        let refusal = Refusal { outcome, cause, retry_after, sends: self.sends };
        context.actions.push(Action::Finish(Response::Refusal(refusal)));
    }

    /// When a caller is told to come back if no upstream said when.
    pub const RETRY_AFTER: Duration = Duration::from_millis(100);
}

/// Why a slot is not covered if the query ends now.
fn reason(slot: &Slot) -> Reason {
    match slot.cover {
        Cover::Missing(reason) => reason,
        _ if slot.live > 0 => Reason::Deadline,
        _ => slot.reason.unwrap_or(Reason::Deadline),
    }
}
