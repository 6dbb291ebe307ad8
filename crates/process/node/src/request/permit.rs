//! The right of one attempt to be sent.
//!
//! Invariant: it is asked at the moment of sending, is given at most once, and the
//! host is told of the attempt's end exactly once, also when it is dropped.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::request::core::Core;
use crate::request::driver::Claim;
use crate::request::driver::Ended;
use crate::request::driver::Host;
use base::entity::Attempt;
use base::entity::Server;
use base::time::Time;
use entry::clock::Clock;
use pool::client::Permit;
use pool::error::Error;
use pool::reply::Reply;
use pool::request::Request;
use query::event::Event;

/// How far one attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for its connection.
    Waiting,
    /// It was handed over, at this time.
    Sent(Time),
    /// Its end was told to the host.
    Ended,
}

/// The right of one attempt to be sent; tells the host how it ends.
pub(crate) struct Right {
    pub(crate) core: Arc<Mutex<Core>>,
    pub(crate) asked: Arc<Notify>,
    pub(crate) host: Arc<dyn Host>,
    pub(crate) clock: Clock,
    pub(crate) claim: Option<Arc<dyn Claim>>,
    pub(crate) attempt: Attempt,
    pub(crate) server: Server,
    pub(crate) request: Request,
    pub(crate) phase: Mutex<Phase>,
}

impl Right {
    /// Tells the host how the attempt ended; only the first call counts.
    pub(crate) fn end(&self, result: Option<&Result<Reply, Error>>) {
        let was = std::mem::replace(&mut *self.phase.lock(), Phase::Ended);
        let now = self.clock.now();
        let waited = match was {
            Phase::Ended => return,
            Phase::Waiting => None,
            Phase::Sent(at) => Some(now.since(at)),
        };
        let ended = Ended { server: self.server, request: &self.request, waited, result };
        self.host.ended(now, &ended);
        let harmless = matches!(result, Some(Err(Error::NotSent(_) | Error::Refused { .. })));
        if let (true, true, Some(claim)) = (waited.is_some(), harmless, &self.claim) {
            claim.give_back();
        }
    }
}

impl Permit for Right {
    fn try_acquire(&self) -> bool {
        let mut phase = self.phase.lock();
        if *phase != Phase::Waiting {
            // The library handed it back: the machine decides on another attempt.
            return false;
        }
        let now = self.clock.now();
        let mut core = self.core.lock();
        if !core.machine.may_send(self.attempt) {
            return false;
        }
        if self.claim.as_ref().is_some_and(|claim| !claim.take(now)) {
            return false;
        }
        let mut actions = Vec::new();
        core.handle(now, Event::Sent { attempt: self.attempt }, &mut actions);
        if !actions.is_empty() {
            core.pending.append(&mut actions);
            self.asked.notify_one();
        }
        if core.machine.is_finished() {
            // The deadline passed at this very moment: the last word is said, so
            // nothing may go out any more.
            return false;
        }
        *phase = Phase::Sent(now);
        true
    }
}

impl Drop for Right {
    fn drop(&mut self) {
        self.end(None);
    }
}
