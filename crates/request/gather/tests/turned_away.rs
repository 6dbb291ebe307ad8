//! Requests to services whose servers turn requests away for a time that they state, or are outside
//! of the request's homes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use base::entity::Service;
use base::region;
use base::time::Time;
use gather::event::Action;
use gather::event::Cause;
use gather::event::Completion;
use gather::event::Event;
use gather::event::Outcome;
use gather::event::Response;
use gather::machine::Machine;
use gather::plan::Plan;
use gather::refusal;
use gather::resources::NodeBalancer;
use poison::ledger::Standing;
use replica::budget;
use replica::budget::Budget;
use replica::table::Choice;
use replica::table::Locality;
use replica::table::Observation;
use replica::table::Table;
use site::fleet::Change;
use site::register::Entry;
use site::register::Incarnation;

const START: Time = Time::from_millis(1000);
const ASKED: Duration = Duration::from_secs(3);
const SERVICE_TIME: Duration = Duration::from_millis(10);
const SHARDS: usize = 4;

/// A node's servers and budget.
struct Node {
    table: Table,
    budget: Budget,
    services: Vec<Service>,
    homes: region::Set,
}

impl Node {
    /// Two servers for each shard.
    fn new() -> Self {
        let locality = Locality { data_centre: Arc::from("hall"), regions: HashMap::new() };
        let mut table = Table::new(locality, 1);
        for number in 0..SHARDS * 2 {
            let entry = Entry {
                incarnation: Incarnation { id: Arc::from(format!("s{number}")), born: 1 },
                service: Arc::from(format!("shard-{}", number / 2)),
                address: "10.0.0.1:80".parse().expect("an address"),
                data_centre: Arc::from("hall"),
                slots: 4,
                draining: false,
                warmup: Duration::ZERO,
            };
            table.apply(START, &Change::Up(entry));
        }
        let name = |shard| Arc::from(format!("shard-{shard}"));
        let services = (0..SHARDS).map(|shard| table.intern_service(&name(shard))).collect();
        let settings =
            budget::Settings { ratio: 0.2, window: Duration::from_secs(10), slack: 50.0 };
        Self { table, budget: Budget::new(settings), services, homes: region::Set::ANY }
    }

    /// Runs a request that is sent to all shards; the servers of those for which `turns_away`
    /// is true turn it away. Returns the response, when it was made and the number of sends.
    fn request(&mut self, min: usize, turns_away: fn(usize) -> bool) -> (Response<()>, Time, u32) {
        let plan = Plan {
            services: self.services.clone().into(),
            min_services: min,
            idempotent: true,
            max_attempts: 3,
            soft_deadline: START + Duration::from_millis(400),
            deadline: START + Duration::from_millis(800),
            usual_service_time: SERVICE_TIME,
            own_work: Duration::ZERO,
        };
        let mut machine: Machine<()> = Machine::new(plan);
        let (mut now, mut sends) = (START, 0);
        let mut events = vec![Event::Start];
        loop {
            let mut actions = Vec::new();
            let event = if events.is_empty() { Event::Timer } else { events.remove(0) };
            let mut balancer = NodeBalancer {
                table: &mut self.table,
                budget: &mut self.budget,
                choice: Choice { homes: self.homes, ..Choice::default() },
                standing: Standing::Clear,
                has_recent_end: false,
            };
            machine.handle(now, event, &mut balancer, &mut actions);
            for action in actions {
                match action {
                    Action::Send { attempt, service, selection, .. } => {
                        sends += 1;
                        let server = selection.server;
                        self.table.started(now, server);
                        let shard = self.services.iter().position(|known| *known == service);
                        let refused = turns_away(shard.expect("a shard"));
                        let observation = if refused {
                            self.table.turned_away(now, server, ASKED);
                            Observation::Refused { load: None }
                        } else {
                            Observation::Replied { load: None }
                        };
                        self.table.observe(now, server, now, now, SERVICE_TIME, observation);
                        events.push(if refused {
                            Event::Ended { attempt, completion: Completion::Refused }
                        } else {
                            Event::Answered { attempt, reply: () }
                        });
                    }
                    Action::Wake(at) if events.is_empty() => now = now.max(at),
                    Action::Wake(_) => {}
                    Action::Finish(response) => return (response, now, sends),
                }
            }
        }
    }
}

/// Pattern: a whole shard turns away at once. Guards against a request that waits for it until
/// its deadline.
#[test]
fn request_is_refused_at_once_when_a_needed_shard_turns_away() {
    let mut node = Node::new();
    let (_, _, first_sends) = node.request(SHARDS, |shard| shard == 1);
    assert!(first_sends > 0);
    let (response, at, sends) = node.request(SHARDS, |shard| shard == 1);
    assert_eq!(response.outcome, Outcome::NotRun);
    assert_eq!(response.missing[1].1, Cause::TurnedAway);
    assert_eq!((at, sends), (START, 0), "refused before anything was sent");
}

/// Pattern: the same, and the answer may leave the shard out.
#[test]
fn shard_that_turns_away_is_left_out_with_its_reason() {
    let mut node = Node::new();
    for _ in 0..2 {
        let (response, at, sends) = node.request(SHARDS - 1, |shard| shard == 1);
        assert!(matches!(response.outcome, Outcome::Answer(ref replies) if replies.len() == 3));
        assert_eq!(response.missing, [(node.services[1], Cause::TurnedAway)]);
        assert_eq!(at, START);
        assert!(sends as usize <= SHARDS + 1, "{sends} sends");
    }
}

/// Guards against a request that waits for servers of its homes though there are none, and against a
/// cause that sends the operator to look for missing servers.
#[test]
fn request_without_servers_in_its_homes_is_refused_at_once() {
    let mut node = Node::new();
    node.homes = region::Set::NONE;
    let (response, at, sends) = node.request(1, |_| false);
    assert_eq!((response.outcome, at, sends), (Outcome::NotRun, START, 0));
    assert!(response.missing.iter().all(|(_, cause)| *cause == Cause::NoHome));
}

#[test]
fn caller_returns_when_enough_shards_accept_requests() {
    let seconds = |all: &[u64]| all.iter().map(|s| Duration::from_secs(*s)).collect();
    assert_eq!(refusal::retry_after(seconds(&[3, 1, 9]), 0), Duration::from_secs(9));
    assert_eq!(refusal::retry_after(seconds(&[3, 1, 9]), 1), Duration::from_secs(3));
    assert_eq!(refusal::retry_after(seconds(&[3]), 1), Duration::ZERO);
    assert_eq!(refusal::retry_after(Vec::new(), 0), Duration::ZERO);
}
