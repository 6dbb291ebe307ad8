//! The state machine of one request.
//!
//! Invariants: a request that must not run twice is sent again only if it
//! certainly has not run. The answer of a service is used once. The response is
//! returned once, as soon as no attempt in flight can improve it, and at the
//! plan's deadline at the latest. A request that is suspected of ending servers is at one server
//! at a time, and one that is blocked is sent to none. While servers have ended a short time ago, few
//! hedges are in flight until a server has answered.

use std::time::Duration;

use crate::event::Action;
use crate::event::Balancer;
use crate::event::Cause;
use crate::event::Completion;
use crate::event::Event;
use crate::event::Outcome;
use crate::event::Purpose;
use crate::event::Response;
use crate::plan::Plan;
use crate::plan::REFUSED_RETRY_DELAY;
use crate::progress::AttemptState;
use crate::progress::Attempts;
use crate::progress::Progress;
use crate::progress::State;
use base::entity::Attempt;
use base::entity::Service;
use base::time::Time;
use poison::ledger::Standing;
use replica::table::Selection;

/// The fraction of the budget that hedges may use: the rest is reserved for requests that a
/// server refused or failed.
const HEDGE_BUDGET_FRACTION: f64 = 0.75;
/// The fraction of the budget that retries may use to complete an answer: the rest is reserved
/// for services without which there is no answer.
const OPTIONAL_RETRY_BUDGET_FRACTION: f64 = 0.9;
/// Services are left out of a search only while at most this fraction of the budget is used. More
/// use means that services fail, and a search that has left some out may not lose another one.
const MAX_USED_TO_LEAVE_OUT: f64 = 0.5;
/// How long a service waits for a budget that is used up or servers that are busy.
const DEFER_DELAY: Duration = Duration::from_millis(15);

/// The maximum number of services that are hedged before any server has answered, while requests
/// have ended servers a short time ago: if this one ends the servers that run it, each hedge ends
/// one more, and hedges are due before the first server has ended. An answer releases the others.
const MAX_BLIND_HEDGES: usize = 2;

/// The maximum number of attempts of one request at one service, including refused
/// and unsent ones, so that one request does not use up the budget of all.
const MAX_SENDS: u32 = 8;

/// One request.
#[derive(Debug)]
pub struct Machine<R> {
    plan: Plan,
    /// The state of each service, in the order of the plan.
    progress: Vec<Progress<R>>,
    attempts: Attempts,
    pending: usize,
    covered: usize,
    /// The wake-up time that was last requested.
    wake: Time,
    finished: bool,
}

impl<R> Machine<R> {
    /// A request that waits for [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let services = plan.services.len();
        Self {
            plan,
            progress: (0..services).map(|_| Progress::new()).collect(),
            attempts: Attempts::with_capacity(services + services / 4),
            pending: services,
            covered: 0,
            wake: Time::NEVER,
            finished: false,
        }
    }

    /// The parameters of the request.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Handles one event; appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: Time,
        event: Event<R>,
        balancer: &mut dyn Balancer,
        actions: &mut Vec<Action<R>>,
    ) {
        if self.finished {
            return;
        }
        match event {
            Event::Start => self.start(now, balancer, actions),
            Event::Answered { attempt, reply } => {
                self.answered(attempt, reply);
                self.release(now, balancer, actions);
            }
            Event::Ended { attempt, completion } => {
                self.ended(now, attempt, completion, balancer, actions)
            }
            Event::Timer => self.timer(now, balancer, actions),
        }
        self.finish_or_wake(now, actions);
    }

    /// Chooses a server for each service. If too few of them can answer, nothing
    /// is sent, so that the request has certainly not run.
    fn start(&mut self, now: Time, balancer: &mut dyn Balancer, actions: &mut Vec<Action<R>>) {
        let mut chosen = Vec::with_capacity(self.progress.len());
        for index in 0..self.progress.len() {
            let selection =
                balancer.choose(now, self.plan.services[index], self.plan.usual_service_time, &[]);
            match selection {
                Some(selection) if self.plan.admits(now, &selection) => {
                    chosen.push((index, selection))
                }
                Some(_) => self.progress[index].cause = Cause::Busy,
                None => {
                    let service = self.plan.services[index];
                    let accepts_at = balancer.accepts_at(now, service);
                    let held_back = held_back(now, service, accepts_at, balancer);
                    let restricted = || balancer.is_restricted(service).then_some(Cause::NoHome);
                    if let Some(cause) = held_back.or_else(restricted) {
                        self.progress[index].cause = cause;
                    }
                }
            }
        }
        let too_few = chosen.len() < self.plan.min_services;
        if self.fails_rarely(now, balancer) {
            self.leave_out_late(now, &mut chosen);
        }
        let mut may_send = match balancer.standing(now) {
            Standing::Clear => usize::MAX,
            Standing::Suspect => 1,
            Standing::Held => 0,
            Standing::Blocked { .. } | Standing::TrialDue => return self.block(),
        };
        let mut next = chosen.into_iter().peekable();
        for index in 0..self.progress.len() {
            let selection = next.next_if(|(other, _)| *other == index);
            match selection {
                Some(_) if !too_few && may_send == 0 => self.hold(now, index),
                Some((_, selection)) if !too_few => {
                    may_send -= 1;
                    balancer.first_send(now, self.plan.services[index]);
                    self.send(now, index, selection, Purpose::First, false, balancer, actions);
                }
                _ => self.give_up(index),
            }
        }
    }

    /// Whether few extra sends are used: services fail rarely, and one that fails is tried again.
    fn fails_rarely(&self, now: Time, balancer: &mut dyn Balancer) -> bool {
        let mut services = self.plan.services.iter();
        services.all(|service| balancer.used_fraction(now, *service) <= MAX_USED_TO_LEAVE_OUT)
    }

    /// Leaves out the services whose replies are not expected by the soft deadline, as long as
    /// enough others remain. The answer would not wait for them, and their servers would be busy
    /// with replies that no request waits for.
    fn leave_out_late(&mut self, now: Time, chosen: &mut Vec<(usize, Selection)>) {
        let mut late: Vec<(Duration, usize)> = chosen
            .iter()
            .filter(|(_, selection)| !self.plan.is_in_time(now, selection))
            .map(|(index, selection)| (selection.expected_latency, *index))
            .collect();
        late.sort_unstable();
        let excess = chosen.len().saturating_sub(self.plan.min_services);
        for (_, index) in late.into_iter().rev().take(excess) {
            self.progress[index].cause = Cause::Busy;
            chosen.retain(|(other, _)| *other != index);
        }
    }

    /// Gives up all services that have not answered, since the request is blocked.
    fn block(&mut self) {
        for index in 0..self.progress.len() {
            if self.progress[index].is_pending() {
                self.progress[index].cause = Cause::Poison;
                self.give_up(index);
            }
        }
    }

    /// Lets a service wait until it is known whether the request ends servers.
    fn hold(&mut self, now: Time, index: usize) {
        self.progress[index].next_attempt_at = now + DEFER_DELAY;
    }

    /// Sends to the services that were held, if an answer has cleared the request.
    fn release(&mut self, now: Time, balancer: &mut dyn Balancer, actions: &mut Vec<Action<R>>) {
        let is_held = |progress: &Progress<R>| progress.is_pending() && progress.sends == 0;
        if !self.progress.iter().any(is_held) || balancer.standing(now) != Standing::Clear {
            return;
        }
        for index in 0..self.progress.len() {
            if is_held(&self.progress[index]) {
                self.try_next(now, index, Purpose::First, balancer, actions);
            }
        }
    }

    /// Whether a server has answered, or few services are hedged.
    fn may_hedge(&self) -> bool {
        let has_answer = |progress: &Progress<R>| progress.failure.is_some();
        let is_hedged = |progress: &&Progress<R>| progress.in_flight > 1;
        self.covered > 0
            || self.progress.iter().any(has_answer)
            || self.progress.iter().filter(is_hedged).count() < MAX_BLIND_HEDGES
    }

    /// Sends to one more server of a service, if the limits allow it.
    fn try_next(
        &mut self,
        now: Time,
        index: usize,
        purpose: Purpose,
        balancer: &mut dyn Balancer,
        actions: &mut Vec<Action<R>>,
    ) {
        let service = self.plan.services[index];
        let progress = &mut self.progress[index];
        progress.next_attempt_at = Time::NEVER;
        if progress.possible_runs >= self.plan.max_attempts || progress.sends >= MAX_SENDS {
            return self.give_up(index);
        }
        if purpose == Purpose::Hedge && balancer.has_recent_end(now) && !self.may_hedge() {
            return self.hold(now, index);
        }
        let is_in_flight = self.progress.iter().any(|progress| progress.in_flight > 0);
        match balancer.standing(now) {
            Standing::Clear => {}
            Standing::Suspect if !is_in_flight => {}
            Standing::Suspect | Standing::Held => return self.hold(now, index),
            Standing::Blocked { .. } | Standing::TrialDue if is_in_flight => {
                return self.hold(now, index);
            }
            Standing::Blocked { .. } | Standing::TrialDue => return self.block(),
        }
        let progress = &self.progress[index];
        let Some(selection) =
            balancer.choose(now, service, self.plan.usual_service_time, &progress.tried)
        else {
            let accepts_at = balancer.accepts_at(now, service);
            let held_back = held_back(now, service, accepts_at, balancer);
            return self.no_server_left(now, index, purpose, accepts_at, held_back);
        };
        if !self.plan.admits(now, &selection) {
            return self.defer(now, index, purpose, Cause::Busy);
        }
        let extra = progress.reached || purpose == Purpose::Hedge;
        if extra && !self.take_extra(now, index, purpose, balancer) {
            return self.defer(now, index, purpose, Cause::Budget);
        }
        if self.progress[index].sends == 0 {
            balancer.first_send(now, service);
        }
        self.send(now, index, selection, purpose, extra, balancer, actions);
    }

    fn send(
        &mut self,
        now: Time,
        index: usize,
        selection: Selection,
        purpose: Purpose,
        extra: bool,
        balancer: &mut dyn Balancer,
        actions: &mut Vec<Action<R>>,
    ) {
        let service = self.plan.services[index];
        let progress = &mut self.progress[index];
        progress.tried.push(selection.server);
        progress.sends += 1;
        progress.in_flight += 1;
        progress.possible_runs += 1;
        let used_fraction = balancer.used_fraction(now, service);
        if self.plan.idempotent {
            progress.next_attempt_at =
                self.plan.hedge_time(now, selection.expected_latency, used_fraction);
        }
        let attempt = self.attempts.push(AttemptState {
            service_index: index,
            extra_at: extra.then_some(now),
            in_flight: true,
        });
        actions.push(Action::Send { attempt, service, selection, purpose, extra, used_fraction });
    }

    /// Takes an extra send from the budget; hedges, and retries of services that the answer
    /// may leave out, leave a part of it to others.
    fn take_extra(
        &self,
        now: Time,
        index: usize,
        purpose: Purpose,
        balancer: &mut dyn Balancer,
    ) -> bool {
        let service = self.plan.services[index];
        let used = balancer.used_fraction(now, service);
        let is_reserved = match purpose {
            Purpose::Hedge => used > HEDGE_BUDGET_FRACTION,
            _ => used > OPTIONAL_RETRY_BUDGET_FRACTION && self.is_optional(index),
        };
        !is_reserved && balancer.take_extra(now, service)
    }

    /// Whether enough other services have answered or are expected to.
    fn is_optional(&self, index: usize) -> bool {
        let others = self.progress.iter().enumerate().filter(|(other, _)| *other != index);
        let expected = others.filter(|(_, progress)| match progress.state {
            State::Covered(_) => true,
            State::Pending => progress.in_flight > 0,
            State::Missing => false,
        });
        expected.count() >= self.plan.min_services
    }

    /// Schedules another attempt after a short delay, if it is due before the soft
    /// deadline. Otherwise gives the service up, unless the attempt was to be a hedge.
    fn defer(&mut self, now: Time, index: usize, purpose: Purpose, cause: Cause) {
        let again = now + DEFER_DELAY;
        let progress = &mut self.progress[index];
        if again < self.plan.soft_deadline {
            progress.next_attempt_at = again;
        } else if purpose != Purpose::Hedge {
            progress.cause = cause;
            self.give_up(index);
        }
    }

    /// Handles a service whose servers were all tried: if none may have run the request
    /// and at least one refused, they are tried again after a delay. `accepts_at` is when the
    /// first of them accepts requests, if none does now, and `held_back` why.
    fn no_server_left(
        &mut self,
        now: Time,
        index: usize,
        purpose: Purpose,
        accepts_at: Option<Time>,
        held_back: Option<Cause>,
    ) {
        let progress = &mut self.progress[index];
        if let Some(cause) = held_back
            && progress.in_flight == 0
            && progress.possible_runs == 0
        {
            progress.cause = cause;
        }
        let refused = progress.in_flight == 0 && progress.possible_runs == 0 && progress.reached;
        let again = accepts_at.unwrap_or(now).max(now + REFUSED_RETRY_DELAY);
        if purpose != Purpose::Hedge && refused && again < self.plan.soft_deadline {
            progress.tried.clear();
            progress.next_attempt_at = again;
            return;
        }
        self.give_up(index);
    }

    /// Gives a service up, unless it is answered or an attempt is in flight.
    fn give_up(&mut self, index: usize) {
        let progress = &mut self.progress[index];
        if progress.is_pending() && progress.in_flight == 0 {
            progress.state = State::Missing;
            self.pending -= 1;
        }
    }

    fn answered(&mut self, attempt: Attempt, reply: R) {
        let Some(index) = self.end_attempt(attempt) else { return };
        let progress = &mut self.progress[index];
        progress.reached = true;
        if progress.is_pending() {
            progress.state = State::Covered(reply);
            progress.next_attempt_at = Time::NEVER;
            self.pending -= 1;
            self.covered += 1;
        }
    }

    /// Marks an attempt as ended; returns the index of its service, or `None` if it
    /// had ended before.
    fn end_attempt(&mut self, attempt: Attempt) -> Option<usize> {
        let entry = self.attempts.get_mut(attempt)?;
        if !std::mem::replace(&mut entry.in_flight, false) {
            return None;
        }
        let index = entry.service_index;
        self.progress[index].in_flight -= 1;
        Some(index)
    }

    fn ended(
        &mut self,
        now: Time,
        attempt: Attempt,
        completion: Completion<R>,
        balancer: &mut dyn Balancer,
        actions: &mut Vec<Action<R>>,
    ) {
        let Some(index) = self.end_attempt(attempt) else { return };
        let extra_at = self.attempts[attempt].extra_at;
        let service = self.plan.services[index];
        let progress = &mut self.progress[index];
        match completion {
            Completion::NotSent => {
                progress.possible_runs -= 1;
                let is_restricted = balancer.is_restricted(service);
                progress.cause = if is_restricted { Cause::NoHome } else { Cause::NoServer };
                if let Some(taken) = extra_at {
                    balancer.refund(now, service, taken);
                }
            }
            Completion::Refused => {
                progress.possible_runs -= 1;
                progress.reached = true;
                progress.cause = Cause::Refused;
            }
            Completion::Failed(reply) => {
                progress.reached = true;
                progress.failure = Some(reply);
                progress.cause = Cause::Failed;
            }
            Completion::Unknown => {
                progress.reached = true;
                progress.cause = Cause::Failed;
            }
        }
        if !progress.is_pending() || progress.in_flight > 0 {
            return;
        }
        if !self.plan.idempotent && progress.possible_runs > 0 {
            return self.give_up(index);
        }
        self.try_next(now, index, Purpose::Retry, balancer, actions);
    }

    fn timer(&mut self, now: Time, balancer: &mut dyn Balancer, actions: &mut Vec<Action<R>>) {
        self.wake = Time::NEVER;
        for index in 0..self.progress.len() {
            let progress = &self.progress[index];
            if progress.is_pending() && progress.next_attempt_at <= now {
                let purpose = if progress.in_flight > 0 { Purpose::Hedge } else { Purpose::Retry };
                self.try_next(now, index, purpose, balancer, actions);
            }
        }
    }

    /// Responds to the caller if it is time; otherwise schedules the next wake-up.
    fn finish_or_wake(&mut self, now: Time, actions: &mut Vec<Action<R>>) {
        let enough = self.covered >= self.plan.min_services;
        let too_few = self.covered + self.pending < self.plan.min_services;
        let late = now >= self.plan.soft_deadline && enough;
        if self.pending == 0 || too_few || late || now >= self.plan.deadline {
            return self.finish(actions);
        }
        let mut next = self.plan.deadline;
        if now < self.plan.soft_deadline {
            next = next.min(self.plan.soft_deadline);
        }
        let pending = self.progress.iter().filter(|progress| progress.is_pending());
        next = pending.map(|progress| progress.next_attempt_at).fold(next, Time::min);
        if next != self.wake {
            self.wake = next;
            actions.push(Action::Wake(next));
        }
    }

    fn finish(&mut self, actions: &mut Vec<Action<R>>) {
        self.finished = true;
        let may_have_run = self.progress.iter().any(|progress| progress.possible_runs > 0);
        let mut failure = None;
        let mut replies = Vec::with_capacity(self.covered);
        let mut missing = Vec::new();
        for (index, progress) in self.progress.iter_mut().enumerate() {
            match std::mem::replace(&mut progress.state, State::Missing) {
                State::Covered(reply) => {
                    replies.push(reply);
                    continue;
                }
                State::Pending => missing.push((self.plan.services[index], Cause::Timeout)),
                State::Missing => missing.push((self.plan.services[index], progress.cause)),
            }
            failure = failure.or(progress.failure.take());
        }
        let single = self.progress.len() == 1;
        let outcome = match failure {
            _ if replies.len() >= self.plan.min_services => Outcome::Answer(replies),
            Some(reply) if single => Outcome::Failure(reply),
            _ if may_have_run => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        actions.push(Action::Finish(Response { outcome, missing }));
    }
}

/// Why no server of a service may be chosen though it has some: they are in evacuated data
/// centres, turn requests away until `accepts_at`, or name limits.
fn held_back(
    now: Time,
    service: Service,
    accepts_at: Option<Time>,
    balancer: &mut dyn Balancer,
) -> Option<Cause> {
    if balancer.is_evacuated(service) {
        return Some(Cause::Evacuated);
    }
    if balancer.is_limited(now, service) {
        return Some(Cause::Limited);
    }
    accepts_at.map(|_| Cause::TurnedAway)
}
