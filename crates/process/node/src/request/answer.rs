//! Answers one query from its arrival to its last word.
//!
//! Invariant: each query gets exactly one last word, as soon as it is known.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::process::experiments;
use crate::process::state::Process;
use crate::request::driver;
use crate::request::driver::Claim;
use crate::request::driver::Job;
use crate::request::plan;
use crate::request::plan::Frame;
use crate::request::ticket::Run;
use crate::request::ticket::Tickets;
use admit::request::Feedback as Load;
use admit::request::Request as AdmissionRequest;
use base::hash;
use base::time::Time;
use conf::object::Policy;
use conf::object::Service;
use once::response::Response as Stored;
use once::table::Disposition;
use peer::mesh::ForwardError;
use peer::protocol;
use query::context::Budget;
use query::event::Response;
use query::machine::Machine;
use query::plan::Candidate;
use query::record::Recorder;
use trial::tally::Sample;
use wire::caller::Answer;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::Query;
use wire::caller::Reason;
use wire::caller::Refusal;
use wire::id::Incarnation;
use wire::id::Ticket;

/// The seed of the hash that binds a ticket to its request.
const FINGERPRINT_SEED: u64 = 0x7469_636b_6574;

/// The last word on a query.
pub type Last = Result<Answer, Refusal>;

/// One query on its way.
pub struct Request {
    process: Arc<Process>,
    /// Its number within this incarnation.
    number: u64,
    /// Its id, as told to the caller.
    id: Arc<str>,
    query: Query,
}

impl Request {
    /// A query that has just arrived.
    pub fn new(process: Arc<Process>, query: Query) -> Self {
        let number = process.next_request();
        let id = Arc::from(format!("{}-{number:x}", process.incarnation));
        Self { process, number, id, query }
    }

    /// Answers a query that came from a caller.
    pub async fn answer(self) -> Last {
        let begin = self.process.clock.now();
        let process = Arc::clone(&self.process);
        let service = Arc::clone(&self.query.service);
        let last = self.run(true).await;
        match &last {
            Ok(answer) => {
                let latency = process.clock.now().since(begin);
                process.metrics.answered(&service, latency, answer);
            }
            Err(refusal) => process.metrics.refused(&service, refusal),
        }
        last
    }

    /// Answers a query that another node forwarded, since its ticket is here.
    pub async fn answer_forwarded(self) -> Last {
        self.run(false).await
    }

    async fn run(self, forward: bool) -> Last {
        match self.query.ticket.clone() {
            Some(text) => match text.parse() {
                Ok(ticket) => self.run_ticket(ticket, forward).await,
                Err(error) => Err(self.refuse(Cause::BadTicket, &error.to_string())),
            },
            None if self.query.non_idempotent => Err(self.refuse(
                Cause::NoTicket,
                "a non-idempotent request needs a ticket: GET /v1/entries?tickets=1",
            )),
            None => {
                let deadline = self.deadline()?;
                self.admit_and_run(deadline, None).await
            }
        }
    }

    fn deadline(&self) -> Result<Time, Refusal> {
        let catalog = self.process.catalog();
        match catalog.service(&self.query.service) {
            Some(service) => Ok(plan::deadline(self.process.clock.now(), &self.query, service)),
            None if !self.process.is_fresh() => {
                Err(self.refuse(Cause::NotReady, "the configuration is not here yet"))
            }
            None => Err(self.refuse(Cause::NoService, "there is no such service")),
        }
    }

    /// When a ticketed request must be answered. What stands against it, such as
    /// an unknown service, is told only after its ticket began here: a first copy
    /// may have run elsewhere or before, so nothing else may say "not run".
    fn ticket_deadline(&self) -> Time {
        let now = self.process.clock.now();
        let catalog = self.process.catalog();
        match catalog.service(&self.query.service) {
            Some(service) => plan::deadline(now, &self.query, service),
            None => now + plan::MOST_DEADLINE,
        }
    }

    /// Runs a ticketed request here, or has it run where its ticket is.
    async fn run_ticket(self, ticket: Ticket, forward: bool) -> Last {
        let deadline = self.ticket_deadline();
        let tickets = Arc::clone(&self.process.tickets);
        match tickets.begin(ticket, self.fingerprint(), deadline).await {
            Disposition::Run => self.run_begun(ticket, deadline).await,
            Disposition::Running => {
                Err(self.unknown(Cause::Deadline, "the request still runs; ask again"))
            }
            Disposition::Done(last) => unpack(last),
            Disposition::NotOwner(minter) if forward => self.forward(minter).await,
            Disposition::NotOwner(_) => {
                Err(self.unknown(Cause::MinterGone, "the node that minted the ticket is gone"))
            }
            Disposition::OwnerStopped(outcome) => {
                let message = "the node that minted the ticket has stopped";
                Err(self.refusal(outcome, Cause::MinterGone, message))
            }
            Disposition::Mismatch => {
                Err(self.refuse(Cause::BadTicket, "the ticket belongs to another request"))
            }
            Disposition::Expired(outcome) => {
                Err(self.refusal(outcome, Cause::BadTicket, "the ticket has expired"))
            }
        }
    }

    /// Runs to its end whether or not the caller waits for it.
    async fn run_begun(self, ticket: Ticket, deadline: Time) -> Last {
        let gone = self.unknown(Cause::LostReply, "the run broke off");
        let process = Arc::clone(&self.process);
        let tickets = Arc::clone(&process.tickets);
        let run = process.requests.spawn(async move {
            let last = self.run_claim(&tickets, ticket, deadline).await;
            let last = match last {
                Ok(answer) => Stored::Answer(Arc::new(answer)),
                Err(refusal) => Stored::Refusal(refusal),
            };
            unpack(tickets.finish(ticket, last))
        });
        run.await.unwrap_or(Err(gone))
    }

    /// Runs a ticketed request, unless it may have waited unseen past its deadline
    /// while this process stood still: then it never runs, which its ticket's
    /// table keeps as its final outcome.
    async fn run_claim(&self, tickets: &Arc<Tickets>, ticket: Ticket, deadline: Time) -> Last {
        if self.process.pulse.is_suspect(self.process.clock.now()) {
            let message = "the node stood still while the request may have waited";
            return Err(self.refuse(Cause::Deadline, message));
        }
        let claim = Arc::new(Run::new(Arc::clone(tickets), ticket));
        self.admit_and_run(deadline, Some(claim)).await
    }

    async fn forward(self, minter: Incarnation) -> Last {
        let Some(mesh) = self.process.mesh() else {
            return Err(self.unknown(Cause::MinterGone, "this node has not joined yet"));
        };
        match mesh.forward(minter, self.query.clone()).await {
            Ok(protocol::Response::Answer(answer)) => Ok(answer),
            Ok(protocol::Response::Refusal(refusal)) => Err(refusal),
            Err(ForwardError::Local | ForwardError::NoOwner) => {
                Err(self.unknown(Cause::MinterGone, "the node that minted the ticket is gone"))
            }
            Err(error @ (ForwardError::NotSent | ForwardError::Lost)) => {
                Err(self.unknown(Cause::MinterGone, &format!("{error}")))
            }
        }
    }

    /// Runs the request under the arm that it is assigned to, if there is one.
    async fn admit_and_run(&self, deadline: Time, claim: Option<Arc<dyn Claim>>) -> Last {
        let process = &self.process;
        let begin = process.clock.now();
        let catalog = process.catalog();
        let Some(service) = catalog.service(&self.query.service) else {
            return Err(self.refuse(Cause::NoService, "there is no such service"));
        };
        let (name, caller) = (&self.query.service, &self.query.caller);
        let assigned = experiments::assign(&catalog, name, caller, &self.id);
        let policy = match &assigned {
            Some(assigned) => Arc::clone(&assigned.policy),
            None => experiments::governing(&catalog, name, service),
        };
        let rules = plan::policy(&catalog, &policy);
        let targets = process.upstreams.with(|table| plan::targets(table, &self.query));
        let asked = targets.first().map_or(0, |target| target.shards.len());
        let under = Under { service, policy: &policy, rules: &rules, targets, deadline };
        let mut last = self.run_under(under, claim).await;
        if let Some(assigned) = assigned {
            let took = process.clock.now().since(begin);
            process.tallies.count(&assigned, &sample(&last, took, asked));
            if let Ok(answer) = &mut last {
                answer.arm = Some(assigned.arm);
            }
        }
        last
    }

    async fn run_under(&self, under: Under<'_>, claim: Option<Arc<dyn Claim>>) -> Last {
        let process = &self.process;
        let now = process.clock.now();
        let cost = under.targets.first().map_or(1, |target| target.shards.len().max(1));
        let door = process.door(&self.query.service);
        let ask = AdmissionRequest {
            caller: Arc::clone(&self.query.caller),
            priority: self.query.priority,
            deadline: under.deadline,
            cost: u32::try_from(cost).unwrap_or(u32::MAX),
        };
        let pass = door.enter(ask).await.map_err(|refusal| self.not_admitted(refusal))?;
        let frame = Frame {
            node: process.incarnation,
            request: self.number,
            now,
            deadline: under.deadline,
            service: under.service,
            policy: under.rules,
        };
        let plan = plan::plan(&frame, &self.query, under.targets);
        let budget = process.budget(under.policy, under.rules);
        budget.set_overloaded(door.with(|gate| gate.overloaded(now)));
        let job = Job {
            machine: Machine::new(plan),
            service: Arc::clone(&self.query.service),
            priority: self.query.priority,
            body: Bytes::from(self.query.body.to_string()),
            chooser: Box::new(process.chooser(&self.query.service, under.rules)),
            budget: Box::new(budget) as Box<dyn Budget>,
            claim,
            recorder: process.traces.is_on().then(Recorder::new),
        };
        let host = Arc::clone(&process.upstreams);
        let done = driver::run(job, process.pool.clone(), host, process.clock).await;
        if let Some(trace) = done.trace {
            process.traces.keep(Arc::clone(&self.id), trace);
        }
        pass.done(load(&done.last));
        self.last(done.last)
    }

    fn last(&self, last: Response) -> Last {
        match last {
            Response::Answer(answer) => Ok(Answer {
                request: Arc::clone(&self.id),
                service: Arc::clone(&self.query.service),
                snapshot: answer.snapshot,
                covered: answer.covered,
                missing: answer.missing,
                parts: answer.parts,
                sends: answer.sends,
                arm: None,
            }),
            Response::Refusal(refusal) => Err(Refusal {
                request: Arc::clone(&self.id),
                outcome: refusal.outcome,
                cause: refusal.cause,
                message: words(refusal.cause).to_owned(),
                retry_after_ms: refusal
                    .retry_after
                    .map(|after| u32::try_from(after.as_millis()).unwrap_or(u32::MAX)),
            }),
        }
    }

    fn fingerprint(&self) -> u64 {
        let query = &self.query;
        let shards = format!("{:?}", query.shards);
        let body = query.body.to_string();
        hash::stable(FINGERPRINT_SEED, &[&query.service, &query.caller, &shards, &body])
    }

    fn not_admitted(&self, refusal: admit::request::Rejection) -> Refusal {
        let after = u32::try_from(refusal.retry_after.as_millis()).unwrap_or(u32::MAX);
        let mut told = self.refuse(refusal.cause, words(refusal.cause));
        told.retry_after_ms = Some(after.max(1));
        told
    }

    fn refuse(&self, cause: Cause, message: &str) -> Refusal {
        self.refusal(Execution::NotRun, cause, message)
    }

    fn unknown(&self, cause: Cause, message: &str) -> Refusal {
        self.refusal(Execution::Unknown, cause, message)
    }

    fn refusal(&self, outcome: Execution, cause: Cause, message: &str) -> Refusal {
        let request = Arc::clone(&self.id);
        Refusal { request, outcome, cause, message: message.to_owned(), retry_after_ms: None }
    }
}

/// What a request runs under, all from one catalog.
struct Under<'a> {
    service: &'a Service,
    /// The policy's name.
    policy: &'a Arc<str>,
    /// What the policy says.
    rules: &'a Policy,
    targets: Vec<Candidate>,
    deadline: Time,
}

/// What an experiment counts of a request.
fn sample(last: &Last, took: Duration, asked: usize) -> Sample {
    let latency_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let asked = u32::try_from(asked).unwrap_or(u32::MAX);
    match last {
        Ok(answer) => Sample {
            latency_us,
            asked: (answer.covered.len() + answer.missing.len()) as u32,
            covered: answer.covered.len() as u32,
            sends: answer.sends,
            refused: false,
        },
        Err(_) => Sample { latency_us, asked, covered: 0, sends: 0, refused: true },
    }
}

fn unpack(last: Stored) -> Last {
    match last {
        Stored::Answer(answer) => Ok(Arc::unwrap_or_clone(answer)),
        Stored::Refusal(refusal) => Err(refusal),
    }
}

/// What a query's end tells about load.
fn load(last: &Response) -> Load {
    let Response::Answer(answer) = last else {
        let Response::Refusal(refusal) = last else { return Load::Other };
        return match refusal.cause {
            Cause::Refused | Cause::Overload => Load::Overloaded,
            Cause::Deadline => Load::Late,
            _ => Load::Other,
        };
    };
    let has = |reason| answer.missing.iter().any(|missing| missing.reason == reason);
    if has(Reason::Refused) || has(Reason::Budget) {
        return Load::Overloaded;
    }
    if has(Reason::Deadline) {
        return Load::Late;
    }
    // A shard that is lost tells nothing about load, nor how long requests take.
    if answer.missing.is_empty() { Load::Done } else { Load::Other }
}

fn words(cause: Cause) -> &'static str {
    match cause {
        Cause::Invalid => "the request can't be answered as it is",
        Cause::NoService => "there is no such service",
        Cause::NoTicket => "a non-idempotent request needs a ticket",
        Cause::BadTicket => "the ticket can't be used",
        Cause::Overload => "too much work is waiting",
        Cause::Deadline => "the deadline can't be met",
        Cause::NoSnapshot => "no index version that may answer is held",
        Cause::Unreachable => "no upstream could be reached",
        Cause::Refused => "the upstreams refused the request",
        Cause::MinterGone => "the node that minted the ticket is gone",
        Cause::LostReply => "the upstream's reply was lost",
        Cause::Cancelled => "the caller left",
        Cause::NotReady => "the node is not ready",
    }
}
