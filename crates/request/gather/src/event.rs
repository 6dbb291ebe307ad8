//! The inputs and outputs of a machine.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use poison::ledger::Standing;
use replica::table::Selection;

/// An input of the machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<R> {
    /// The request starts.
    Start,
    /// A complete and verified answer was received.
    Answered {
        /// The attempt.
        attempt: Attempt,
        /// The answer.
        reply: R,
    },
    /// An attempt ended without an answer.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        completion: Completion<R>,
    },
    /// The time of the last [`Action::Wake`] has passed.
    Timer,
}

/// How an attempt ended without an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion<R> {
    /// The request never left this node.
    NotSent,
    /// The server certified that it did not run the request.
    Refused,
    /// The server ran the request and failed; holds its complete reply.
    Failed(R),
    /// The request may have run.
    Unknown,
}

/// Why a request is sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// It is the first attempt for the service.
    First,
    /// The last attempt ended without an answer.
    Retry,
    /// The last attempt is taking too long.
    Hedge,
}

impl Purpose {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// An output of the machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<R> {
    /// Send the request to a server.
    Send {
        /// The attempt that this starts.
        attempt: Attempt,
        /// The service.
        service: Service,
        /// The chosen server.
        selection: Selection,
        /// Why the request is sent.
        purpose: Purpose,
        /// Whether an earlier attempt may have reached a server, or it is a hedge; then
        /// it is taken from the budget.
        extra: bool,
        /// The fraction of the budget of extra sends that would be used after one more
        /// send.
        used_fraction: f64,
    },
    /// Deliver [`Event::Timer`] at this time; replaces the previous wake-up time.
    Wake(Time),
    /// Respond to the caller; nothing more follows.
    Finish(Response<R>),
}

/// The final result of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response<R> {
    /// What the caller receives.
    pub outcome: Outcome<R>,
    /// The services without an answer, and why.
    pub missing: Vec<(Service, Cause)>,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<R> {
    /// Enough services answered; the answers in the order of the services.
    Answer(Vec<R>),
    /// The server of the only service failed; its reply is passed on.
    Failure(R),
    /// The request has not run and will not run later.
    NotRun,
    /// There is no answer; the request may have run.
    Unknown,
}

/// Why a service gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No server is known, or the last attempt was not sent.
    NoServer,
    /// No server in the regions in which the request may be served can be used; there are others.
    NoHome,
    /// Its servers have more requests than they can finish in time.
    Busy,
    /// Its servers refused the request.
    Refused,
    /// Its servers all turn requests away for a time.
    TurnedAway,
    /// All its servers are in evacuated data centres.
    Evacuated,
    /// Its servers name limits, and this node's parts of them are used up.
    Limited,
    /// Its servers failed.
    Failed,
    /// The budget of extra sends is used up.
    Budget,
    /// The request ends the servers that run it.
    Poison,
    /// It had not answered when the response was returned.
    Timeout,
}

impl Cause {
    /// Whether no server could be used.
    pub fn is_unserved(self) -> bool {
        matches!(self, Self::NoServer | Self::NoHome)
    }

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no server",
            Self::NoHome => "no server in its regions",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::TurnedAway => "turned away",
            Self::Evacuated => "evacuated",
            Self::Limited => "limited",
            Self::Failed => "failed",
            Self::Budget => "budget spent",
            Self::Poison => "poison request",
            Self::Timeout => "timeout",
        }
    }
}

/// Chooses servers and accounts for extra sends.
pub trait Balancer {
    /// The best server of `service` that is not in `tried`, for a request that
    /// usually takes `usual_service_time`.
    fn choose(
        &mut self,
        now: Time,
        service: Service,
        usual_service_time: Duration,
        tried: &[Server],
    ) -> Option<Selection>;

    /// When `service` accepts a request again whose servers all turn requests away; `None` if
    /// it has none or one of them accepts requests.
    fn accepts_at(&mut self, now: Time, service: Service) -> Option<Time>;

    /// Whether all servers of `service` that the request may be sent to are in evacuated data
    /// centres.
    fn is_evacuated(&mut self, _service: Service) -> bool {
        false
    }

    /// Whether a server of `service` names a limit, so that a choice may fail for it.
    fn is_limited(&mut self, _now: Time, _service: Service) -> bool {
        false
    }

    /// Whether `service` has servers in regions in which the request may not be served.
    fn is_restricted(&mut self, _service: Service) -> bool {
        false
    }

    /// Whether the request may have ended the servers that ran it.
    fn standing(&mut self, _now: Time) -> Standing {
        Standing::Clear
    }

    /// Whether any request has ended a server a short time ago, so that others may end more.
    fn has_recent_end(&mut self, _now: Time) -> bool {
        false
    }

    /// Counts the first send to `service`.
    fn first_send(&mut self, now: Time, service: Service);

    /// The fraction of the budget of extra sends to `service` that would be used after
    /// one more send; above 1 if none is left.
    fn used_fraction(&mut self, now: Time, service: Service) -> f64;

    /// Takes an extra send from the budget; returns `false` if it is used up.
    fn take_extra(&mut self, now: Time, service: Service) -> bool;

    /// Refunds an extra send that was taken at `taken` and never reached a server.
    fn refund(&mut self, now: Time, service: Service, taken: Time);
}
