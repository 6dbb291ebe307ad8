//! What a machine is told and what it asks for.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use replica::table::Selection;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<R> {
    /// The request begins.
    Start,
    /// A whole and proved answer came.
    Answered {
        /// The attempt.
        attempt: Attempt,
        /// The answer.
        reply: R,
    },
    /// An attempt ended otherwise.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How.
        end: End<R>,
    },
    /// The time of the last [`Action::Wake`] has come.
    Timer,
}

/// How an attempt ended without an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum End<R> {
    /// The request never left this node.
    NotSent,
    /// The server certified that it did not run it.
    Refused,
    /// The server ran it and failed; holds its whole reply.
    Failed(R),
    /// It may have run.
    Unknown,
}

/// Why a server is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is the first of its service.
    First,
    /// The last attempt ended without an answer.
    Retry,
    /// The last attempt takes long.
    Hedge,
}

impl Turn {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<R> {
    /// Ask a server.
    Send {
        /// Names the attempt.
        attempt: Attempt,
        /// The service.
        service: Service,
        /// Its server, and what is expected of it.
        choice: Selection,
        /// Why it is asked.
        turn: Turn,
        /// Whether it is beyond the first to this service, and was paid for from
        /// the budget.
        extra: bool,
        /// The part of the budget of extra sends that is spent.
        spent: f64,
    },
    /// Deliver [`Event::Timer`] at this time; replaces the time asked for before.
    Wake(Time),
    /// Tell the caller.
    Finish(Final<R>),
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Final<R> {
    /// What the caller is told.
    pub word: Word<R>,
    /// The services without an answer, and why.
    pub missing: Vec<(Service, Cause)>,
}

/// The last word on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Word<R> {
    /// Enough services answered; the answers in the order of the services.
    Answer(Vec<R>),
    /// The only service's server failed; its reply is passed on.
    Failure(R),
    /// It has not run and never will.
    NotRun,
    /// There is no answer; it may have run.
    Unknown,
}

/// Why a service gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No server of it is known or reachable.
    NoServer,
    /// Its servers have more to do than they can finish in time.
    Busy,
    /// Its servers refused the request.
    Refused,
    /// Its servers failed.
    Failed,
    /// The budget of extra requests is spent.
    Budget,
    /// The time is up.
    Timeout,
}

impl Cause {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no server",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Budget => "budget spent",
            Self::Timeout => "timeout",
        }
    }
}

/// What the machine is advised by.
pub trait Advice {
    /// The server of `service` that is best asked, none of `tried`.
    fn choose(
        &mut self,
        now: Time,
        service: Service,
        work: Duration,
        tried: &[Server],
    ) -> Option<Selection>;

    /// Counts the first send to `service`.
    fn first(&mut self, now: Time, service: Service);

    /// The part of the budget of extra sends to `service` that is spent.
    fn spent(&mut self, now: Time, service: Service) -> f64;

    /// Takes a send beyond the first from the budget.
    fn extra(&mut self, now: Time, service: Service) -> bool;

    /// Gives back an extra send that never reached a server.
    fn give_back(&mut self, now: Time, service: Service);
}
