//! Measures the CPU time of the state machine per shard of a query.
//!
//! `cargo run --release -p query --example shard_cost` runs many queries without
//! I/O and prints the quartiles of the time per shard in nanoseconds.

use std::time::Duration;
use std::time::Instant;

use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use query::budget::SharedBudget;
use query::context::Budget;
use query::context::Chooser;
use query::context::Context;
use query::event::Action;
use query::event::Event;
use query::event::Reply;
use query::machine::Machine;
use query::plan::Candidate;
use query::plan::Plan;
use query::record::Recorder;
use wire::caller::Reason;
use wire::id::Incarnation;
use wire::id::Snapshot;

const SHARD_COUNTS: [u32; 4] = [10, 100, 1600, 6400];
const ROUNDS: usize = 201;
const REPLICAS: u32 = 3;

/// A chooser without any search, to keep its own cost out of the measurement.
struct FixedChooser;

impl Chooser for FixedChooser {
    fn choose(
        &mut self,
        _now: Time,
        _snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason> {
        Ok(Server::from_u32(shard.as_u32() * REPLICAS + tried.len() as u32 % REPLICAS))
    }

    fn is_held(&self, _snapshot: &Snapshot, _shard: Shard) -> bool {
        true
    }

    fn hedge_delay(&self, _server: Server) -> Duration {
        Duration::from_millis(10)
    }
}

/// Runs one query. Every `hedge_interval`-th shard is hedged (none if it is 0); the
/// others are answered at once.
fn run(candidate: &Candidate, hedge_interval: u32, recorder: Option<&Recorder>) {
    let (mut fixed, mut shared) = (FixedChooser, SharedBudget::new(5.0, 10.0));
    let (mut recorded_chooser, mut recorded_budget);
    let (chooser, budget): (&mut dyn Chooser, &mut dyn Budget) = match recorder {
        None => (&mut fixed, &mut shared),
        Some(recorder) => {
            recorded_chooser = recorder.wrap_chooser(&mut fixed);
            recorded_budget = recorder.wrap_budget(&mut shared);
            (&mut recorded_chooser, &mut recorded_budget)
        }
    };
    let mut context = Context::new(chooser, budget);
    let plan = Plan::new(Incarnation(1), 1, vec![candidate.clone()], Time::from_millis(1000));
    let mut machine = Machine::new(plan);
    let mut sends = Vec::new();
    let mut handle = |now, event: Event| {
        if let Some(recorder) = recorder {
            recorder.record_event(now, &event);
        }
        machine.handle(now, event, &mut context);
        if let Some(recorder) = recorder {
            recorder.record_actions(now, &context.actions);
        }
        for action in context.actions.drain(..) {
            if let Action::Send { attempt, shard, .. } = action {
                sends.push((attempt, shard, machine.id(attempt)));
            }
        }
        std::mem::take(&mut sends)
    };
    let firsts = handle(Time::ZERO, Event::Start);
    let mut reply = |now, (attempt, shard, id)| {
        handle(now, Event::Sent { attempt });
        let reply = Reply {
            attempt_id: Some(id),
            snapshot: Some(candidate.snapshot.clone()),
            shard: Some(shard),
            complete: true,
            body: serde_json::Value::Null,
        };
        handle(now, Event::Replied { attempt, reply });
    };
    let is_hedged =
        |shard: Shard| hedge_interval > 0 && shard.as_u32().is_multiple_of(hedge_interval);
    for &send in firsts.iter().filter(|(_, shard, _)| !is_hedged(*shard)) {
        reply(Time::from_millis(1), send);
    }
    if hedge_interval > 0 {
        let hedges = handle(Time::from_millis(10), Event::Timer);
        for send in hedges {
            handle(Time::from_millis(11), Event::Sent { attempt: send.0 });
            let reply = Reply {
                attempt_id: Some(send.2),
                snapshot: Some(candidate.snapshot.clone()),
                shard: Some(send.1),
                complete: true,
                body: serde_json::Value::Null,
            };
            handle(Time::from_millis(12), Event::Replied { attempt: send.0, reply });
        }
    }
    assert!(machine.is_finished(), "the query did not end");
}

fn measure(name: &str, shards: u32, hedge_interval: u32, recorded: bool) {
    let snapshot = Snapshot { version: 1, map: "m".into() };
    let candidate = Candidate { snapshot, shards: (0..shards).map(Shard::from_u32).collect() };
    let mut costs: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let recorder = recorded.then(Recorder::new);
            let begin = Instant::now();
            run(&candidate, hedge_interval, recorder.as_ref());
            begin.elapsed().as_nanos() as f64 / f64::from(shards)
        })
        .collect();
    costs.sort_by(f64::total_cmp);
    let at = |part: usize| costs[ROUNDS * part / 4];
    println!("{name:<24}{shards:>6}{:>8.0}{:>8.0}{:>8.0}", at(1), at(2), at(3));
}

fn main() {
    println!("{:<24}{:>6}{:>8}{:>8}{:>8}", "ns per shard", "shards", "q1", "median", "q3");
    for shards in SHARD_COUNTS {
        measure("healthy", shards, 0, false);
        measure("one in 20 hedged", shards, 20, false);
        measure("healthy, recorded", shards, 0, true);
    }
}
