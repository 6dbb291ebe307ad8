//! The admission controller: an arriving request runs, waits, or is rejected.
//!
//! A request that is not expected to finish in time is rejected on arrival. A
//! waiting request is rejected as soon as it has used up the share of its deadline
//! that it may wait, so that a rejection is sent well before the deadline. It is
//! also rejected if it cannot finish in time any more when it could start.
//!
//! Invariant: the cost of the running requests stays within the limit, except that
//! an idle controller always admits one request; a rejected request never ran.

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
use crate::service_time::Estimator;
use crate::settings::Settings;
use base::time::Time;
use conf::object::Admission;
use wire::caller::Cause;

/// How long the controller reports overload after the last sign of it.
const OVERLOAD_HOLD: Duration = Duration::from_millis(200);
/// The shortest retry-after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// The longest retry-after.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Running {
    since: Time,
    cost: u32,
}

/// The admission controller of one service on one node.
pub struct Controller {
    settings: Settings,
    limit: Limit,
    service_time: Estimator,
    queue: Queue,
    running: BTreeMap<Id, Running>,
    running_cost: u64,
    last_id: u64,
    last_overload: Option<Time>,
    rejected: u64,
    rng: ChaCha8Rng,
}

impl Controller {
    /// Creates an idle controller.
    pub fn new(settings: Settings) -> Self {
        Self {
            limit: Limit::new(settings.admit.most_running, settings.admit.learn, settings.share),
            service_time: Estimator::new(settings.initial_service_time),
            queue: Queue::new(settings.full_cost),
            running: BTreeMap::new(),
            running_cost: 0,
            last_id: 0,
            last_overload: None,
            rejected: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Applies a changed policy or shard map; running and waiting requests are not
    /// affected.
    pub fn update(&mut self, admit: &Admission, shards: u32) {
        self.limit.set(admit.most_running, admit.learn, self.settings.share);
        self.settings.admit = admit.clone();
        self.settings.full_cost = shards.max(1);
    }

    /// Sets this node's share of the upstreams' slots, as the number of requests to
    /// all shards that it can run at once.
    pub fn set_share(&mut self, share: Option<f64>) {
        let admit = &self.settings.admit;
        self.limit.set(admit.most_running, admit.learn, share);
        self.settings.share = share;
    }

    /// Decides on an arriving request. If the queue is full, another request may be
    /// evicted; its rejection is then added to `actions`.
    pub fn admit(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) -> Decision {
        let expected_wait = self.expected_wait(&request);
        if self.cannot_meet_deadline(now + expected_wait, &request) {
            return Decision::Rejected(self.reject(now, Cause::Deadline));
        }
        let id = self.next_id();
        if self.queue.is_empty() && self.has_room(request.cost) {
            self.run(now, id, request.cost);
            return Decision::Admitted(id);
        }
        let expires_at = self.wait_deadline(now, &request);
        if self.settings.admit.deadline_aware && now + expected_wait >= expires_at {
            return Decision::Rejected(self.reject(now, Cause::Overload));
        }
        self.queue.push(Waiting { id, request, since: now, expires_at });
        if self.queue.len() <= self.settings.admit.most_waiting as usize {
            return Decision::Queued(id);
        }
        let Some(evicted) = self.queue.evict() else { return Decision::Queued(id) };
        let rejection = self.reject(now, Cause::Overload);
        if evicted.id == id {
            return Decision::Rejected(rejection);
        }
        actions.push(Action::Reject(evicted.id, rejection));
        Decision::Queued(id)
    }

    /// Releases the capacity of a request that ran, and takes `feedback` into
    /// account. Returns the actions for waiting requests.
    pub fn release(&mut self, now: Time, id: Id, feedback: Feedback) -> Vec<Action> {
        let Some(run) = self.running.remove(&id) else { return Vec::new() };
        let in_use = self.running_cost + u64::from(self.settings.full_cost) > self.limit_cost();
        self.running_cost -= u64::from(run.cost);
        let took = now - run.since;
        let mean = self.service_time.mean();
        match feedback {
            Feedback::Done => {
                self.service_time.sample(now, took);
                self.limit.on_success(now, in_use, self.service_time.slowdown(), mean);
            }
            Feedback::Overloaded => {
                self.service_time.sample(now, took);
                self.record_overload(now);
                self.limit.on_overload(now, mean);
            }
            Feedback::Late => {
                self.service_time.sample(now, took);
                self.limit.on_overload(now, mean);
            }
            Feedback::Other => {}
        }
        self.start_queued(now)
    }

    /// Cancels a waiting or running request.
    pub fn cancel(&mut self, now: Time, id: Id) -> Vec<Action> {
        if self.queue.remove(id).is_some() {
            return Vec::new();
        }
        self.release(now, id, Feedback::Other)
    }

    /// Rejects the requests that have waited for too long; to be called at
    /// [`Controller::next_expiry`].
    pub fn expire(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for waiting in self.queue.expire(now) {
            actions.push(Action::Reject(waiting.id, self.reject(now, Cause::Overload)));
        }
        actions
    }

    /// When [`Controller::expire`] must be called next.
    pub fn next_expiry(&self) -> Time {
        self.queue.next_expiry()
    }

    /// Whether hedges and retries must stop: a request was recently rejected here or
    /// refused by an upstream, or waited here longer than the mean service time.
    pub fn overloaded(&self, now: Time) -> bool {
        self.last_overload.is_some_and(|at| now.since(at) < OVERLOAD_HOLD)
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests to all shards that may run at once.
    pub fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Number of requests rejected so far.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Starts waiting requests while there is capacity.
    fn start_queued(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire(now);
        while !self.queue.is_empty() && self.has_room(1) {
            let Some(next) = self.queue.pop() else { break };
            if self.cannot_meet_deadline(now, &next.request) {
                actions.push(Action::Reject(next.id, self.reject(now, Cause::Deadline)));
                continue;
            }
            if now - next.since > self.service_time.mean() {
                self.record_overload(now);
            }
            self.run(now, next.id, next.request.cost);
            actions.push(Action::Run(next.id));
        }
        actions
    }

    fn next_id(&mut self) -> Id {
        self.last_id += 1;
        Id(self.last_id)
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

    /// How long an arriving request is expected to wait.
    fn expected_wait(&self, request: &Request) -> Duration {
        if self.queue.is_empty() && self.has_room(request.cost) {
            return Duration::ZERO;
        }
        let ahead = self.queue.cost_ahead(request.priority) + u64::from(request.cost);
        let rounds = ahead as f64 / self.limit_cost().max(1) as f64;
        self.service_time.mean().mul_f64(rounds)
    }

    /// Whether a request that starts at `start` is expected to miss its deadline.
    fn cannot_meet_deadline(&self, start: Time, request: &Request) -> bool {
        let service_time = if self.settings.admit.deadline_aware {
            self.service_time.mean()
        } else {
            Duration::ZERO
        };
        start + service_time > request.deadline
    }

    /// Until when a request that arrives now may wait.
    fn wait_deadline(&self, now: Time, request: &Request) -> Time {
        let left = request.deadline - now;
        if !self.settings.admit.deadline_aware {
            return request.deadline;
        }
        let max_wait = left * self.settings.max_wait_percent / 100;
        now + max_wait.min(left.saturating_sub(self.service_time.upper_bound()))
    }

    fn record_overload(&mut self, now: Time) {
        self.last_overload = Some(now);
    }

    /// Creates a rejection. The retry-after has random jitter, so that callers that
    /// were rejected together do not retry together.
    fn reject(&mut self, now: Time, cause: Cause) -> Rejection {
        self.record_overload(now);
        self.rejected += 1;
        let rounds = 1.0 + self.queue.len() as f64 / self.limit.get();
        let jitter = self.rng.random_range(1.0..2.0);
        let retry_after = self.service_time.mean().mul_f64(rounds * jitter);
        Rejection { cause, retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
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
            self.service_time.mean().as_micros(),
            self.rejected,
        )
    }
}
