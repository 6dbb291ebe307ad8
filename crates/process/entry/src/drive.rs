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

use crate::exchange;
use crate::exchange::Completed;
use crate::exchange::Message;
use crate::exchange::Outcome;
use crate::exchange::Reply;
use crate::process::Process;
use crate::process::RouteStats;
use crate::trace::Trace;
use gather::event::Action;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Response;
use gather::machine::Machine;
use gather::resources::Resources;

/// How long unneeded attempts may run after the request is finished. Short pauses of a
/// server end within this time, so that its connection is kept.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(300);

type Attempts = FuturesUnordered<Pin<Box<dyn Future<Output = Completed>>>>;

/// Runs a request until its machine has a response.
pub(crate) async fn run(
    process: &Rc<Process>,
    mut machine: Machine<Reply>,
    message: Rc<Message>,
    stats: Rc<RefCell<RouteStats>>,
    trace: &mut Trace,
) -> Response<Reply> {
    let service_time = machine.plan().service_time;
    let mut attempts: Attempts = FuturesUnordered::new();
    let mut actions = Vec::new();
    let mut event = Event::Start;
    let mut sleep = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
    loop {
        {
            let mut table = process.table.borrow_mut();
            let mut budget = process.budget.borrow_mut();
            let mut resources = Resources { table: &mut table, budget: &mut budget };
            machine.handle(process.clock.now(), event, &mut resources, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send {
                    attempt,
                    service,
                    choice: selection,
                    purpose,
                    extra,
                    budget_used,
                } => {
                    trace.on_sent(process, service, selection, purpose, budget_used);
                    if extra {
                        process.metrics.record_extra_send();
                    }
                    let (process, message) = (Rc::clone(process), Rc::clone(&message));
                    let exchange =
                        exchange::run(process, message, attempt, selection.server, service_time);
                    attempts.push(Box::pin(exchange));
                }
                Action::Wake(at) => sleep.as_mut().reset(process.clock.instant(at)),
                Action::Finish(response) => {
                    drain(attempts);
                    return response;
                }
            }
        }
        event = tokio::select! {
            biased;
            Some(completed) = attempts.next() => {
                if matches!(completed.outcome, Outcome::Answered(_)) {
                    trace.on_reply(process.clock.now(), completed.attempt);
                }
                to_event(process, &message, &stats, completed)
            }
            () = sleep.as_mut() => Event::Timer,
        };
    }
}

/// Records the end of an attempt, and converts it to an event for the machine.
fn to_event(
    process: &Process,
    message: &Message,
    stats: &RefCell<RouteStats>,
    completed: Completed,
) -> Event<Reply> {
    let attempt = completed.attempt;
    if let Some(service_time) = completed.service_time {
        stats.borrow_mut().service_time.sample(service_time);
    }
    let (completion, why) = match completed.outcome {
        Outcome::Answered(reply) => {
            process.metrics.record_attempt("answered");
            return Event::Answered { attempt, reply };
        }
        Outcome::Failed(reply) => (Completion::Failed(reply), "the server failed"),
        Outcome::Refused => (Completion::Refused, "the server did not run it"),
        Outcome::NotSent(why) => (Completion::NotSent, why),
        Outcome::Unknown(why) => (Completion::Unknown, why),
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
        id = message.id.to_str().unwrap_or_default(),
        server = process.server_id(completed.server).as_ref(),
        end = end_name,
        why;
        "An attempt ended without an answer."
    );
    Event::Ended { attempt, end: completion }
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
