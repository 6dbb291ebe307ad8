//! A request that every server refuses.

use std::time::Duration;

use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::event::Action;
use gather::event::Advice;
use gather::event::Cause;
use gather::event::End;
use gather::event::Event;
use gather::event::Word;
use gather::machine::Machine;
use gather::plan::Plan;
use replica::table::Selection;

/// Two servers that are idle, and a budget without end.
struct Idle {
    extra: u32,
}

impl Advice for Idle {
    fn choose(
        &mut self,
        _now: Time,
        _service: Service,
        work: Duration,
        tried: &[Server],
    ) -> Option<Selection> {
        let free = [0, 1].map(Server::from_u32).into_iter().find(|s| !tried.contains(s))?;
        Some(Selection { server: free, expected_latency: work, saturated: false })
    }

    fn first(&mut self, _now: Time, _service: Service) {}

    fn spent(&mut self, _now: Time, _service: Service) -> f64 {
        0.0
    }

    fn extra(&mut self, _now: Time, _service: Service) -> bool {
        self.extra += 1;
        true
    }

    fn give_back(&mut self, _now: Time, _service: Service) {}
}

/// Extra sends that one request may take from the budget of all.
const MOST_EXTRA: u32 = 8;

#[test]
fn refused_request_does_not_use_up_the_budget() {
    let start = Time::from_millis(1000);
    let plan = Plan {
        parts: [Service::from_u32(0)].into_iter().collect(),
        least: 1,
        idempotent: true,
        attempts: 2,
        objective: start + Duration::from_secs(2),
        limit: start + Duration::from_secs(8),
        work: Duration::from_millis(10),
    };
    let mut machine: Machine<()> = Machine::new(plan);
    let mut advice = Idle { extra: 0 };
    let mut now = start;
    let mut event = Event::Start;
    loop {
        let mut actions = Vec::new();
        machine.handle(now, event, &mut advice, &mut actions);
        let mut next = Event::Timer;
        for action in actions {
            match action {
                Action::Send { attempt, .. } => {
                    now = now + Duration::from_millis(1);
                    next = Event::Ended { attempt, end: End::Refused };
                }
                Action::Wake(at) => now = now.max(at),
                Action::Finish(last) => {
                    assert_eq!(last.word, Word::NotRun);
                    assert_eq!(last.missing, [(Service::from_u32(0), Cause::Refused)]);
                    assert!(advice.extra < MOST_EXTRA, "{} extra sends", advice.extra);
                    return;
                }
            }
        }
        event = next;
    }
}
