//! Pattern: a request to many services on a small VM, whose own work on the sends and replies
//! takes longer than the servers do.

use std::time::Duration;

use base::entity::Attempt;
use base::entity::Server;
use base::entity::Service;
use base::time::Time;
use gather::event::Action;
use gather::event::Balancer;
use gather::event::Event;
use gather::event::Purpose;
use gather::machine::Machine;
use gather::plan::Plan;
use replica::table::Selection;

const SERVICES: u32 = 36;
const SERVICE_TIME: Duration = Duration::from_millis(8);
/// The node's work on one send and its reply.
const WORK: Duration = Duration::from_micros(600);

/// Idle servers and an unlimited budget.
struct IdleServers;

impl Balancer for IdleServers {
    fn choose(
        &mut self,
        _now: Time,
        _service: Service,
        usual_service_time: Duration,
        tried: &[Server],
    ) -> Option<Selection> {
        let server = Server::from_u32(tried.len() as u32);
        Some(Selection { server, expected_latency: usual_service_time, saturated: false })
    }

    fn accepts_at(&mut self, _now: Time, _service: Service) -> Option<Time> {
        None
    }

    fn first_send(&mut self, _now: Time, _service: Service) {}

    fn used_fraction(&mut self, _now: Time, _service: Service) -> f64 {
        0.0
    }

    fn take_extra(&mut self, _now: Time, _service: Service) -> bool {
        true
    }

    fn refund(&mut self, _now: Time, _service: Service, _taken: Time) {}
}

/// Runs a request whose services reply at the usual time, except `silent` of them; the node
/// handles one reply after the other. Returns the number of hedges, and when the first was sent.
fn hedges(silent: u32) -> (usize, Duration) {
    let start = Time::from_millis(1000);
    let plan = Plan {
        services: (0..SERVICES).map(Service::from_u32).collect(),
        min_services: SERVICES as usize,
        idempotent: true,
        max_attempts: 2,
        soft_deadline: start + Duration::from_millis(150),
        deadline: start + Duration::from_millis(800),
        usual_service_time: SERVICE_TIME,
        own_work: WORK * SERVICES,
    };
    let mut machine: Machine<()> = Machine::new(plan);
    let mut actions = Vec::new();
    machine.handle(start, Event::Start, &mut IdleServers, &mut actions);
    let mut wake = Time::NEVER;
    let mut hedged = Vec::new();
    let note =
        |actions: &mut Vec<Action<()>>, now: Time, hedged: &mut Vec<Time>, wake: &mut Time| {
            for action in actions.drain(..) {
                match action {
                    Action::Send { purpose: Purpose::Hedge, .. } => hedged.push(now),
                    Action::Wake(at) => *wake = at,
                    _ => {}
                }
            }
        };
    note(&mut actions, start, &mut hedged, &mut wake);
    let mut now = start + SERVICE_TIME;
    for number in silent..SERVICES {
        now = now + WORK;
        while wake <= now {
            machine.handle(wake, Event::Timer, &mut IdleServers, &mut actions);
            let at = wake;
            wake = Time::NEVER;
            note(&mut actions, at, &mut hedged, &mut wake);
        }
        let event = Event::Answered { attempt: Attempt::from_u32(number), reply: () };
        machine.handle(now, event, &mut IdleServers, &mut actions);
        note(&mut actions, now, &mut hedged, &mut wake);
    }
    while silent > 0 && hedged.len() < silent as usize && wake < Time::NEVER {
        let at = wake;
        wake = Time::NEVER;
        machine.handle(at, Event::Timer, &mut IdleServers, &mut actions);
        note(&mut actions, at, &mut hedged, &mut wake);
    }
    let first = hedged.first().map_or(Duration::ZERO, |at| at.since(start));
    (hedged.len(), first)
}

#[test]
fn own_work_causes_no_hedges() {
    assert_eq!(hedges(0).0, 0);
}

/// Servers that don't reply are still hedged early enough for an answer in time.
#[test]
fn silent_servers_are_hedged_in_time() {
    let (count, first) = hedges(2);
    assert_eq!(count, 2);
    assert!(first < Duration::from_millis(75), "{first:?}");
}
