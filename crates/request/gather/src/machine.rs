//! The state machine of one request.
//!
//! Invariants: a request that must not run twice is sent again only after it
//! certainly did not run. A service's answer is taken once. The last word is
//! said once, as soon as nothing that is still awaited can improve it, and by
//! the plan's limit at the latest.

use std::time::Duration;

use crate::event::Action;
use crate::event::Advice;
use crate::event::Cause;
use crate::event::End;
use crate::event::Event;
use crate::event::Final;
use crate::event::Turn;
use crate::event::Word;
use crate::plan::Plan;
use crate::plan::REFUSED_PAUSE;
use crate::progress::Slot;
use crate::progress::State;
use crate::progress::Tries;
use crate::progress::Try;
use base::entity::Attempt;
use base::time::Time;
use replica::table::Selection;

/// The part of the budget that hedges may spend: the rest is for requests that
/// a server refused or failed.
const HEDGE_PART: f64 = 0.75;
/// How long a slot waits for a budget that is spent or servers that are busy.
const DEFER: Duration = Duration::from_millis(15);

/// The most sends of one request to one service, refused ones included: beyond
/// them it is lost, so that one request does not use up the budget of all.
const MOST_SENDS: u32 = 8;

/// One request.
#[derive(Debug)]
pub struct Machine<R> {
    plan: Plan,
    slots: Vec<Slot<R>>,
    tries: Tries,
    open: usize,
    covered: usize,
    wake: Time,
    done: bool,
}

impl<R> Machine<R> {
    /// A request that waits for [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let parts = plan.parts.len();
        Self {
            plan,
            slots: (0..parts).map(|_| Slot::new()).collect(),
            tries: Tries::with_capacity(parts + parts / 4),
            open: parts,
            covered: 0,
            wake: Time::NEVER,
            done: false,
        }
    }

    /// What it is run by.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Handles one event; what is to be done is added to `actions`.
    pub fn handle(
        &mut self,
        now: Time,
        event: Event<R>,
        advice: &mut dyn Advice,
        actions: &mut Vec<Action<R>>,
    ) {
        if self.done {
            return;
        }
        match event {
            Event::Start => self.start(now, advice, actions),
            Event::Answered { attempt, reply } => self.answered(attempt, reply),
            Event::Ended { attempt, end } => self.ended(now, attempt, end, advice, actions),
            Event::Timer => self.timer(now, advice, actions),
        }
        self.settle(now, actions);
    }

    /// Chooses a server for each service. If too few of them can answer, nothing
    /// is sent, so that the request has certainly not run.
    fn start(&mut self, now: Time, advice: &mut dyn Advice, actions: &mut Vec<Action<R>>) {
        let mut chosen = Vec::with_capacity(self.slots.len());
        for at in 0..self.slots.len() {
            let choice = advice.choose(now, self.plan.parts[at], self.plan.work, &[]);
            match choice {
                Some(choice) if self.plan.admits(now, &choice) => chosen.push((at, choice)),
                Some(_) => self.slots[at].cause = Cause::Busy,
                None => {}
            }
        }
        let hopeless = chosen.len() < self.plan.least;
        let mut next = chosen.into_iter().peekable();
        for at in 0..self.slots.len() {
            let choice = next.next_if(|(slot, _)| *slot == at);
            match choice {
                Some((_, choice)) if !hopeless => {
                    advice.first(now, self.plan.parts[at]);
                    self.send(now, at, choice, Turn::First, false, advice, actions);
                }
                _ => self.lose(at),
            }
        }
    }

    /// Asks one more server for a slot, if one may be asked.
    fn ask(
        &mut self,
        now: Time,
        at: usize,
        turn: Turn,
        advice: &mut dyn Advice,
        actions: &mut Vec<Action<R>>,
    ) {
        let service = self.plan.parts[at];
        let slot = &mut self.slots[at];
        slot.alarm = Time::NEVER;
        if slot.ran >= self.plan.attempts || slot.sends >= MOST_SENDS {
            return self.lose(at);
        }
        let Some(choice) = advice.choose(now, service, self.plan.work, &slot.tried) else {
            return self.none_left(now, at, turn);
        };
        if !self.plan.admits(now, &choice) {
            return self.defer(now, at, turn, Cause::Busy);
        }
        let extra = slot.reached || turn == Turn::Hedge;
        if extra && !self.afford(now, at, turn, advice) {
            return self.defer(now, at, turn, Cause::Budget);
        }
        self.send(now, at, choice, turn, extra, advice, actions);
    }

    fn send(
        &mut self,
        now: Time,
        at: usize,
        choice: Selection,
        turn: Turn,
        extra: bool,
        advice: &mut dyn Advice,
        actions: &mut Vec<Action<R>>,
    ) {
        let service = self.plan.parts[at];
        let slot = &mut self.slots[at];
        slot.tried.push(choice.server);
        slot.sends += 1;
        slot.live += 1;
        slot.ran += 1;
        let spent = advice.spent(now, service);
        if self.plan.idempotent {
            slot.alarm = self.plan.hedge(now, choice.expected_latency, spent);
        }
        let attempt = self.tries.push(Try { slot: at, extra, live: true });
        actions.push(Action::Send { attempt, service, choice, turn, extra, spent });
    }

    /// Takes an extra send from the budget; hedges leave the last part of it to
    /// retries.
    fn afford(&self, now: Time, at: usize, turn: Turn, advice: &mut dyn Advice) -> bool {
        let service = self.plan.parts[at];
        let kept = turn == Turn::Hedge && advice.spent(now, service) > HEDGE_PART;
        !kept && advice.extra(now, service)
    }

    /// Lets a slot wait a little before it tries again, while there is time.
    fn defer(&mut self, now: Time, at: usize, turn: Turn, cause: Cause) {
        let again = now + DEFER;
        let slot = &mut self.slots[at];
        if again < self.plan.objective {
            slot.alarm = again;
        } else if turn != Turn::Hedge {
            slot.cause = cause;
            self.lose(at);
        }
    }

    /// All servers of a slot were asked: those that refused may be asked again.
    fn none_left(&mut self, now: Time, at: usize, turn: Turn) {
        let slot = &mut self.slots[at];
        let refused = slot.live == 0 && slot.ran == 0 && slot.reached;
        let again = now + REFUSED_PAUSE;
        if turn != Turn::Hedge && refused && again < self.plan.objective {
            slot.tried.clear();
            slot.alarm = again;
            return;
        }
        self.lose(at);
    }

    /// Gives a slot up unless an attempt may still answer.
    fn lose(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        if slot.is_open() && slot.live == 0 {
            slot.state = State::Lost;
            self.open -= 1;
        }
    }

    fn answered(&mut self, attempt: Attempt, reply: R) {
        let Some(at) = self.end(attempt) else { return };
        let slot = &mut self.slots[at];
        slot.reached = true;
        if slot.is_open() {
            slot.state = State::Covered(reply);
            slot.alarm = Time::NEVER;
            self.open -= 1;
            self.covered += 1;
        }
    }

    /// Marks an attempt as ended; gives its slot.
    fn end(&mut self, attempt: Attempt) -> Option<usize> {
        let entry = self.tries.get_mut(attempt)?;
        if !std::mem::replace(&mut entry.live, false) {
            return None;
        }
        let at = entry.slot;
        self.slots[at].live -= 1;
        Some(at)
    }

    fn ended(
        &mut self,
        now: Time,
        attempt: Attempt,
        end: End<R>,
        advice: &mut dyn Advice,
        actions: &mut Vec<Action<R>>,
    ) {
        let Some(at) = self.end(attempt) else { return };
        let extra = self.tries[attempt].extra;
        let service = self.plan.parts[at];
        let slot = &mut self.slots[at];
        match end {
            End::NotSent => {
                slot.ran -= 1;
                slot.cause = Cause::NoServer;
                if extra {
                    advice.give_back(now, service);
                }
            }
            End::Refused => {
                slot.ran -= 1;
                slot.reached = true;
                slot.cause = Cause::Refused;
            }
            End::Failed(reply) => {
                slot.reached = true;
                slot.failure = Some(reply);
                slot.cause = Cause::Failed;
            }
            End::Unknown => {
                slot.reached = true;
                slot.cause = Cause::Failed;
            }
        }
        if !slot.is_open() || slot.live > 0 {
            return;
        }
        if !self.plan.idempotent && slot.ran > 0 {
            return self.lose(at);
        }
        self.ask(now, at, Turn::Retry, advice, actions);
    }

    fn timer(&mut self, now: Time, advice: &mut dyn Advice, actions: &mut Vec<Action<R>>) {
        self.wake = Time::NEVER;
        for at in 0..self.slots.len() {
            let slot = &self.slots[at];
            if slot.is_open() && slot.alarm <= now {
                let turn = if slot.live > 0 { Turn::Hedge } else { Turn::Retry };
                self.ask(now, at, turn, advice, actions);
            }
        }
    }

    /// Says the last word if it is time, else asks to be woken.
    fn settle(&mut self, now: Time, actions: &mut Vec<Action<R>>) {
        let enough = self.covered >= self.plan.least;
        let hopeless = self.covered + self.open < self.plan.least;
        let late = now >= self.plan.objective && enough;
        if self.open == 0 || hopeless || late || now >= self.plan.limit {
            return self.finish(actions);
        }
        let mut next = self.plan.limit;
        if now < self.plan.objective {
            next = next.min(self.plan.objective);
        }
        let open = self.slots.iter().filter(|slot| slot.is_open());
        next = open.map(|slot| slot.alarm).fold(next, Time::min);
        if next != self.wake {
            self.wake = next;
            actions.push(Action::Wake(next));
        }
    }

    fn finish(&mut self, actions: &mut Vec<Action<R>>) {
        self.done = true;
        let may_have_run = self.slots.iter().any(|slot| slot.ran > 0);
        let mut failure = None;
        let mut replies = Vec::with_capacity(self.covered);
        let mut missing = Vec::new();
        for (at, slot) in self.slots.iter_mut().enumerate() {
            match std::mem::replace(&mut slot.state, State::Lost) {
                State::Covered(reply) => {
                    replies.push(reply);
                    continue;
                }
                State::Open => missing.push((self.plan.parts[at], Cause::Timeout)),
                State::Lost => missing.push((self.plan.parts[at], slot.cause)),
            }
            failure = failure.or(slot.failure.take());
        }
        let single = self.slots.len() == 1;
        let word = match failure {
            _ if replies.len() >= self.plan.least => Word::Answer(replies),
            Some(reply) if single => Word::Failure(reply),
            _ if may_have_run => Word::Unknown,
            _ => Word::NotRun,
        };
        actions.push(Action::Finish(Final { word, missing }));
    }
}
