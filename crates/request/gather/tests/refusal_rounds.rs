//! A request that every server refuses.

use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::event::Action;
use gather::event::Balancer;
use gather::event::Cause;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Outcome;
use gather::machine::Machine;
use gather::plan::Plan;
use replica::table::Selection;

/// Two idle servers and an unlimited budget.
struct IdleServers {
    extra: u32,
}

impl Balancer for IdleServers {
    fn choose(
        &mut self,
        _now: Time,
        _service: Service,
        usual_service_time: Duration,
        tried: &[Server],
    ) -> Option<Selection> {
        let free = [0, 1].map(Server::from_u32).into_iter().find(|s| !tried.contains(s))?;
        Some(Selection { server: free, expected_latency: usual_service_time, saturated: false })
    }

    fn accepts_at(&mut self, _now: Time, _service: Service) -> Option<Time> {
        None
    }

    fn first_send(&mut self, _now: Time, _service: Service) {}

    fn used_fraction(&mut self, _now: Time, _service: Service) -> f64 {
        0.0
    }

    fn take_extra(&mut self, _now: Time, _service: Service) -> bool {
        self.extra += 1;
        true
    }

    fn refund(&mut self, _now: Time, _service: Service, _taken: Time) {}
}

/// The bound on the extra sends that one request may take from the shared budget.
const MAX_EXTRA: u32 = 8;

#[test]
fn refused_request_does_not_use_up_the_budget() {
    let start = Time::from_millis(1000);
    let plan = Plan {
        services: [Service::from_u32(0)].into_iter().collect(),
        min_services: 1,
        idempotent: true,
        max_attempts: 2,
        soft_deadline: start + Duration::from_secs(2),
        deadline: start + Duration::from_secs(8),
        usual_service_time: Duration::from_millis(10),
        own_work: Duration::ZERO,
    };
    let mut machine: Machine<()> = Machine::new(plan);
    let mut balancer = IdleServers { extra: 0 };
    let mut now = start;
    let mut event = Event::Start;
    loop {
        let mut actions = Vec::new();
        machine.handle(now, event, &mut balancer, &mut actions);
        let mut next = Event::Timer;
        for action in actions {
            match action {
                Action::Send { attempt, .. } => {
                    now = now + Duration::from_millis(1);
                    next = Event::Ended { attempt, completion: Completion::Refused };
                }
                Action::Wake(at) => now = now.max(at),
                Action::Finish(response) => {
                    assert_eq!(response.outcome, Outcome::NotRun);
                    assert_eq!(response.missing, [(Service::from_u32(0), Cause::Refused)]);
                    assert!(balancer.extra < MAX_EXTRA, "{} extra sends", balancer.extra);
                    return;
                }
            }
        }
        event = next;
    }
}
