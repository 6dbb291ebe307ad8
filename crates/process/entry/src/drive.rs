//! Carries out what a request's machine asks for.
//!
//! Invariant: when the caller leaves, the driver is dropped, and with it every
//! attempt and its connection. Attempts that are no longer needed after the last
//! word may end on their own for a short while, so that their connections stay.

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
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::event::Action;
use gather::event::Advice;
use gather::event::End;
use gather::event::Event;
use gather::event::Final;
use gather::machine::Machine;
use replica::budget::Budget;
use replica::pace::Pace;
use replica::table::Choice;
use replica::table::Table;

/// How long an attempt that is no longer needed may go on: a pause of a server
/// passes meanwhile, and its connection is kept.
const LINGER: Duration = Duration::from_millis(300);

/// The table and the budget as advice.
struct Desk<'a> {
    table: &'a mut Table,
    budget: &'a mut Budget,
}

impl Advice for Desk<'_> {
    fn choose(
        &mut self,
        now: Time,
        service: Service,
        work: Duration,
        tried: &[Server],
    ) -> Option<Choice> {
        let spent = self.budget.spent(now, service);
        self.table.choose(now, service, work, spent, tried)
    }

    fn first(&mut self, now: Time, service: Service) {
        self.budget.first(now, service);
    }

    fn spent(&mut self, now: Time, service: Service) -> f64 {
        self.budget.spent(now, service)
    }

    fn extra(&mut self, now: Time, service: Service) -> bool {
        self.budget.extra(now, service)
    }

    fn give_back(&mut self, now: Time, service: Service) {
        self.budget.give_back(now, service);
    }
}

type Attempts = FuturesUnordered<Pin<Box<dyn Future<Output = Done>>>>;

/// Runs a request to its last word.
pub(crate) async fn run(
    process: &Rc<Process>,
    mut machine: Machine<Reply>,
    message: Rc<Message>,
    pace: Rc<std::cell::RefCell<Pace>>,
) -> Final<Reply> {
    let work = machine.plan().work;
    let mut attempts: Attempts = FuturesUnordered::new();
    let mut actions = Vec::new();
    let mut event = Event::Start;
    let mut sleep = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
    loop {
        {
            let mut table = process.table.borrow_mut();
            let mut budget = process.budget.borrow_mut();
            let mut desk = Desk { table: &mut table, budget: &mut budget };
            machine.handle(process.clock.now(), event, &mut desk, &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Send { attempt, server, .. } => {
                    let (process, message) = (Rc::clone(process), Rc::clone(&message));
                    attempts.push(Box::pin(exchange::run(process, message, attempt, server, work)));
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
            Some(done) = attempts.next() => told(process, &pace, done),
            () = sleep.as_mut() => Event::Timer,
        };
    }
}

/// What the machine is told of an attempt that ended.
fn told(process: &Process, pace: &std::cell::RefCell<Pace>, done: Done) -> Event<Reply> {
    let attempt = done.attempt;
    if let Some(took) = done.took {
        pace.borrow_mut().sample(process.clock.now(), took);
    }
    let end = match done.outcome {
        Outcome::Answered(reply) => return Event::Answered { attempt, reply },
        Outcome::Failed(reply) => End::Failed(reply),
        Outcome::Refused => End::Refused,
        Outcome::NotSent(why) => {
            log::debug!(target: "request", "Not sent to {}: {why}.", done.server);
            End::NotSent
        }
        Outcome::Unknown(why) => {
            let server = process.life_of(done.server);
            log::info!(target: "request", server = server.as_ref(), why; "Attempt failed.");
            End::Unknown
        }
    };
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
