//! The controller: what arrives runs, waits or is refused.
//!
//! A request that can't be finished in time by what is known now is refused on
//! arrival. One that waits is refused as soon as its part of the deadline for
//! waiting is spent, so that no refusal comes close to the deadline, and again
//! when its turn has come too late.
//!
//! Invariant: the cost that runs exceeds the limit only by the one request that
//! an idle controller always lets in; a refused request never ran.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::limit::Limit;
use crate::queue::Queue;
use crate::queue::Waiting;
use crate::request::Action;
use crate::request::Decision;
use crate::request::Feedback;
use crate::request::Id;
use crate::request::Rejection;
use crate::request::Request;
use crate::service_time::Expect;
use crate::settings::Settings;
use base::time::Time;
use conf::object::Admit;
use wire::caller::Cause;

/// How long pressure counts as overload after its last sign.
const PRESSURE: Duration = Duration::from_millis(200);
/// The shortest time to come back.
const LEAST_RETRY: Duration = Duration::from_millis(20);
/// The longest time to come back.
const MOST_RETRY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Running {
    since: Time,
    cost: u32,
}

/// Admission for one service on one node.
pub struct Controller {
    settings: Settings,
    limit: Limit,
    expect: Expect,
    queue: Queue,
    running: BTreeMap<Id, Running>,
    running_cost: u64,
    next: u64,
    pressed: Option<Time>,
    refused: u64,
    rng: ChaCha8Rng,
}

impl Controller {
    /// An idle controller.
    pub fn new(settings: Settings) -> Self {
        Self {
            limit: Limit::new(settings.admit.most_running, settings.admit.learn, settings.share),
            expect: Expect::new(settings.first_guess),
            queue: Queue::new(settings.full_cost),
            running: BTreeMap::new(),
            running_cost: 0,
            next: 0,
            pressed: None,
            refused: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Takes in a changed policy or shard map; what runs and waits goes on.
    pub fn update(&mut self, admit: &Admit, shards: u32) {
        self.limit.set(admit.most_running, admit.learn, self.settings.share);
        self.settings.admit = admit.clone();
        self.settings.full_cost = shards.max(1);
    }

    /// Takes in the requests to all shards that this node's part of the
    /// upstreams' slots can run at once.
    pub fn set_share(&mut self, part: Option<f64>) {
        let admit = &self.settings.admit;
        self.limit.set(admit.most_running, admit.learn, part);
        self.settings.share = part;
    }

    /// Decides on a request that arrives. When the queue is full, another one
    /// may have to make room; `actions` then gets its refusal.
    pub fn admit(&mut self, now: Time, ask: Request, actions: &mut Vec<Action>) -> Decision {
        let wait = self.wait(&ask);
        if self.is_hopeless(now + wait, &ask) {
            return Decision::Rejected(self.refuse(now, Cause::Deadline));
        }
        let id = self.name();
        if self.queue.is_empty() && self.has_room(ask.cost) {
            self.run(now, id, ask.cost);
            return Decision::Admitted(id);
        }
        let until = self.until(now, &ask);
        if self.settings.admit.deadline_aware && now + wait >= until {
            return Decision::Rejected(self.refuse(now, Cause::Overload));
        }
        self.queue.push(Waiting { id, ask, since: now, until });
        if self.queue.len() <= self.settings.admit.most_waiting as usize {
            return Decision::Queued(id);
        }
        let Some(victim) = self.queue.evict() else { return Decision::Queued(id) };
        let refusal = self.refuse(now, Cause::Overload);
        if victim.id == id {
            return Decision::Rejected(refusal);
        }
        actions.push(Action::Reject(victim.id, refusal));
        Decision::Queued(id)
    }

    /// Notes how a request that ran ended.
    pub fn release(&mut self, now: Time, id: Id, outcome: Feedback) -> Vec<Action> {
        let Some(run) = self.running.remove(&id) else { return Vec::new() };
        let used = self.running_cost + u64::from(self.settings.full_cost) > self.limit_cost();
        self.running_cost -= u64::from(run.cost);
        let took = now - run.since;
        let round = self.expect.mean();
        match outcome {
            Feedback::Done => {
                self.expect.sample(now, took);
                self.limit.good(now, used, self.expect.stretch(), round);
            }
            Feedback::Overloaded => {
                self.expect.sample(now, took);
                self.press(now);
                self.limit.bad(now, round);
            }
            Feedback::Late => {
                self.expect.sample(now, took);
                self.limit.bad(now, round);
            }
            Feedback::Other => {}
        }
        self.advance(now)
    }

    /// Takes a request back that waits or runs, since its caller left.
    pub fn cancel(&mut self, now: Time, id: Id) -> Vec<Action> {
        if self.queue.remove(id).is_some() {
            return Vec::new();
        }
        self.release(now, id, Feedback::Other)
    }

    /// Refuses what has waited for too long; to be called at [`Controller::next_expiry`].
    pub fn expire(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for waiting in self.queue.expire(now) {
            actions.push(Action::Reject(waiting.id, self.refuse(now, Cause::Overload)));
        }
        actions
    }

    /// When [`Controller::timer`] is to be called next.
    pub fn next_expiry(&self) -> Time {
        self.queue.next_expiry()
    }

    /// Whether hedges and retries must stop: a request was refused, here or by an
    /// upstream, or had to wait here for longer than requests run.
    pub fn overloaded(&self, now: Time) -> bool {
        self.pressed.is_some_and(|at| now.since(at) < PRESSURE)
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that may run at once.
    pub fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Requests that were refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Lets waiting requests in while there is room.
    fn advance(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire(now);
        while !self.queue.is_empty() && self.has_room(1) {
            let Some(next) = self.queue.pop() else { break };
            if self.is_hopeless(now, &next.ask) {
                actions.push(Action::Reject(next.id, self.refuse(now, Cause::Deadline)));
                continue;
            }
            if now - next.since > self.expect.mean() {
                self.press(now);
            }
            self.run(now, next.id, next.ask.cost);
            actions.push(Action::Run(next.id));
        }
        actions
    }

    fn name(&mut self) -> Id {
        self.next += 1;
        Id(self.next)
    }

    fn run(&mut self, now: Time, id: Id, cost: u32) {
        self.running.insert(id, Running { since: now, cost });
        self.running_cost += u64::from(cost);
    }

    fn limit_cost(&self) -> u64 {
        (self.limit.get() * f64::from(self.settings.full_cost)) as u64
    }

    fn has_room(&self, cost: u32) -> bool {
        self.running.is_empty() || self.running_cost + u64::from(cost) <= self.limit_cost()
    }

    /// How long a request is expected to wait.
    fn wait(&self, ask: &Request) -> Duration {
        if self.queue.is_empty() && self.has_room(ask.cost) {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(ask.priority) + u64::from(ask.cost);
        let rounds = ahead as f64 / self.limit_cost().max(1) as f64;
        self.expect.mean().mul_f64(rounds)
    }

    /// Whether a request that starts at `start` can't be expected to end in time.
    fn is_hopeless(&self, start: Time, ask: &Request) -> bool {
        let needs =
            if self.settings.admit.deadline_aware { self.expect.mean() } else { Duration::ZERO };
        start + needs > ask.deadline
    }

    /// When a request that arrives now has waited for too long.
    fn until(&self, now: Time, ask: &Request) -> Time {
        let left = ask.deadline - now;
        if !self.settings.admit.deadline_aware {
            return ask.deadline;
        }
        let part = left * self.settings.most_wait_percent / 100;
        now + part.min(left.saturating_sub(self.expect.most()))
    }

    fn press(&mut self, now: Time) {
        self.pressed = Some(now);
    }

    /// A refusal; the times to come back are spread, so that callers that were
    /// refused together don't come back together.
    fn refuse(&mut self, now: Time, cause: Cause) -> Rejection {
        self.press(now);
        self.refused += 1;
        let rounds = 1.0 + self.queue.len() as f64 / self.limit.get();
        let spread = self.rng.random_range(1.0..2.0);
        let retry_after = self.expect.mean().mul_f64(rounds * spread);
        Rejection { cause, retry_after: retry_after.clamp(LEAST_RETRY, MOST_RETRY) }
    }
}

impl fmt::Display for Controller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "running {} waiting {} limit {} expected {} us refused {}",
            self.running.len(),
            self.queue.len(),
            self.limit,
            self.expect.mean().as_micros(),
            self.refused,
        )
    }
}
