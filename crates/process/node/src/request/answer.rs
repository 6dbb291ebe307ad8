//! Handles one query from its arrival to its response.
//!
//! Invariant: each query gets exactly one response, as soon as it is determined.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::process::experiments;
use crate::process::state::Process;
use crate::request::driver;
use crate::request::driver::Claim;
use crate::request::driver::Job;
use crate::request::plan;
use crate::request::plan::RequestContext;
use crate::request::ticket::TicketClaim;
use crate::request::ticket::Tickets;
use admit::request::Feedback;
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

/// The seed of the hash that ties a ticket to the contents of its request.
const FINGERPRINT_SEED: u64 = 0x7469_636b_6574;

/// The response to a query.
pub type QueryResult = Result<Answer, Refusal>;

/// A query that is being handled.
pub struct Request {
    process: Arc<Process>,
    /// The request's number within this incarnation.
    number: u64,
    /// The request id that the caller receives.
    id: Arc<str>,
    query: Query,
}

impl Request {
    /// Assigns a request id to a query that has just arrived.
    pub fn new(process: Arc<Process>, query: Query) -> Self {
        let number = process.next_request();
        let id = Arc::from(format!("{}-{number:x}", process.incarnation));
        Self { process, number, id, query }
    }

    /// Answers a query that came from a caller.
    pub async fn answer(self) -> QueryResult {
        let begin = self.process.clock.now();
        let process = Arc::clone(&self.process);
        let service = Arc::clone(&self.query.service);
        let result = self.run(true).await;
        match &result {
            Ok(answer) => {
                let latency = process.clock.now().since(begin);
                process.metrics.record_answer(&service, latency, answer);
            }
            Err(refusal) => process.metrics.record_refusal(&service, refusal),
        }
        result
    }

    /// Answers a query that another node forwarded because this node has its ticket.
    pub async fn answer_forwarded(self) -> QueryResult {
        self.run(false).await
    }

    async fn run(self, forward: bool) -> QueryResult {
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
            None if !self.process.is_synced() => {
                Err(self.refuse(Cause::NotReady, "the configuration is not here yet"))
            }
            None => Err(self.refuse(Cause::NoService, "there is no such service")),
        }
    }

    /// Returns the deadline of a ticketed request. Errors such as an unknown service
    /// are reported only after its ticket has begun on this node: an earlier copy may
    /// have run, here or on another node, so only the ticket table can establish that
    /// the request did not run.
    fn ticket_deadline(&self) -> Time {
        let now = self.process.clock.now();
        let catalog = self.process.catalog();
        match catalog.service(&self.query.service) {
            Some(service) => plan::deadline(now, &self.query, service),
            None => now + plan::MAX_TIMEOUT,
        }
    }

    /// Runs a ticketed request, or forwards it to the node that has its ticket.
    async fn run_ticket(self, ticket: Ticket, forward: bool) -> QueryResult {
        let deadline = self.ticket_deadline();
        let tickets = Arc::clone(&self.process.tickets);
        match tickets.begin(ticket, self.fingerprint(), deadline).await {
            Disposition::Run => self.run_detached(ticket, deadline).await,
            Disposition::Running => {
                Err(self.unknown(Cause::Deadline, "the request still runs; ask again"))
            }
            Disposition::Done(response) => from_stored(response),
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

    /// Runs a request whose ticket has begun; it runs to its end even if the caller
    /// disconnects.
    async fn run_detached(self, ticket: Ticket, deadline: Time) -> QueryResult {
        let interrupted = self.unknown(Cause::LostReply, "the run broke off");
        let process = Arc::clone(&self.process);
        let tickets = Arc::clone(&process.tickets);
        let task = process.detached_requests.spawn(async move {
            let result = self.run_with_ticket(&tickets, ticket, deadline).await;
            let response = match result {
                Ok(answer) => Stored::Answer(Arc::new(answer)),
                Err(refusal) => Stored::Refusal(refusal),
            };
            from_stored(tickets.finish(ticket, response))
        });
        task.await.unwrap_or(Err(interrupted))
    }

    /// Runs a ticketed request, unless this process was paused recently: then the
    /// request may have waited unnoticed past its deadline. It is refused, and the
    /// ticket table keeps the refusal as its final outcome.
    async fn run_with_ticket(
        &self,
        tickets: &Arc<Tickets>,
        ticket: Ticket,
        deadline: Time,
    ) -> QueryResult {
        if self.process.pause_detector.paused_recently(self.process.clock.now()) {
            let message = "the node stood still while the request may have waited";
            return Err(self.refuse(Cause::Deadline, message));
        }
        let claim = Arc::new(TicketClaim::new(Arc::clone(tickets), ticket));
        self.admit_and_run(deadline, Some(claim)).await
    }

    async fn forward(self, minter: Incarnation) -> QueryResult {
        let Some(mesh) = self.process.mesh() else {
            return Err(self.unknown(Cause::MinterGone, "this node has not joined yet"));
        };
        match mesh.forward(minter, self.query.clone()).await {
            Ok(protocol::Response::Answer(answer)) => Ok(answer),
            Ok(protocol::Response::Refusal(refusal)) => Err(refusal),
            Err(ForwardError::Local | ForwardError::NoOwner) => {
                Err(self.unknown(Cause::MinterGone, "the node that minted the ticket is gone"))
            }
            Err(error @ (ForwardError::NotSent | ForwardError::NoAnswer)) => {
                Err(self.unknown(Cause::MinterGone, &format!("{error}")))
            }
        }
    }

    /// Runs the request with the policy of the experiment arm that it is assigned to;
    /// without one, with the service's policy.
    async fn admit_and_run(&self, deadline: Time, claim: Option<Arc<dyn Claim>>) -> QueryResult {
        let process = &self.process;
        let begin = process.clock.now();
        let catalog = process.catalog();
        let Some(service) = catalog.service(&self.query.service) else {
            return Err(self.refuse(Cause::NoService, "there is no such service"));
        };
        let (name, caller) = (&self.query.service, &self.query.caller);
        let assignment = experiments::assign(&catalog, name, caller, &self.id);
        let policy_name = match &assignment {
            Some(assignment) => Arc::clone(&assignment.policy),
            None => experiments::effective_policy(&catalog, name, service),
        };
        let policy = plan::policy(&catalog, &policy_name);
        let candidates = process.upstreams.with(|table| plan::candidates(table, &self.query));
        let shard_count = candidates.first().map_or(0, |candidate| candidate.shards.len());
        let context = PolicyContext {
            service,
            policy_name: &policy_name,
            policy: &policy,
            candidates,
            deadline,
        };
        let mut result = self.run_with_policy(context, claim).await;
        if let Some(assignment) = assignment {
            let elapsed = process.clock.now().since(begin);
            process.tallies.record(&assignment, &sample(&result, elapsed, shard_count));
            if let Ok(answer) = &mut result {
                answer.arm = Some(assignment.arm);
            }
        }
        result
    }

    async fn run_with_policy(
        &self,
        context: PolicyContext<'_>,
        claim: Option<Arc<dyn Claim>>,
    ) -> QueryResult {
        let process = &self.process;
        let now = process.clock.now();
        let cost = context.candidates.first().map_or(1, |candidate| candidate.shards.len().max(1));
        let limiter = process.limiter(&self.query.service);
        let admission_request = AdmissionRequest {
            caller: Arc::clone(&self.query.caller),
            priority: self.query.priority,
            deadline: context.deadline,
            cost: u32::try_from(cost).unwrap_or(u32::MAX),
        };
        let permit = limiter
            .acquire(admission_request)
            .await
            .map_err(|rejection| self.not_admitted(rejection))?;
        let request_context = RequestContext {
            node: process.incarnation,
            request: self.number,
            now,
            deadline: context.deadline,
            service: context.service,
            policy: context.policy,
        };
        let plan = plan::plan(&request_context, &self.query, context.candidates);
        let budget = process.budget(context.policy_name, context.policy);
        budget.set_overloaded(limiter.with(|controller| controller.overloaded(now)));
        let job = Job {
            machine: Machine::new(plan),
            service: Arc::clone(&self.query.service),
            priority: self.query.priority,
            body: Bytes::from(self.query.body.to_string()),
            chooser: Box::new(process.chooser(&self.query.service, context.policy)),
            budget: Box::new(budget) as Box<dyn Budget>,
            claim,
            recorder: process.traces.is_on().then(Recorder::new),
        };
        let servers = Arc::clone(&process.upstreams);
        let finished = driver::run(job, process.pool.clone(), servers, process.clock).await;
        if let Some(trace) = finished.trace {
            process.traces.insert(Arc::clone(&self.id), trace);
        }
        permit.finish(feedback(&finished.response));
        self.query_result(finished.response)
    }

    fn query_result(&self, response: Response) -> QueryResult {
        match response {
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
                message: message(refusal.cause).to_owned(),
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

    fn not_admitted(&self, rejection: admit::request::Rejection) -> Refusal {
        let retry_after_ms = u32::try_from(rejection.retry_after.as_millis()).unwrap_or(u32::MAX);
        let mut refusal = self.refuse(rejection.cause, message(rejection.cause));
        refusal.retry_after_ms = Some(retry_after_ms.max(1));
        refusal
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

/// The service and policy of a request, all from one catalog.
struct PolicyContext<'a> {
    service: &'a Service,
    policy_name: &'a Arc<str>,
    policy: &'a Policy,
    candidates: Vec<Candidate>,
    deadline: Time,
}

/// Returns the measurements of a request that an experiment collects.
fn sample(result: &QueryResult, elapsed: Duration, shard_count: usize) -> Sample {
    let latency_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let asked = u32::try_from(shard_count).unwrap_or(u32::MAX);
    match result {
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

fn from_stored(response: Stored) -> QueryResult {
    match response {
        Stored::Answer(answer) => Ok(Arc::unwrap_or_clone(answer)),
        Stored::Refusal(refusal) => Err(refusal),
    }
}

/// Returns what the response to a query indicates about the load.
fn feedback(response: &Response) -> Feedback {
    let Response::Answer(answer) = response else {
        let Response::Refusal(refusal) = response else { return Feedback::Other };
        return match refusal.cause {
            Cause::Refused | Cause::Overload => Feedback::Overloaded,
            Cause::Deadline => Feedback::Late,
            _ => Feedback::Other,
        };
    };
    let has = |reason| answer.missing.iter().any(|missing| missing.reason == reason);
    if has(Reason::Refused) || has(Reason::Budget) {
        return Feedback::Overloaded;
    }
    if has(Reason::Deadline) {
        return Feedback::Late;
    }
    // An unreachable shard indicates nothing about the load, and the time that its
    // request took says nothing about usual service times.
    if answer.missing.is_empty() { Feedback::Done } else { Feedback::Other }
}

fn message(cause: Cause) -> &'static str {
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
