//! A request that may end the servers that run it.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::event::Action;
use gather::event::Balancer;
use gather::event::Cause;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Outcome;
use gather::event::Response;
use gather::machine::Machine;
use gather::plan::Plan;
use poison::ledger::Standing;
use replica::table::Selection;

const START: Time = Time::from_millis(1000);
const SHARDS: u32 = 10;

/// Three idle servers of each shard, and an unlimited budget.
struct IdleServers {
    standing: Standing,
    first_sends: usize,
    has_recent_end: bool,
}

impl Balancer for IdleServers {
    fn choose(
        &mut self,
        _now: Time,
        service: Service,
        usual_service_time: Duration,
        tried: &[Server],
    ) -> Option<Selection> {
        let servers = (0..3).map(|replica| Server::from_u32(service.as_u32() * 3 + replica));
        let server = servers.into_iter().find(|server| !tried.contains(server))?;
        Some(Selection { server, expected_latency: usual_service_time, saturated: false })
    }

    fn accepts_at(&mut self, _now: Time, _service: Service) -> Option<Time> {
        None
    }

    fn standing(&mut self, _now: Time) -> Standing {
        self.standing
    }

    fn has_recent_end(&mut self, _now: Time) -> bool {
        self.has_recent_end
    }

    fn first_send(&mut self, _now: Time, _service: Service) {
        self.first_sends += 1;
    }

    fn used_fraction(&mut self, _now: Time, _service: Service) -> f64 {
        0.0
    }

    fn take_extra(&mut self, _now: Time, _service: Service) -> bool {
        true
    }

    fn refund(&mut self, _now: Time, _service: Service, _taken: Time) {}
}

/// A search over all shards.
struct Search {
    machine: Machine<u32>,
    balancer: IdleServers,
    now: Time,
    wake: Time,
    /// The attempts that are in flight.
    running: Vec<Attempt>,
    sends: usize,
    response: Option<Response<u32>>,
}

impl Search {
    fn new(standing: Standing) -> Self {
        let plan = Plan {
            services: (0..SHARDS).map(Service::from_u32).collect(),
            min_services: 9,
            idempotent: true,
            max_attempts: 2,
            soft_deadline: START + Duration::from_millis(300),
            deadline: START + Duration::from_millis(800),
            usual_service_time: Duration::from_millis(10),
            own_work: Duration::ZERO,
        };
        let mut search = Self {
            machine: Machine::new(plan),
            balancer: IdleServers { standing, first_sends: 0, has_recent_end: false },
            now: START,
            wake: Time::NEVER,
            running: Vec::new(),
            sends: 0,
            response: None,
        };
        search.handle(Event::Start);
        search
    }

    fn handle(&mut self, event: Event<u32>) {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut self.balancer, &mut actions);
        for action in actions {
            match action {
                Action::Send { attempt, .. } => {
                    self.running.push(attempt);
                    self.sends += 1;
                }
                Action::Wake(at) => self.wake = at,
                Action::Finish(response) => self.response = Some(response),
            }
        }
    }

    fn wake(&mut self) {
        self.now = self.now.max(self.wake);
        self.handle(Event::Timer);
    }

    fn answer(&mut self) {
        let attempt = self.running.remove(0);
        self.handle(Event::Answered { attempt, reply: 1 });
    }

    fn break_off(&mut self) {
        let attempt = self.running.remove(0);
        self.handle(Event::Ended { attempt, completion: Completion::Unknown });
    }
}

fn blocked() -> Standing {
    Standing::Blocked { until: START + Duration::from_secs(60) }
}

/// Guards against a search that ends a server of each shard at once, though it is suspected.
#[test]
fn suspect_search_is_at_one_server_at_a_time() {
    let mut search = Search::new(Standing::Suspect);
    for _ in 0..10 {
        assert_eq!(search.running.len(), 1);
        search.wake();
    }
    search.break_off();
    search.wake();
    assert_eq!(search.running.len(), 1);
    assert_eq!(search.sends, 2);
}

/// Guards against callers who wait since their requests ran beside one that ended a server.
#[test]
fn suspect_search_that_is_answered_goes_on_at_once() {
    let mut search = Search::new(Standing::Suspect);
    search.balancer.standing = Standing::Clear;
    search.answer();
    assert_eq!(search.running.len(), SHARDS as usize - 1);
    assert_eq!(search.balancer.first_sends, SHARDS as usize);
    while !search.running.is_empty() {
        search.answer();
    }
    let response = search.response.expect("a response");
    assert!(matches!(response.outcome, Outcome::Answer(replies) if replies.len() == 10));
}

/// Guards against hedges that end a second server while the first one still runs the request.
#[test]
fn suspect_request_is_not_hedged() {
    let mut search = Search::new(Standing::Suspect);
    while search.response.is_none() {
        search.wake();
    }
    assert_eq!(search.sends, 1);
}

/// Guards against fewer hedges of ordinary searches while no request ends servers.
#[test]
fn search_hedges_all_shards_while_no_server_ends() {
    let mut search = Search::new(Standing::Clear);
    while search.now < START + Duration::from_millis(200) {
        search.wake();
    }
    assert_eq!(search.sends, 2 * SHARDS as usize);
}

/// Guards against hedges of all shards of a search that is about to end its servers, shortly after
/// others have.
#[test]
fn search_without_an_answer_hedges_few_shards() {
    let mut search = Search::new(Standing::Clear);
    search.balancer.has_recent_end = true;
    while search.now < START + Duration::from_millis(200) {
        search.wake();
    }
    assert_eq!(search.sends, SHARDS as usize + 2);
    search.answer();
    search.wake();
    assert_eq!(search.sends, 2 * SHARDS as usize);
}

#[test]
fn blocked_request_is_refused_at_once_as_not_run() {
    let search = Search::new(blocked());
    let response = search.response.expect("a response");
    assert_eq!(response.outcome, Outcome::NotRun);
    assert!(response.missing.iter().all(|(_, cause)| *cause == Cause::Poison));
    assert_eq!(search.sends, 0);
}

/// Guards against repeats of a request that is blocked while it runs, and against "not run" for
/// one that ran.
#[test]
fn request_that_is_blocked_while_it_runs_is_not_repeated() {
    let mut search = Search::new(Standing::Suspect);
    search.balancer.standing = blocked();
    search.wake();
    assert_eq!(search.running.len(), 1);
    search.break_off();
    assert_eq!(search.sends, 1);
    assert_eq!(search.response.expect("a response").outcome, Outcome::Unknown);
}

#[test]
fn held_request_waits_until_it_is_cleared() {
    let mut search = Search::new(Standing::Held);
    search.wake();
    assert_eq!(search.sends, 0);
    search.balancer.standing = Standing::Clear;
    search.wake();
    assert_eq!(search.sends, SHARDS as usize);
}
