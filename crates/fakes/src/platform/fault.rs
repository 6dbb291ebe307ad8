//! The faults of the platform. Invariant: the default is a healthy platform.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How an outage looks from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Each call is answered with 503 at once.
    Refuse,
    /// Each connection is closed without an answer.
    Close,
    /// No call is ever answered.
    Hang,
}

/// How an answer gets lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// It never comes.
    #[default]
    Hang,
    /// The connection is closed in its place.
    Close,
}

/// Writes whose effect comes after the caller has given up.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// How many of the next writes.
    pub writes: u32,
    /// When the effect comes, in milliseconds after the call.
    pub ms: u64,
}

// The log line of a fault prints this type as `Late`.
impl fmt::Debug for Delay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Late").field("writes", &self.writes).field("ms", &self.ms).finish()
    }
}

/// What is wrong with the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// No call works.
    pub outage: Option<Outage>,
    /// Each call waits so long first, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next writes take effect, but their answers are lost.
    pub effect_without_answer: u32,
    /// The next writes take effect late, and their answers are lost.
    pub late_effect: Option<Delay>,
    /// How the two faults above lose the answer.
    pub lose_by: Loss,
    /// Reads show the state of so many revisions ago.
    pub stale_by: u64,
    /// Watches never return, also those that wait already.
    pub silent_watch: bool,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// Effect and answer.
    Whole,
    /// Effect now, no answer.
    Unanswered,
    /// Effect after so many milliseconds, no answer.
    Delayed(u64),
}

impl Fault {
    /// Decides the next write and counts it off.
    pub(super) fn next_write(&mut self) -> Fate {
        if self.effect_without_answer > 0 {
            self.effect_without_answer -= 1;
            return Fate::Unanswered;
        }
        match &mut self.late_effect {
            Some(late) if late.writes > 0 => {
                late.writes -= 1;
                Fate::Delayed(late.ms)
            }
            _ => Fate::Whole,
        }
    }
}
