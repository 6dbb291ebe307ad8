//! Carries out what the state machine of one query asks for.
//!
//! Invariant: an attempt is handed to its connection only while the machine
//! still wants it and, for a non-idempotent request, the ticket table lets it
//! be sent; both are asked at that moment. Dropping the driver cancels all.

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
use crate::request::permit::Phase;
use crate::request::permit::Right;
use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use entry::clock::Clock;
use pool::client::Pool;
use pool::error::Error;
use pool::error::Unsent;
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

/// What the driver needs from the rest of the node.
pub trait Host: Send + Sync {
    /// Where a server listens; `None` if it is no longer in any map.
    fn target(&self, server: Server) -> Option<Target>;

    /// An attempt was put into the line for a connection of `server`.
    fn began(&self, now: Time, server: Server);

    /// An attempt that began has ended; called once for each.
    fn ended(&self, now: Time, attempt: &Ended<'_>);
}

/// An attempt that has ended.
pub struct Ended<'a> {
    /// Whom it asked.
    pub server: Server,
    /// What it asked.
    pub request: &'a Request,
    /// Since it was handed to its connection; `None` if it never was.
    pub waited: Option<Duration>,
    /// What came of it; `None` if it was given up.
    pub result: Option<&'a Result<Reply, Error>>,
}

/// A right to send that outlives the machine's wish, such as a ticket.
pub trait Claim: Send + Sync {
    /// Takes the right; `false` if it has lapsed.
    fn take(&self, now: Time) -> bool;

    /// Gives it back: what was sent certainly did not run.
    fn give_back(&self);
}

/// One query, ready to run.
pub struct Job {
    /// Its state machine.
    pub machine: Machine,
    /// The service's name.
    pub service: Arc<str>,
    /// How urgent it is.
    pub priority: Priority,
    /// What upstreams are sent.
    pub body: Bytes,
    /// Chooses replicas.
    pub chooser: Box<dyn Chooser>,
    /// Bounds the extra load.
    pub budget: Box<dyn Budget>,
    /// The ticket of a non-idempotent request.
    pub claim: Option<Arc<dyn Claim>>,
    /// Records each event, advice and action.
    pub recorder: Option<Recorder>,
}

/// What remains of a query that ended.
pub struct Done {
    /// The last word.
    pub last: Response,
    /// The recorded trace.
    pub trace: Option<Trace>,
}

type Attempting = Pin<Box<dyn Future<Output = (Attempt, Server, Result<Reply, Error>)> + Send>>;

/// A running query.
struct Driver {
    core: Arc<Mutex<Core>>,
    /// Told when something was added to what is pending.
    asked: Arc<Notify>,
    pool: Pool,
    host: Arc<dyn Host>,
    clock: Clock,
    service: Arc<str>,
    priority: Priority,
    body: Bytes,
    claim: Option<Arc<dyn Claim>>,
    live: FuturesUnordered<Abortable<Attempting>>,
    handles: SecondaryMap<Attempt, Option<AbortHandle>>,
    wake: Time,
}

/// Runs a query to its end.
pub async fn run(job: Job, pool: Pool, host: Arc<dyn Host>, clock: Clock) -> Done {
    let core = Core {
        machine: job.machine,
        chooser: job.chooser,
        budget: job.budget,
        recorder: job.recorder,
        pending: Vec::new(),
    };
    let mut driver = Driver {
        core: Arc::new(Mutex::new(core)),
        asked: Arc::new(Notify::new()),
        pool,
        host,
        clock,
        service: job.service,
        priority: job.priority,
        body: job.body,
        claim: job.claim,
        live: FuturesUnordered::new(),
        handles: SecondaryMap::new(),
        wake: Time::NEVER,
    };
    driver.run().await
}

impl Driver {
    async fn run(&mut self) -> Done {
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
            if let Some(last) = self.carry_out(&mut actions) {
                let trace = self.core.lock().trace();
                return Done { last, trace };
            }
            event = self.next().await;
        }
    }

    /// Carries out the actions; gives the last word if it is among them.
    fn carry_out(&mut self, actions: &mut Vec<Action>) -> Option<Response> {
        for action in actions.drain(..) {
            match action {
                Action::Send { attempt, server, shard, snapshot, deadline } => {
                    self.send(attempt, server, shard, snapshot, deadline);
                }
                Action::Cancel { attempt } | Action::CloseConnection { attempt } => {
                    if let Some(handle) = self.handles[attempt].take() {
                        handle.abort();
                    }
                }
                Action::Wake { at } => self.wake = at,
                Action::Finish(last) => return Some(last),
            }
        }
        None
    }

    /// The next event; `None` if only something pending is to be carried out.
    async fn next(&mut self) -> Option<Event> {
        loop {
            tokio::select! {
                biased;
                () = self.asked.notified() => return None,
                Some(done) = self.live.next() => {
                    // An aborted attempt has been told to the machine already.
                    if let Ok((attempt, _, result)) = done {
                        return Some(self.event(attempt, result));
                    }
                }
                () = tokio::time::sleep_until(self.clock.instant(self.wake)) => {
                    self.wake = Time::NEVER;
                    return Some(Event::Timer);
                }
            }
        }
    }

    fn event(&mut self, attempt: Attempt, result: Result<Reply, Error>) -> Event {
        self.handles[attempt] = None;
        match result {
            Ok(reply) => Event::Replied { attempt, reply: read(reply) },
            Err(error) => Event::Ended { attempt, end: end(&error) },
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
            deadline: deadline.since(now),
            priority: self.priority,
            non_idempotent: self.claim.is_some(),
            body: self.body.clone(),
        };
        let right = Right {
            core: Arc::clone(&self.core),
            asked: Arc::clone(&self.asked),
            host: Arc::clone(&self.host),
            clock: self.clock,
            claim: self.claim.clone(),
            attempt,
            server,
            request,
            phase: Mutex::new(Phase::Waiting),
        };
        self.host.began(now, server);
        let pool = self.pool.clone();
        let target = self.host.target(server);
        let attempting: Attempting = Box::pin(async move {
            let result = match target {
                Some(target) => pool.send_with_permit(&target, &right.request, &right).await,
                None => Err(Error::NotSent(Unsent::Retired)),
            };
            right.end(Some(&result));
            (attempt, server, result)
        });
        let (handle, registration) = AbortHandle::new_pair();
        self.handles[attempt] = Some(handle);
        self.live.push(Abortable::new(attempting, registration));
    }
}

/// The reply as the machine takes it; a body that is no JSON is not complete.
fn read(reply: Reply) -> event::Reply {
    let body = serde_json::from_slice(&reply.body);
    event::Reply {
        echo: reply.echo,
        snapshot: reply.snapshot,
        shard: reply.shard.map(Shard::from_u32),
        complete: reply.complete && body.is_ok(),
        body: body.unwrap_or_default(),
    }
}

fn end(error: &Error) -> Completion {
    match error {
        Error::NotSent(why) => Completion::NotSent(reason(why)),
        Error::Refused { retry_after, report } => {
            Completion::Refused { retry_after: *retry_after, state: report.state }
        }
        Error::Unknown(_) => Completion::Unknown,
    }
}

fn reason(why: &Unsent) -> Reason {
    match why {
        Unsent::Denied | Unsent::Retired => Reason::Leaving,
        Unsent::Deadline => Reason::Deadline,
        Unsent::NoShare
        | Unsent::QueueFull
        | Unsent::ConnectFailed
        | Unsent::ConnectionClosed
        | Unsent::Malformed => Reason::Unreachable,
    }
}
