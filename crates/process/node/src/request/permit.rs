//! The permission to send one attempt.
//!
//! Invariant: the permission is checked at the moment of sending and granted at
//! most once, and the attempt's end is reported to the server table exactly once,
//! even if the permit is dropped.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::request::core::Core;
use crate::request::driver::Claim;
use crate::request::driver::EndedAttempt;
use crate::request::driver::ServerTable;
use base::entity::Attempt;
use base::entity::Server;
use base::time::Time;
use entry::clock::Clock;
use pool::client::Permit;
use pool::error::Error;
use pool::reply::Reply;
use pool::request::Request;
use query::event::Event;

/// The progress of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for a connection.
    Waiting,
    /// Sent at this time.
    Sent(Time),
    /// Its end was reported to the server table.
    Ended,
}

/// The permission to send one attempt; reports the attempt's end to the server
/// table.
pub(crate) struct AttemptPermit {
    pub(crate) core: Arc<Mutex<Core>>,
    pub(crate) actions_added: Arc<Notify>,
    pub(crate) servers: Arc<dyn ServerTable>,
    pub(crate) clock: Clock,
    pub(crate) claim: Option<Arc<dyn Claim>>,
    pub(crate) attempt: Attempt,
    pub(crate) server: Server,
    pub(crate) request: Request,
    pub(crate) phase: Mutex<Phase>,
}

impl AttemptPermit {
    /// Reports how the attempt ended; later calls have no effect.
    pub(crate) fn finish(&self, result: Option<&Result<Reply, Error>>) {
        let previous = std::mem::replace(&mut *self.phase.lock(), Phase::Ended);
        let now = self.clock.now();
        let elapsed = match previous {
            Phase::Ended => return,
            Phase::Waiting => None,
            Phase::Sent(at) => Some(now.since(at)),
        };
        let ended = EndedAttempt { server: self.server, request: &self.request, elapsed, result };
        self.servers.attempt_ended(now, &ended);
        let did_not_run = matches!(result, Some(Err(Error::NotSent(_) | Error::Refused { .. })));
        if let (true, true, Some(claim)) = (elapsed.is_some(), did_not_run, &self.claim) {
            claim.release();
        }
    }
}

impl Permit for AttemptPermit {
    fn try_acquire(&self) -> bool {
        let mut phase = self.phase.lock();
        if *phase != Phase::Waiting {
            // The pool calls this again if hyper returns the request unsent; only the
            // state machine decides whether there is another attempt.
            return false;
        }
        let now = self.clock.now();
        let mut core = self.core.lock();
        if !core.machine.may_send(self.attempt) {
            return false;
        }
        if self.claim.as_ref().is_some_and(|claim| !claim.try_acquire(now)) {
            return false;
        }
        let mut actions = Vec::new();
        core.handle(now, Event::Sent { attempt: self.attempt }, &mut actions);
        if !actions.is_empty() {
            core.pending.append(&mut actions);
            self.actions_added.notify_one();
        }
        if core.machine.is_finished() {
            // The deadline has passed by now and the caller gets its response, so
            // nothing more may be sent.
            return false;
        }
        *phase = Phase::Sent(now);
        true
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        self.finish(None);
    }
}
