//! Carries out what a request's machine asks for.
//!
//! Invariant: when the caller leaves, the driver is dropped, and with it every
//! attempt and its connection. Attempts that are no longer needed after the last
//! word may end on their own for a short while, so that their connections stay.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::exchange;
use crate::exchange::Done;
use crate::exchange::Message;
use crate::exchange::Outcome;
use crate::exchange::Reply;
use crate::process::Process;
use crate::process::Seen;
use crate::trace::Trace;
use gather::event::Action;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Response;
use gather::machine::Machine;
use gather::resources::Resources;

/// How long an attempt that is no longer needed may go on: a pause of a server
/// passes meanwhile, and its connection is kept.
const LINGER: Duration = Duration::from_millis(300);

type Attempts = FuturesUnordered<Pin<Box<dyn Future<Output = Done>>>>;

/// Runs a request to its last word.
pub(crate) async fn run(
    process: &Rc<Process>,
    mut machine: Machine<Reply>,
    message: Rc<Message>,
    seen: Rc<RefCell<Seen>>,
    trace: &mut Trace,
) -> Response<Reply> {
    let work = machine.plan().service_time;
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
                Action::Send { attempt, service, choice, purpose, extra, budget_used } => {
                    trace.sent(process, service, choice, purpose, budget_used);
                    if extra {
                        process.metrics.extra();
                    }
                    let (process, message) = (Rc::clone(process), Rc::clone(&message));
                    let asking = exchange::run(process, message, attempt, choice.server, work);
                    attempts.push(Box::pin(asking));
                }
                Action::Wake(at) => sleep.as_mut().reset(process.clock.instant(at)),
                Action::Finish(last) => {
                    linger(attempts);
                    return last;
                }
            }
        }
        event = tokio::select! {
            biased;
            Some(done) = attempts.next() => {
                if matches!(done.outcome, Outcome::Answered(_)) {
                    trace.replied(process.clock.now(), done.attempt);
                }
                told(process, &message, &seen, done)
            }
            () = sleep.as_mut() => Event::Timer,
        };
    }
}

/// What the machine is told of an attempt that ended.
fn told(process: &Process, message: &Message, seen: &RefCell<Seen>, done: Done) -> Event<Reply> {
    let attempt = done.attempt;
    if let Some(took) = done.took {
        seen.borrow_mut().service_time.sample(took);
    }
    let (end, why) = match done.outcome {
        Outcome::Answered(reply) => {
            process.metrics.attempt("answered");
            return Event::Answered { attempt, reply };
        }
        Outcome::Failed(reply) => (Completion::Failed(reply), "the server failed"),
        Outcome::Refused => (Completion::Refused, "the server did not run it"),
        Outcome::NotSent(why) => (Completion::NotSent, why),
        Outcome::Unknown(why) => (Completion::Unknown, why),
    };
    let name = match &end {
        Completion::Failed(_) => "failed",
        Completion::Refused => "refused",
        Completion::NotSent => "not sent",
        Completion::Unknown => "unknown",
    };
    process.metrics.attempt(name);
    log::info!(
        target: "attempt",
        id = message.id.to_str().unwrap_or_default(),
        server = process.life_of(done.server).as_ref(),
        end = name,
        why;
        "An attempt ended without an answer."
    );
    Event::Ended { attempt, end }
}

/// Lets attempts that are no longer needed end on their own for a while.
fn linger(mut attempts: Attempts) {
    if attempts.is_empty() {
        return;
    }
    tokio::task::spawn_local(async move {
        let rest = async { while attempts.next().await.is_some() {} };
        if tokio::time::timeout(LINGER, rest).await.is_err() {
            log::debug!(target: "request", "Attempts without a reply were given up.");
        }
    });
}
