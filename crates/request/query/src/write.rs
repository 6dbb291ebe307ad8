//! The text form of a trace.
//!
//! Invariant: [`crate::read`] parses what this module writes, except for actions,
//! which are only used in comparisons.

use std::fmt;
use std::time::Duration;

use crate::event::Action;
use crate::event::Answer;
use crate::event::Completion;
use crate::event::Event;
use crate::event::Refusal;
use crate::event::Reply;
use crate::event::Response;
use crate::plan::Plan;
use crate::trace::Decision;
use crate::trace::Entry;
use crate::trace::Line;
use crate::trace::Trace;
use base::entity::Shard;
use base::time::Time;
use conf::object::Preference;
use wire::caller::MissingShard;

/// Stands for an absent value.
pub(crate) const NONE: &str = "none";

pub(crate) fn as_time(duration: Duration) -> Time {
    Time::ZERO + duration
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.plan)?;
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "; request: {}-{:x}", self.node, self.request)?;
        for candidate in &self.candidates {
            let shards = Ranges(candidate.shards.iter().copied().map(Shard::as_u32).collect());
            writeln!(f, "; target: {} {shards}", candidate.snapshot)?;
        }
        writeln!(f, "; deadline: {}", self.deadline)?;
        match self.preference {
            Preference::Tail => writeln!(f, "; value: tail {}", self.soft_deadline)?,
            Preference::Coverage => writeln!(f, "; value: coverage")?,
        }
        if self.named_shards {
            writeln!(f, "; named_shards: true")?;
        }
        if self.min_version > 0 {
            writeln!(f, "; min_version: {}", self.min_version)?;
        }
        if self.non_idempotent {
            writeln!(f, "; non_idempotent: true")?;
        }
        let settings = &self.settings;
        writeln!(f, "; hedge: {}", settings.hedge)?;
        writeln!(f, "; attempts: {}", settings.max_attempts)?;
        writeln!(f, "; pause: {}", as_time(settings.pause))?;
        writeln!(f, "; replica_wait: {}", as_time(settings.replica_wait))?;
        writeln!(f, "; restart_left: {}", as_time(settings.restart_left))?;
        writeln!(f, "; way: {}", as_time(settings.network_time))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.at)?;
        match &self.entry {
            Entry::Event(event) => write!(f, "> {event}"),
            Entry::Decision(decision) => write!(f, "= {decision}"),
            Entry::Action(action) => write!(f, "< {action}"),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start => f.write_str("start"),
            Self::Sent { attempt } => write!(f, "sent {attempt}"),
            Self::Replied { attempt, reply } => write!(f, "reply {attempt} {reply}"),
            Self::Ended { attempt, completion } => write!(f, "ended {attempt} {completion}"),
            Self::Timer => f.write_str("timer"),
            Self::CallerGone => f.write_str("caller_gone"),
        }
    }
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.complete { "whole" } else { "cut" })?;
        match self.attempt_id {
            Some(attempt_id) => write!(f, " {attempt_id}")?,
            None => write!(f, " {NONE}")?,
        }
        match &self.snapshot {
            Some(snapshot) => write!(f, " {snapshot}")?,
            None => write!(f, " {NONE}")?,
        }
        match self.shard {
            Some(shard) => write!(f, " {shard}"),
            None => write!(f, " {NONE}"),
        }
    }
}

impl fmt::Display for Completion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not_sent {reason}"),
            Self::Refused { retry_after, state } => {
                f.write_str("refused")?;
                if let Some(after) = retry_after {
                    write!(f, " after {}", as_time(*after))?;
                }
                state.map_or(Ok(()), |state| write!(f, " {state}"))
            }
            Self::Unknown => f.write_str("unknown"),
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = |allowed: &bool| if *allowed { "allowed" } else { "denied" };
        match self {
            Self::Choose { shard, choice: Ok(server) } => write!(f, "choose {shard} {server}"),
            Self::Choose { shard, choice: Err(reason) } => {
                write!(f, "choose {shard} {NONE} {reason}")
            }
            Self::Mismatched { snapshot, shard } => write!(f, "lacks {snapshot} {shard}"),
            Self::Delay { server, delay } => write!(f, "delay {server} {}", as_time(*delay)),
            Self::Hedge(allowed) => write!(f, "hedge {}", word(allowed)),
            Self::Retry(allowed) => write!(f, "retry {}", word(allowed)),
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send { attempt, server, shard, snapshot, deadline } => {
                write!(f, "send {attempt} {server} {shard} {snapshot} until {deadline}")
            }
            Self::Cancel { attempt } => write!(f, "cancel {attempt}"),
            Self::CloseConnection { attempt } => write!(f, "discard {attempt}"),
            Self::Wake { at } => write!(f, "wake {at}"),
            Self::Finish(Response::Answer(answer)) => write!(f, "{answer}"),
            Self::Finish(Response::Refusal(refusal)) => write!(f, "{refusal}"),
        }
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "answer {} covered {}", self.snapshot, Ranges(self.covered.clone()))?;
        for MissingShard { shard, reason } in &self.missing {
            write!(f, " missing {shard} {reason}")?;
        }
        write!(f, " sends {}", self.sends)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "refusal {:?} {:?}", self.outcome, self.cause)?;
        if let Some(after) = self.retry_after {
            write!(f, " after {}", as_time(after))?;
        }
        write!(f, " sends {}", self.sends)
    }
}

/// Numbers in ascending order, with consecutive ones shown as a range: `0-3,7`.
pub(crate) struct Ranges(pub(crate) Vec<u32>);

impl fmt::Display for Ranges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str(NONE);
        }
        let runs = self.0.chunk_by(|left, right| left + 1 == *right);
        for (index, run) in runs.enumerate() {
            let comma = if index > 0 { "," } else { "" };
            match run {
                [first, .., last] => write!(f, "{comma}{first}-{last}")?,
                _ => write!(f, "{comma}{}", run[0])?,
            }
        }
        Ok(())
    }
}
