//! Replays the events and decisions of a trace through a state machine.
//!
//! Invariant: the replay of a recorded trace emits the same actions. A decision
//! applies from its line until the next event. If a hand-written trace contains no
//! decision, each shard has [`DEFAULT_REPLICAS`] servers of its own which all hold
//! it, the budget allows every extra send, and the hedge delay is
//! [`DEFAULT_HEDGE_DELAY`].

use std::time::Duration;

use parking_lot::Mutex;

use crate::context::Budget;
use crate::context::Chooser;
use crate::context::Context;
use crate::machine::Machine;
use crate::trace::Decision;
use crate::trace::Entry;
use crate::trace::Line;
use crate::trace::Trace;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;
use wire::id::Snapshot;

/// The number of servers of a shard for which a trace contains no choice.
pub const DEFAULT_REPLICAS: u32 = 3;
/// The hedge delay of a server for which a trace contains none.
pub const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(10);

impl Trace {
    /// Replays the events and decisions and returns the resulting trace.
    pub fn replay(&self) -> Self {
        let script = ScriptedDecisions(Mutex::new(Vec::new()));
        let (mut chooser, mut budget) = (&script, &script);
        let mut context = Context::new(&mut chooser, &mut budget);
        let mut machine = Machine::new(self.plan.clone());
        let mut lines = Vec::new();
        for (index, line) in self.lines.iter().enumerate() {
            let Entry::Event(event) = &line.entry else { continue };
            script.load(&self.lines[index + 1..]);
            lines.push(line.clone());
            lines.extend(self.decisions_after(index));
            machine.handle(line.at, event.clone(), &mut context);
            let actions = context.actions.drain(..);
            lines.extend(actions.map(|action| Line::with_action(line.at, &action)));
        }
        Self { plan: self.plan.clone(), lines }
    }

    fn decisions_after(&self, index: usize) -> impl Iterator<Item = Line> {
        let rest = self.lines[index + 1..].iter();
        let step = rest.take_while(|line| !matches!(line.entry, Entry::Event(_)));
        step.filter(|line| matches!(line.entry, Entry::Decision(_))).cloned()
    }
}

/// The decisions recorded for one event, consumed in order.
struct ScriptedDecisions(Mutex<Vec<Decision>>);

impl ScriptedDecisions {
    fn load(&self, lines: &[Line]) {
        let mut decisions = self.0.lock();
        decisions.clear();
        for line in lines {
            match &line.entry {
                Entry::Event(_) => return,
                Entry::Decision(one) => decisions.push(one.clone()),
                Entry::Action(_) => {}
            }
        }
    }

    /// Removes the first decision for which `pick` returns a value.
    fn take<T>(&self, pick: impl Fn(&Decision) -> Option<T>) -> Option<T> {
        let mut decisions = self.0.lock();
        let (index, found) =
            decisions.iter().enumerate().find_map(|(index, one)| Some((index, pick(one)?)))?;
        decisions.remove(index);
        Some(found)
    }
}

impl Chooser for &ScriptedDecisions {
    fn choose(
        &mut self,
        _now: Time,
        _snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason> {
        let pick = |decision: &Decision| match decision {
            Decision::Choose { shard: other, choice } if *other == shard => Some(*choice),
            _ => None,
        };
        self.take(pick).unwrap_or_else(|| {
            let first = shard.as_u32() * DEFAULT_REPLICAS;
            let mut servers = (first..first + DEFAULT_REPLICAS).map(Server::from_u32);
            let untried = servers.find(|server| !tried.contains(server));
            Ok(untried.unwrap_or(Server::from_u32(first)))
        })
    }

    fn is_held(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let mismatched = Decision::Mismatched { snapshot: snapshot.clone(), shard };
        self.take(|decision| (*decision == mismatched).then_some(())).is_none()
    }

    fn hedge_delay(&self, server: Server) -> Duration {
        let pick = |decision: &Decision| match decision {
            Decision::Delay { server: other, delay } if *other == server => Some(*delay),
            _ => None,
        };
        self.take(pick).unwrap_or(DEFAULT_HEDGE_DELAY)
    }
}

impl Budget for &ScriptedDecisions {
    fn first_send(&mut self, _now: Time) {}

    fn take_hedge(&mut self, _now: Time) -> bool {
        let pick = |decision: &Decision| match decision {
            Decision::Hedge(allowed) => Some(*allowed),
            _ => None,
        };
        self.take(pick).unwrap_or(true)
    }

    fn take_retry(&mut self, _now: Time) -> bool {
        let pick = |decision: &Decision| match decision {
            Decision::Retry(allowed) => Some(*allowed),
            _ => None,
        };
        self.take(pick).unwrap_or(true)
    }
}
