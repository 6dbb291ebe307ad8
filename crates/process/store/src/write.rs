//! One write whose answer may be lost, and what may be told about it.
//!
//! Invariant: what is told stays true whatever takes effect later.
//!
//! Every try carries the same expected revision, and the platform gives each
//! revision once, so at most one try ever takes effect. After a try whose answer
//! was lost:
//!
//! - "accepted" is told once any answer shows our operation id: it happened.
//! - "conflict" is told once any answer shows an object that replaced the very
//!   revision we expected: ours can no longer, and did not, take its place. An
//!   object that replaced a later revision doesn't prove that, since ours may
//!   have come between.
//! - "unknown" is told at the deadline otherwise, since a try may still arrive.
//!
//! "Not written" is told only if no try was ever sent without a clear refusal.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::api::Error;
use crate::api::Precondition;
use crate::api::Store;
use crate::api::Versioned;
use crate::budget::Backoff;
use base::time::Time;
use conf::object::Key;
use conf::object::Spec;

/// What is to be written.
#[derive(Clone, Debug)]
pub struct Request {
    /// The object.
    pub key: Key,
    /// What it must be before.
    pub expected: Precondition,
    /// What it says after; `None` deletes it.
    pub spec: Option<Spec>,
    /// Names this write; unique over all operators and nodes.
    pub operation: Arc<str>,
}

/// What is told about a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It took effect at this revision.
    Accepted(u64),
    /// It did not and will not take effect; the object that won, if shown.
    Conflict(Option<Box<Versioned>>),
    /// It did not and will not take effect for another reason.
    NotWritten(Error),
    /// It may have taken effect or may do so yet; the object as last read.
    Unknown(Option<Box<Versioned>>),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(revision) => write!(f, "accepted at revision {revision}"),
            Self::Conflict(Some(winner)) => {
                write!(
                    f,
                    "conflict: {} is at revision {}",
                    winner.object.key, winner.object.revision
                )
            }
            Self::Conflict(None) => f.write_str("conflict"),
            Self::NotWritten(error) => write!(f, "not written: {error}"),
            Self::Unknown(_) => f.write_str("unknown: it may have taken effect or may do so yet"),
        }
    }
}

/// What the shell is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write with this condition.
    Put(Precondition),
    /// Read the object.
    Get,
    /// Call [`Write::wake`] at this time.
    Wait(Time),
    /// Tell the outcome.
    Done(Outcome),
}

/// The state of one write.
#[derive(Clone, Debug)]
pub struct Write {
    request: Request,
    expected: Precondition,
    deadline: Time,
    backoff: Backoff,
    /// Whether a try may have taken effect or may do so yet.
    exposed: bool,
    /// Whether a read is due before the next try.
    read_next: bool,
    seen: Option<Box<Versioned>>,
    last_error: Error,
}

impl Write {
    /// A write that is given up at `deadline`; `seed` sets its jitter.
    pub fn new(request: Request, deadline: Time, seed: u64) -> Self {
        const FIRST_WAIT: Duration = Duration::from_millis(20);
        const LONGEST_WAIT: Duration = Duration::from_millis(500);
        Self {
            expected: request.expected,
            request,
            deadline,
            backoff: Backoff::new(FIRST_WAIT, LONGEST_WAIT, seed),
            exposed: false,
            read_next: false,
            seen: None,
            last_error: Error::NotSent("not tried".to_owned()),
        }
    }

    /// The first thing to do.
    pub fn start(&self) -> Action {
        Action::Put(self.expected)
    }

    /// The answer of an [`Action::Put`].
    pub fn put_answered(&mut self, answer: Result<Versioned, Error>, now: Time) -> Action {
        match answer {
            Ok(stored) => Action::Done(Outcome::Accepted(stored.object.revision)),
            Err(Error::Conflict(found)) => self.refused(found, now),
            Err(error) if error.had_no_effect() => {
                self.read_next = self.exposed;
                self.retry(error, now)
            }
            Err(error) => {
                self.exposed = true;
                self.read_next = true;
                self.retry(error, now)
            }
        }
    }

    /// The answer of an [`Action::Get`].
    pub fn get_answered(&mut self, answer: Result<Option<Versioned>, Error>, now: Time) -> Action {
        match answer {
            Ok(Some(stored)) => match self.judge(Box::new(stored)) {
                Some(outcome) => Action::Done(outcome),
                // What was read is no newer than what we replace: the try has
                // not arrived, or the read is stale. The same try again is safe.
                None => self.retry_put(now),
            },
            Ok(None) => self.retry_put(now),
            Err(error) => self.retry(error, now),
        }
    }

    /// The time of an [`Action::Wait`] has come.
    pub fn wake(&mut self, now: Time) -> Action {
        if now >= self.deadline {
            return Action::Done(self.give_up());
        }
        if self.read_next {
            return Action::Get;
        }
        Action::Put(self.expected)
    }

    fn retry_put(&mut self, now: Time) -> Action {
        self.read_next = false;
        let error = self.last_error.clone();
        self.retry(error, now)
    }

    fn retry(&mut self, error: Error, now: Time) -> Action {
        let hopeless = matches!(error, Error::Rejected(_)) && !self.exposed;
        self.last_error = error;
        let next = now + self.backoff.wait();
        if hopeless || next >= self.deadline {
            return Action::Done(self.give_up());
        }
        Action::Wait(next)
    }

    /// The platform compared revisions and refused this try.
    fn refused(&mut self, found: Option<Box<Versioned>>, now: Time) -> Action {
        let Some(found) = found else {
            if !self.exposed {
                return Action::Done(Outcome::Conflict(None));
            }
            self.read_next = true;
            return self.retry(Error::Conflict(None), now);
        };
        if self.wants_absent(&found) {
            // A tombstone is absence; its revision is what a creation replaces.
            self.expected = Precondition::Revision(found.object.revision);
            return self.retry_put(now);
        }
        match self.judge(found) {
            Some(outcome) => Action::Done(outcome),
            None if !self.exposed => Action::Done(Outcome::Conflict(self.seen.take())),
            None => {
                self.read_next = true;
                self.retry(Error::Conflict(None), now)
            }
        }
    }

    /// Only before the first exposed try may the condition be changed: two
    /// conditions could both take effect.
    fn wants_absent(&self, found: &Versioned) -> bool {
        let tombstone = found.object.spec.is_none() && found.operation != self.request.operation;
        tombstone
            && !self.exposed
            && self.request.expected == Precondition::Absent
            && found.object.revision > self.expected.revision()
    }

    /// What a copy of the object, however old, proves.
    fn judge(&mut self, found: Box<Versioned>) -> Option<Outcome> {
        if found.operation == self.request.operation {
            return Some(Outcome::Accepted(found.object.revision));
        }
        let replaced_ours = found.after == Some(self.expected.revision());
        let newer = found.object.revision > self.expected.revision();
        self.seen = Some(found);
        if !newer {
            return None;
        }
        if replaced_ours || !self.exposed {
            return Some(Outcome::Conflict(self.seen.take()));
        }
        Some(Outcome::Unknown(self.seen.take()))
    }

    fn give_up(&mut self) -> Outcome {
        if self.exposed {
            return Outcome::Unknown(self.seen.take());
        }
        Outcome::NotWritten(self.last_error.clone())
    }
}

impl fmt::Display for Write {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exposed = if self.exposed { ", may have taken effect" } else { "" };
        write!(
            f,
            "{} on {} of {}{exposed}",
            self.request.operation, self.expected, self.request.key
        )
    }
}

/// Carries out `request` on `store` within `limit`; `seed` sets the jitter.
pub async fn run(store: &dyn Store, request: Request, limit: Duration, seed: u64) -> Outcome {
    let start = tokio::time::Instant::now();
    let now = || Time::ZERO + start.elapsed();
    let mut write = Write::new(request.clone(), Time::ZERO + limit, seed);
    let mut action = write.start();
    loop {
        action = match action {
            Action::Put(expected) => {
                let spec = request.spec.as_ref();
                let answer = store.put(&request.key, expected, spec, &request.operation).await;
                write.put_answered(answer, now())
            }
            Action::Get => {
                let answer = store.get(&request.key).await;
                write.get_answered(answer, now())
            }
            Action::Wait(until) => {
                tokio::time::sleep_until(start + until.since(Time::ZERO)).await;
                write.wake(now())
            }
            Action::Done(outcome) => {
                log::info!(target: "store", "write {}: {outcome}", request.operation);
                return outcome;
            }
        };
    }
}
