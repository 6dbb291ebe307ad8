//! A conditional write that is retried if its answer is lost, and its outcome.
//!
//! Invariant: a reported outcome stays true whatever takes effect later.
//!
//! Every attempt expects the same revision, and the platform assigns each revision
//! once, so at most one attempt takes effect. After an attempt whose answer was
//! lost, the outcome is:
//!
//! - accepted, once any answer contains an object with this write's operation id.
//! - conflict, once any answer contains an object that directly replaced the
//!   expected revision: this write did not replace it and no longer can. An object
//!   that replaced a later revision doesn't prove this, since this write may have
//!   taken effect before it.
//! - unknown otherwise, at the deadline, since an attempt may still arrive.
//!
//! The outcome is "not written" only if every attempt was unsent or clearly refused.

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

/// A conditional write of one object.
#[derive(Clone, Debug)]
pub struct Request {
    /// The key of the object.
    pub key: Key,
    /// The state that the object must have before the write.
    pub expected: Precondition,
    /// The new content; `None` deletes the object.
    pub spec: Option<Spec>,
    /// The id of this write, unique over all operators and nodes.
    pub operation: Arc<str>,
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The write took effect at this revision.
    Accepted(u64),
    /// The write did not and will not take effect, since the object changed; carries
    /// the conflicting object if the platform returned it.
    Conflict(Option<Box<Versioned>>),
    /// The write did not and will not take effect for another reason.
    NotWritten(Error),
    /// The write may have taken effect or may still do so; carries the object as last
    /// read.
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
            Self::Unknown(_) => f.write_str("unknown: it may have taken effect or may still do so"),
        }
    }
}

/// What the driver of the state machine must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the write with this precondition.
    Put(Precondition),
    /// Read the object.
    Get,
    /// Call [`Write::wake`] at this time.
    Wait(Time),
    /// Return this outcome; the write is finished.
    Done(Outcome),
}

/// The state of one write.
#[derive(Clone, Debug)]
pub struct Write {
    request: Request,
    expected: Precondition,
    deadline: Time,
    backoff: Backoff,
    /// Whether an attempt may have taken effect or may still do so.
    may_take_effect: bool,
    /// Whether the object must be read before the next attempt.
    must_read: bool,
    last_seen: Option<Box<Versioned>>,
    last_error: Error,
}

impl Write {
    /// A write that ends at `deadline` at the latest; `seed` sets the jitter of its
    /// retries.
    pub fn new(request: Request, deadline: Time, seed: u64) -> Self {
        const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
        const MAX_BACKOFF: Duration = Duration::from_millis(500);
        Self {
            expected: request.expected,
            request,
            deadline,
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, seed),
            may_take_effect: false,
            must_read: false,
            last_seen: None,
            last_error: Error::NotSent("no attempt was made".to_owned()),
        }
    }

    /// Returns the first action.
    pub fn start(&self) -> Action {
        Action::Put(self.expected)
    }

    /// Handles the result of an [`Action::Put`].
    pub fn on_put_result(&mut self, result: Result<Versioned, Error>, now: Time) -> Action {
        match result {
            Ok(stored) => Action::Done(Outcome::Accepted(stored.object.revision)),
            Err(Error::Conflict(found)) => self.on_conflict(found, now),
            Err(error) if error.had_no_effect() => {
                self.must_read = self.may_take_effect;
                self.retry(error, now)
            }
            Err(error) => {
                self.may_take_effect = true;
                self.must_read = true;
                self.retry(error, now)
            }
        }
    }

    /// Handles the result of an [`Action::Get`].
    pub fn on_get_result(&mut self, result: Result<Option<Versioned>, Error>, now: Time) -> Action {
        match result {
            Ok(Some(stored)) => match self.infer_outcome(Box::new(stored)) {
                Some(outcome) => Action::Done(outcome),
                // The object read is no newer than the expected revision: the attempt
                // has not arrived or the read is stale. Repeating the attempt is safe.
                None => self.retry_put(now),
            },
            Ok(None) => self.retry_put(now),
            Err(error) => self.retry(error, now),
        }
    }

    /// Continues at the time of an [`Action::Wait`].
    pub fn wake(&mut self, now: Time) -> Action {
        if now >= self.deadline {
            return Action::Done(self.give_up());
        }
        if self.must_read {
            return Action::Get;
        }
        Action::Put(self.expected)
    }

    fn retry_put(&mut self, now: Time) -> Action {
        self.must_read = false;
        let error = self.last_error.clone();
        self.retry(error, now)
    }

    fn retry(&mut self, error: Error, now: Time) -> Action {
        let is_permanent = matches!(error, Error::Rejected(_)) && !self.may_take_effect;
        self.last_error = error;
        let next = now + self.backoff.next_delay();
        if is_permanent || next >= self.deadline {
            return Action::Done(self.give_up());
        }
        Action::Wait(next)
    }

    /// Handles an attempt that the platform refused because its precondition failed.
    fn on_conflict(&mut self, found: Option<Box<Versioned>>, now: Time) -> Action {
        let Some(found) = found else {
            if !self.may_take_effect {
                return Action::Done(Outcome::Conflict(None));
            }
            self.must_read = true;
            return self.retry(Error::Conflict(None), now);
        };
        if self.may_replace_tombstone(&found) {
            // A tombstone counts as absent; a creation replaces its revision.
            self.expected = Precondition::Revision(found.object.revision);
            return self.retry_put(now);
        }
        match self.infer_outcome(found) {
            Some(outcome) => Action::Done(outcome),
            None if !self.may_take_effect => Action::Done(Outcome::Conflict(self.last_seen.take())),
            None => {
                self.must_read = true;
                self.retry(Error::Conflict(None), now)
            }
        }
    }

    /// Whether a creation may replace this tombstone. The precondition may only change
    /// while no attempt can have taken effect; otherwise attempts with different
    /// preconditions could both take effect.
    fn may_replace_tombstone(&self, found: &Versioned) -> bool {
        let tombstone = found.object.spec.is_none() && found.operation != self.request.operation;
        tombstone
            && !self.may_take_effect
            && self.request.expected == Precondition::Absent
            && found.object.revision > self.expected.revision()
    }

    /// The outcome that follows from a copy of the object, which may be stale.
    fn infer_outcome(&mut self, found: Box<Versioned>) -> Option<Outcome> {
        if found.operation == self.request.operation {
            return Some(Outcome::Accepted(found.object.revision));
        }
        let replaced_expected = found.after == Some(self.expected.revision());
        let newer = found.object.revision > self.expected.revision();
        self.last_seen = Some(found);
        if !newer {
            return None;
        }
        if replaced_expected || !self.may_take_effect {
            return Some(Outcome::Conflict(self.last_seen.take()));
        }
        Some(Outcome::Unknown(self.last_seen.take()))
    }

    fn give_up(&mut self) -> Outcome {
        if self.may_take_effect {
            return Outcome::Unknown(self.last_seen.take());
        }
        Outcome::NotWritten(self.last_error.clone())
    }
}

impl fmt::Display for Write {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let note = if self.may_take_effect { ", may have taken effect" } else { "" };
        write!(f, "{} on {} of {}{note}", self.request.operation, self.expected, self.request.key)
    }
}

/// Executes `request` on `store` within `timeout`; `seed` sets the jitter of the
/// retries.
pub async fn run(store: &dyn Store, request: Request, timeout: Duration, seed: u64) -> Outcome {
    let start = tokio::time::Instant::now();
    let now = || Time::ZERO + start.elapsed();
    let mut write = Write::new(request.clone(), Time::ZERO + timeout, seed);
    let mut action = write.start();
    loop {
        action = match action {
            Action::Put(expected) => {
                let spec = request.spec.as_ref();
                let result = store.put(&request.key, expected, spec, &request.operation).await;
                write.on_put_result(result, now())
            }
            Action::Get => {
                let result = store.get(&request.key).await;
                write.on_get_result(result, now())
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
