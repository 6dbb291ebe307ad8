//! The response to a query.
//!
//! Invariant: a refusal reports "not run" only if none of the attempts may have
//! run.

use std::time::Duration;

use crate::context::Context;
use crate::event::Action;
use crate::event::Answer;
use crate::event::Refusal;
use crate::event::Response;
use crate::machine::Machine;
use crate::state::Coverage;
use crate::state::ShardState;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::MissingShard;
use wire::caller::Reason;
use wire::caller::ShardResult;

impl Machine {
    /// Finishes the query with an answer, or with a refusal if no requested shard
    /// is covered.
    pub(crate) fn finish(&mut self, context: &mut Context<'_>) {
        if self.covered == 0 && !self.shard_states.is_empty() {
            let cause = self.cause();
            return self.refuse(cause, context);
        }
        // The reasons of missing shards depend on which attempts are live, so the
        // answer is built before the attempts are cancelled.
        let answer = self.answer();
        self.cancel_all(context);
        self.mark_finished();
        context.actions.push(Action::Finish(Response::Answer(answer)));
    }

    fn answer(&mut self) -> Answer {
        let mut answer = Answer {
            snapshot: self.plan.candidates[self.candidate].snapshot.clone(),
            covered: Vec::with_capacity(self.covered),
            missing: Vec::with_capacity(self.shard_states.len() - self.covered),
            parts: Vec::with_capacity(self.covered),
            sends: self.sends,
        };
        for state in &mut self.shard_states {
            let shard = state.shard.as_u32();
            let reason = missing_reason(state);
            if let Coverage::Covered(body) = &mut state.coverage {
                answer.covered.push(shard);
                answer.parts.push(ShardResult { shard, body: body.take() });
            } else {
                answer.missing.push(MissingShard { shard, reason });
            }
        }
        answer
    }

    fn cause(&self) -> Cause {
        if self.may_have_run() && self.plan.non_idempotent {
            let live = self.shard_states.iter().any(|state| state.live > 0);
            return if live { Cause::Deadline } else { Cause::LostReply };
        }
        match self.most_common_reason() {
            Some(Reason::NoReplica) => Cause::NoSnapshot,
            Some(Reason::Leaving | Reason::Unreachable) => Cause::Unreachable,
            Some(Reason::Refused) => Cause::Refused,
            Some(Reason::BadReply) => Cause::LostReply,
            Some(Reason::Budget) => Cause::Overload,
            Some(Reason::Deadline) | None => Cause::Deadline,
        }
    }

    /// The most common reason among the shards; the refusal's cause is derived
    /// from it.
    fn most_common_reason(&self) -> Option<Reason> {
        let mut reasons: Vec<Reason> = self.shard_states.iter().map(missing_reason).collect();
        reasons.sort_unstable();
        let runs = reasons.chunk_by(|left, right| left == right);
        runs.max_by_key(|run| run.len()).map(|run| run[0])
    }

    /// Whether any of the attempts, including those before a restart, may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempt_states.values().any(|entry| entry.phase.may_have_run())
    }

    /// Finishes the query with a refusal.
    pub(crate) fn refuse(&mut self, cause: Cause, context: &mut Context<'_>) {
        let outcome = if self.may_have_run() { Execution::Unknown } else { Execution::NotRun };
        self.cancel_all(context);
        self.mark_finished();
        let retry_after = match cause {
            Cause::Invalid | Cause::Cancelled => None,
            _ if self.plan.non_idempotent && outcome == Execution::Unknown => None,
            _ => Some(self.retry_after.unwrap_or(Self::DEFAULT_RETRY_AFTER)),
        };
        let refusal = Refusal { outcome, cause, retry_after, sends: self.sends };
        context.actions.push(Action::Finish(Response::Refusal(refusal)));
    }

    /// The retry-after of a refusal if no upstream sent one.
    pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
}

/// The reason to report for a shard that is not covered if the query ends now.
fn missing_reason(state: &ShardState) -> Reason {
    match state.coverage {
        Coverage::Missing(reason) => reason,
        _ if state.live > 0 => Reason::Deadline,
        _ => state.reason.unwrap_or(Reason::Deadline),
    }
}
