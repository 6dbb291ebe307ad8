//! Faults of the platform. Invariant: the default is a healthy platform.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Answers each call with status 503 at once.
    Refuse,
    /// Closes each connection without an answer.
    Close,
    /// Never answers a call.
    Hang,
}

/// How an answer is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// It is never sent; the connection stays open.
    #[default]
    Hang,
    /// The connection is closed instead.
    Close,
}

/// Delays the effect of writes, so that it may come after the caller's timeout.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// The number of the next writes that are delayed.
    pub writes: u32,
    /// The delay from the call to its effect, in milliseconds.
    pub ms: u64,
}

// The log line of a fault prints this type as `Late`.
impl fmt::Debug for Delay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Late").field("writes", &self.writes).field("ms", &self.ms).finish()
    }
}

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Makes every call fail.
    pub outage: Option<Outage>,
    /// The delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// The number of the next writes that take effect, but whose answers are lost.
    pub effect_without_answer: u32,
    /// Makes the next writes take effect late and loses their answers.
    pub late_effect: Option<Delay>,
    /// How the two faults above lose answers.
    pub lose_by: Loss,
    /// The number of revisions by which reads are out of date.
    pub stale_by: u64,
    /// Watches never return, including those that are pending.
    pub silent_watch: bool,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// It takes effect and is answered.
    Normal,
    /// It takes effect now, without an answer.
    Unanswered,
    /// It takes effect after this delay in milliseconds, without an answer.
    Delayed(u64),
}

impl Fault {
    /// Returns what happens to the next write and counts the write.
    pub(super) fn next_write(&mut self) -> WriteOutcome {
        if self.effect_without_answer > 0 {
            self.effect_without_answer -= 1;
            return WriteOutcome::Unanswered;
        }
        match &mut self.late_effect {
            Some(delay) if delay.writes > 0 => {
                delay.writes -= 1;
                WriteOutcome::Delayed(delay.ms)
            }
            _ => WriteOutcome::Normal,
        }
    }
}
