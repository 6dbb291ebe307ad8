//! Executes the actions of one query's state machine.
//!
//! Invariant: an attempt is written to its connection only if, at that moment, the
//! state machine still permits it and, for a non-idempotent request, the ticket
//! table does too. Dropping the driver cancels all attempts.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranelift_entity::SecondaryMap;
use futures::StreamExt;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::request::core::Core;
use crate::request::permit::AttemptPermit;
use crate::request::permit::Phase;
use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use entry::clock::Clock;
use pool::client::Pool;
use pool::error::Error;
use pool::error::Unsent;
use pool::pause;
use pool::reply::Reply;
use pool::request::Request;
use pool::request::Target;
use query::context::Budget;
use query::context::Chooser;
use query::event;
use query::event::Action;
use query::event::Completion;
use query::event::Event;
use query::event::Response;
use query::machine::Machine;
use query::record::Recorder;
use query::trace::Trace;
use wire::caller::Priority;
use wire::caller::Reason;
use wire::id::Snapshot;

/// The table of upstream servers, as the driver uses it.
pub trait ServerTable: Send + Sync {
    /// Returns the address and limits of a server; `None` if no map contains it any
    /// more.
    fn target(&self, server: Server) -> Option<Target>;

    /// An attempt was queued for a connection to `server`.
    fn attempt_started(&self, now: Time, server: Server);

    /// A started attempt has ended; called exactly once for each.
    fn attempt_ended(&self, now: Time, attempt: &EndedAttempt<'_>);
}

/// An attempt that has ended.
pub struct EndedAttempt<'a> {
    /// The server that it was for.
    pub server: Server,
    /// The request that it carried.
    pub request: &'a Request,
    /// The time since it was sent; `None` if it was not sent.
    pub elapsed: Option<Duration>,
    /// Its result; `None` if it was cancelled.
    pub result: Option<&'a Result<Reply, Error>>,
}

/// Permission to send a non-idempotent request, which is checked in addition to
/// the state machine's; the ticket table grants it.
pub trait Claim: Send + Sync {
    /// Marks the request as sent; `false` if it may no longer be sent.
    fn try_acquire(&self, now: Time) -> bool;

    /// Reverts `try_acquire`: the request that was sent certainly did not run.
    fn release(&self);
}

/// A query that is ready to run.
pub struct Job {
    /// Its state machine.
    pub machine: Machine,
    /// The service's name.
    pub service: Arc<str>,
    /// Its priority.
    pub priority: Priority,
    /// The body of each upstream request.
    pub body: Bytes,
    /// Selects replicas.
    pub chooser: Box<dyn Chooser>,
    /// Limits retries and hedges.
    pub budget: Box<dyn Budget>,
    /// The permission to send a non-idempotent request.
    pub claim: Option<Arc<dyn Claim>>,
    /// Records each event, decision and action.
    pub recorder: Option<Recorder>,
}

/// The outcome of a query.
pub struct Finished {
    /// The response to the caller.
    pub response: Response,
    /// The recorded trace.
    pub trace: Option<Trace>,
}

type AttemptFuture = Pin<Box<dyn Future<Output = (Attempt, Server, Result<Reply, Error>)> + Send>>;

/// A running query.
struct Driver {
    core: Arc<Mutex<Core>>,
    /// Notified when actions were added to `core.pending`.
    actions_added: Arc<Notify>,
    pool: Pool,
    servers: Arc<dyn ServerTable>,
    clock: Clock,
    service: Arc<str>,
    priority: Priority,
    body: Bytes,
    claim: Option<Arc<dyn Claim>>,
    in_flight: FuturesUnordered<Abortable<AttemptFuture>>,
    abort_handles: SecondaryMap<Attempt, Option<AbortHandle>>,
    wake_at: Time,
}

/// Runs a query until it has a response.
pub async fn run(job: Job, pool: Pool, servers: Arc<dyn ServerTable>, clock: Clock) -> Finished {
    let core = Core {
        machine: job.machine,
        chooser: job.chooser,
        budget: job.budget,
        recorder: job.recorder,
        pending: Vec::new(),
    };
    let mut driver = Driver {
        core: Arc::new(Mutex::new(core)),
        actions_added: Arc::new(Notify::new()),
        pool,
        servers,
        clock,
        service: job.service,
        priority: job.priority,
        body: job.body,
        claim: job.claim,
        in_flight: FuturesUnordered::new(),
        abort_handles: SecondaryMap::new(),
        wake_at: Time::NEVER,
    };
    driver.run().await
}

impl Driver {
    async fn run(&mut self) -> Finished {
        let mut actions = Vec::new();
        let mut event = Some(Event::Start);
        loop {
            {
                let mut core = self.core.lock();
                if let Some(event) = event {
                    core.handle(self.clock.now(), event, &mut actions);
                }
                actions.append(&mut core.pending);
            }
            if let Some(response) = self.execute(&mut actions) {
                let trace = self.core.lock().trace();
                return Finished { response, trace };
            }
            event = self.next_event().await;
        }
    }

    /// Executes the actions; returns the response if one of them has it.
    fn execute(&mut self, actions: &mut Vec<Action>) -> Option<Response> {
        for action in actions.drain(..) {
            match action {
                Action::Send { attempt, server, shard, snapshot, deadline } => {
                    self.send(attempt, server, shard, snapshot, deadline);
                }
                Action::Cancel { attempt } | Action::CloseConnection { attempt } => {
                    if let Some(handle) = self.abort_handles[attempt].take() {
                        handle.abort();
                    }
                }
                Action::Wake { at } => self.wake_at = at,
                Action::Finish(response) => return Some(response),
            }
        }
        None
    }

    /// Waits for the next event; `None` if there are only pending actions to execute.
    async fn next_event(&mut self) -> Option<Event> {
        loop {
            tokio::select! {
                biased;
                () = self.actions_added.notified() => return None,
                Some(ended) = self.in_flight.next() => {
                    // An attempt is aborted only at the request of the state machine, so
                    // there is nothing to report.
                    if let Ok((attempt, _, result)) = ended {
                        return Some(self.attempt_event(attempt, result));
                    }
                }
                () = tokio::time::sleep_until(self.clock.instant(self.wake_at)) => {
                    if let Some(event) = self.event_during_pause().await {
                        return Some(event);
                    }
                    self.wake_at = Time::NEVER;
                    return Some(Event::Timer);
                }
            }
        }
    }

    /// The end of an attempt whose reply arrived while this process was paused past
    /// [`Self::wake_at`].
    async fn event_during_pause(&mut self) -> Option<Event> {
        if !pause::was_paused(self.clock.instant(self.wake_at)) {
            return None;
        }
        // An attempt's own timeout takes up to as long; it ends first.
        let read = tokio::time::timeout(pause::READ_TIME * 2, self.in_flight.next());
        let (attempt, _, result) = read.await.ok()??.ok()?;
        Some(self.attempt_event(attempt, result))
    }

    fn attempt_event(&mut self, attempt: Attempt, result: Result<Reply, Error>) -> Event {
        self.abort_handles[attempt] = None;
        match result {
            Ok(reply) => Event::Replied { attempt, reply: parse_reply(reply) },
            Err(error) => Event::Ended { attempt, completion: completion(&error) },
        }
    }

    fn send(
        &mut self,
        attempt: Attempt,
        server: Server,
        shard: Shard,
        snapshot: Snapshot,
        deadline: Time,
    ) {
        let now = self.clock.now();
        let request = Request {
            attempt: self.core.lock().machine.id(attempt),
            service: Arc::clone(&self.service),
            snapshot,
            shard: shard.as_u32(),
            timeout: deadline.since(now),
            priority: self.priority,
            non_idempotent: self.claim.is_some(),
            body: self.body.clone(),
        };
        let permit = AttemptPermit {
            core: Arc::clone(&self.core),
            actions_added: Arc::clone(&self.actions_added),
            servers: Arc::clone(&self.servers),
            clock: self.clock,
            claim: self.claim.clone(),
            attempt,
            server,
            request,
            phase: Mutex::new(Phase::Waiting),
        };
        self.servers.attempt_started(now, server);
        let pool = self.pool.clone();
        let target = self.servers.target(server);
        let future: AttemptFuture = Box::pin(async move {
            let result = match target {
                Some(target) => pool.send_with_permit(&target, &permit.request, &permit).await,
                None => Err(Error::NotSent(Unsent::Retired)),
            };
            permit.finish(Some(&result));
            (attempt, server, result)
        });
        let (handle, registration) = AbortHandle::new_pair();
        self.abort_handles[attempt] = Some(handle);
        self.in_flight.push(Abortable::new(future, registration));
    }
}

/// Converts a reply for the state machine; a body that is not JSON counts as
/// incomplete.
fn parse_reply(reply: Reply) -> event::Reply {
    let body = serde_json::from_slice(&reply.body);
    event::Reply {
        attempt_id: reply.attempt_id,
        snapshot: reply.snapshot,
        shard: reply.shard.map(Shard::from_u32),
        complete: reply.complete && body.is_ok(),
        body: body.unwrap_or_default(),
    }
}

fn completion(error: &Error) -> Completion {
    match error {
        Error::NotSent(cause) => Completion::NotSent(unsent_reason(cause)),
        Error::Refused { retry_after, report } => {
            Completion::Refused { retry_after: *retry_after, state: report.state }
        }
        Error::Unknown(_) => Completion::Unknown,
    }
}

fn unsent_reason(cause: &Unsent) -> Reason {
    match cause {
        Unsent::Denied | Unsent::Retired => Reason::Leaving,
        Unsent::Deadline => Reason::Deadline,
        Unsent::NoShare
        | Unsent::QueueFull
        | Unsent::ConnectFailed
        | Unsent::ConnectionClosed
        | Unsent::Malformed => Reason::Unreachable,
    }
}
