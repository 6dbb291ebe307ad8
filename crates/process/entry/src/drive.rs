//! Executes the actions of a request's state machine.
//!
//! Invariant: when the caller disconnects, the driver is dropped and with it every
//! attempt and its connection. Attempts that are still running when the request is
//! finished may end within a short time, so that their connections can be reused.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::breaks;
use crate::exchange;
use crate::exchange::AttemptOutcome;
use crate::exchange::CallerRequest;
use crate::exchange::Completed;
use crate::exchange::Reply;
use crate::process::Process;
use crate::process::RouteStats;
use crate::trace::Trace;
use gather::event::Action;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Outcome;
use gather::event::Response;
use gather::machine::Machine;
use gather::resources::NodeBalancer;
use replica::table::Choice;

/// How long unneeded attempts may run after the request is finished. Short pauses of a
/// server end within this time, so that its connection is kept.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(300);

type Attempts = FuturesUnordered<Pin<Box<dyn Future<Output = Completed>>>>;

/// Runs a request until its machine has a response; `None` if this node loses its path to the
/// servers before any attempt has left, and the request may be passed on to another node.
pub(crate) async fn run(
    process: &Rc<Process>,
    mut machine: Machine<Reply>,
    caller_request: Rc<CallerRequest>,
    stats: Rc<RefCell<RouteStats>>,
    trace: &mut Trace,
) -> Option<Response<Reply>> {
    let usual_service_time = machine.plan().usual_service_time;
    let mut attempts: Attempts = FuturesUnordered::new();
    let mut actions = Vec::new();
    let mut event = Event::Start;
    let mut sleep = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
    loop {
        {
            let mut table = process.table.borrow_mut();
            let mut budget = process.budget.borrow_mut();
            let choice = Choice {
                leaves_reserve: caller_request.leaves_reserve,
                spreads: caller_request.broke_off.get(),
                homes: caller_request.homes,
            };
            let standing = breaks::standing(process, &caller_request);
            let has_recent_end = breaks::has_recent_end(process);
            let mut balancer = NodeBalancer {
                table: &mut table,
                budget: &mut budget,
                choice,
                standing,
                has_recent_end,
            };
            machine.handle(process.clock.now(), event, &mut balancer, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { attempt, service, selection, purpose, extra, used_fraction } => {
                    trace.on_chosen(process, service, selection, purpose, used_fraction);
                    if extra {
                        process.metrics.record_extra_send();
                    }
                    let (process, caller_request) =
                        (Rc::clone(process), Rc::clone(&caller_request));
                    let exchange = exchange::run(
                        process,
                        caller_request,
                        attempt,
                        selection.server,
                        usual_service_time,
                        extra,
                    );
                    attempts.push(Box::pin(exchange));
                }
                Action::Wake(at) => sleep.as_mut().reset(process.clock.instant(at)),
                Action::Finish(response) => {
                    return Some(end(response, &caller_request, attempts));
                }
            }
        }
        event = tokio::select! {
            biased;
            Some(completed) = attempts.next() => {
                if matches!(completed.outcome, AttemptOutcome::Answered(_)) {
                    trace.on_reply(process.clock.now(), completed.attempt);
                }
                to_event(process, &caller_request, &stats, completed)
            }
            () = sleep.as_mut() => Event::Timer,
            () = process.path_lost.notified(), if caller_request.may_be_passed_on => {
                if caller_request.possible_runs.get() == 0 {
                    return None;
                }
                Event::Timer
            }
        };
    }
}

/// Records the end of an attempt, and converts it to an event for the machine.
fn to_event(
    process: &Process,
    caller_request: &CallerRequest,
    stats: &RefCell<RouteStats>,
    completed: Completed,
) -> Event<Reply> {
    let attempt = completed.attempt;
    if let Some(service_time) = completed.service_time {
        stats.borrow_mut().service_time.sample(service_time);
    }
    let (completion, why) = match completed.outcome {
        AttemptOutcome::Answered(reply) => {
            process.metrics.record_attempt("answered");
            return Event::Answered { attempt, reply };
        }
        AttemptOutcome::Failed(reply) => (Completion::Failed(reply), "the server failed"),
        AttemptOutcome::Refused => (Completion::Refused, "the server did not run it"),
        AttemptOutcome::NotSent(why) => (Completion::NotSent, why),
        AttemptOutcome::Unknown(why) => (Completion::Unknown, why),
    };
    let end_name = match &completion {
        Completion::Failed(_) => "failed",
        Completion::Refused => "refused",
        Completion::NotSent => "not sent",
        Completion::Unknown => "unknown",
    };
    process.metrics.record_attempt(end_name);
    log::info!(
        target: "attempt",
        id = caller_request.id.to_str().unwrap_or_default(),
        server = process.server_id(completed.server).as_ref(),
        end = end_name,
        request = caller_request.identity.get().map(ToString::to_string),
        why;
        "An attempt ended without an answer."
    );
    Event::Ended { attempt, completion }
}

/// Ends the request's attempts. The machine counts an attempt that still waits for a connection
/// as one that may run; if none has left this node, all are dropped before they do, so that the
/// request has certainly not run.
fn end(
    mut response: Response<Reply>,
    caller_request: &CallerRequest,
    attempts: Attempts,
) -> Response<Reply> {
    if response.outcome == Outcome::Unknown && caller_request.possible_runs.get() == 0 {
        response.outcome = Outcome::NotRun;
    } else {
        drain(attempts);
    }
    response
}

/// Runs unneeded attempts in the background for up to [`MAX_DRAIN_TIME`].
fn drain(mut attempts: Attempts) {
    if attempts.is_empty() {
        return;
    }
    tokio::task::spawn_local(async move {
        let all_ended = async { while attempts.next().await.is_some() {} };
        if tokio::time::timeout(MAX_DRAIN_TIME, all_ended).await.is_err() {
            log::debug!(target: "request", "Attempts without a reply were cancelled.");
        }
    });
}
