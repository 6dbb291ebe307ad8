//! Lets requests through their service's gate.
//!
//! Invariant: every request that was let in is told to the gate when it ends,
//! also when it is dropped; one that waits hears of its refusal at once.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use admit::controller::Controller;
use admit::request::Action;
use admit::request::Decision;
use admit::request::Feedback;
use admit::request::Id;
use admit::request::Rejection;
use admit::request::Request;
use base::time::Time;
use entry::clock::Clock;

type Told = Result<(), Rejection>;

struct Inner {
    gate: Controller,
    waiting: HashMap<Id, oneshot::Sender<Told>>,
}

impl Inner {
    fn tell(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            let (id, told) = match action {
                Action::Run(id) => (id, Ok(())),
                Action::Reject(id, refusal) => (id, Err(refusal)),
            };
            let Some(waiter) = self.waiting.remove(&id) else { continue };
            if waiter.send(told).is_err() && told.is_ok() {
                // The waiter left between the decision and now.
                let more = self.gate.cancel(now, id);
                self.tell(now, more);
            }
        }
    }
}

/// The gate of one service, with those that wait at it.
pub struct Door {
    inner: Mutex<Inner>,
    clock: Clock,
}

impl Door {
    /// An idle gate.
    pub fn new(gate: Controller, clock: Clock) -> Self {
        Self { inner: Mutex::new(Inner { gate, waiting: HashMap::new() }), clock }
    }

    /// Runs `work` on the gate under its lock.
    pub fn with<T>(&self, work: impl FnOnce(&mut Controller) -> T) -> T {
        work(&mut self.inner.lock().gate)
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// The final answer to a request that does not run.
    pub async fn enter(self: &Arc<Self>, ask: Request) -> Result<Pass, Rejection> {
        let (mut pass, mut told) = {
            let mut inner = self.inner.lock();
            let now = self.clock.now();
            let mut actions = Vec::new();
            let verdict = inner.gate.admit(now, ask, &mut actions);
            inner.tell(now, actions);
            match verdict {
                Decision::Admitted(id) => return Ok(Pass::new(self, id)),
                Decision::Rejected(refusal) => return Err(refusal),
                Decision::Queued(id) => {
                    let (sender, told) = oneshot::channel();
                    inner.waiting.insert(id, sender);
                    (Pass::new(self, id), told)
                }
            }
        };
        loop {
            let expiry = self.clock.instant(self.inner.lock().gate.next_expiry());
            tokio::select! {
                biased;
                told = &mut told => {
                    return match told {
                        Ok(Ok(())) => Ok(pass),
                        Ok(Err(refusal)) => {
                            pass.outcome = None;
                            Err(refusal)
                        }
                        // The gate always tells; a door is not dropped while used.
                        Err(_) => Ok(pass),
                    };
                }
                () = tokio::time::sleep_until(expiry) => self.expire(),
            }
        }
    }

    fn expire(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.gate.expire(now);
        inner.tell(now, actions);
    }

    fn leave(&self, id: Id, outcome: Feedback) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = match inner.waiting.remove(&id) {
            Some(_) => inner.gate.cancel(now, id),
            None => inner.gate.release(now, id, outcome),
        };
        inner.tell(now, actions);
    }
}

/// A place of a request at its gate; given back when dropped.
pub struct Pass {
    door: Arc<Door>,
    id: Id,
    /// How the request ended; `None` if the gate knows of its end.
    outcome: Option<Feedback>,
}

impl Pass {
    fn new(door: &Arc<Door>, id: Id) -> Self {
        Self { door: Arc::clone(door), id, outcome: Some(Feedback::Other) }
    }

    /// Tells the gate how the request ended.
    pub fn done(mut self, outcome: Feedback) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome {
            self.door.leave(self.id, outcome);
        }
    }
}
