//! Limits the requests of a service that run at the same time.
//!
//! Invariant: the end of every admitted request is reported to the admission
//! controller, even if the request is dropped; a waiting request is notified of its
//! rejection at once.

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

type Admission = Result<(), Rejection>;

struct Inner {
    controller: Controller,
    waiting: HashMap<Id, oneshot::Sender<Admission>>,
}

impl Inner {
    fn notify(&mut self, now: Time, actions: Vec<Action>) {
        for action in actions {
            let (id, admission) = match action {
                Action::Run(id) => (id, Ok(())),
                Action::Reject(id, rejection) => (id, Err(rejection)),
            };
            let Some(waiter) = self.waiting.remove(&id) else { continue };
            if waiter.send(admission).is_err() && admission.is_ok() {
                // The waiter was dropped, but its permit has not been released yet.
                let more = self.controller.cancel(now, id);
                self.notify(now, more);
            }
        }
    }
}

/// The admission controller of one service, with its waiting requests.
pub struct Limiter {
    inner: Mutex<Inner>,
    clock: Clock,
}

impl Limiter {
    /// Creates a limiter without requests.
    pub fn new(controller: Controller, clock: Clock) -> Self {
        Self { inner: Mutex::new(Inner { controller, waiting: HashMap::new() }), clock }
    }

    /// Runs `work` on the controller under its lock.
    pub fn with<T>(&self, work: impl FnOnce(&mut Controller) -> T) -> T {
        work(&mut self.inner.lock().controller)
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// The request is rejected.
    pub async fn acquire(self: &Arc<Self>, request: Request) -> Result<AdmissionPermit, Rejection> {
        let (mut permit, mut admission) = {
            let mut inner = self.inner.lock();
            let now = self.clock.now();
            let mut actions = Vec::new();
            let decision = inner.controller.admit(now, request, &mut actions);
            inner.notify(now, actions);
            match decision {
                Decision::Admitted(id) => return Ok(AdmissionPermit::new(self, id)),
                Decision::Rejected(rejection) => return Err(rejection),
                Decision::Queued(id) => {
                    let (sender, admission) = oneshot::channel();
                    inner.waiting.insert(id, sender);
                    (AdmissionPermit::new(self, id), admission)
                }
            }
        };
        loop {
            let expiry = self.clock.instant(self.inner.lock().controller.next_expiry());
            tokio::select! {
                biased;
                admission = &mut admission => {
                    return match admission {
                        Ok(Ok(())) => Ok(permit),
                        Ok(Err(rejection)) => {
                            permit.feedback = None;
                            Err(rejection)
                        }
                        // Unreachable: the controller decides on every queued request, and
                        // a limiter is not dropped while it is in use.
                        Err(_) => Ok(permit),
                    };
                }
                () = tokio::time::sleep_until(expiry) => self.expire(),
            }
        }
    }

    fn expire(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.controller.expire(now);
        inner.notify(now, actions);
    }

    fn release(&self, id: Id, feedback: Feedback) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = match inner.waiting.remove(&id) {
            Some(_) => inner.controller.cancel(now, id),
            None => inner.controller.release(now, id, feedback),
        };
        inner.notify(now, actions);
    }
}

/// An admitted or queued request; released when dropped.
pub struct AdmissionPermit {
    limiter: Arc<Limiter>,
    id: Id,
    /// How the request ended; `None` if the controller has rejected it.
    feedback: Option<Feedback>,
}

impl AdmissionPermit {
    fn new(limiter: &Arc<Limiter>, id: Id) -> Self {
        Self { limiter: Arc::clone(limiter), id, feedback: Some(Feedback::Other) }
    }

    /// Reports to the controller how the request ended.
    pub fn finish(mut self, feedback: Feedback) {
        self.feedback = Some(feedback);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if let Some(feedback) = self.feedback {
            self.limiter.release(self.id, feedback);
        }
    }
}
