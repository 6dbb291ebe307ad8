//! Runs a trace's events and advice through a machine again.
//!
//! Invariant: the replay of a recorded trace asks for the same actions. Decision
//! counts from its line to the next event; where a written trace gives none, a
//! shard has [`REPLICAS`] servers of its own, all of them hold it, budgets allow
//! everything, and the hedge delay is [`DELAY`].

use std::time::Duration;

use parking_lot::Mutex;

use crate::context::Budget;
use crate::context::Chooser;
use crate::context::Context;
use crate::machine::Machine;
use crate::trace::Decision;
use crate::trace::Line;
use crate::trace::Trace;
use crate::trace::What;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;
use wire::id::Snapshot;

/// The servers of a shard where a trace doesn't say.
pub const REPLICAS: u32 = 3;
/// The hedge delay where a trace doesn't say.
pub const DELAY: Duration = Duration::from_millis(10);

impl Trace {
    /// The trace that this one's events and advice lead to.
    pub fn replayed(&self) -> Self {
        let script = Script(Mutex::new(Vec::new()));
        let (mut chooser, mut budget) = (&script, &script);
        let mut context = Context::new(&mut chooser, &mut budget);
        let mut machine = Machine::new(self.plan.clone());
        let mut lines = Vec::new();
        for (index, line) in self.lines.iter().enumerate() {
            let What::Event(event) = &line.what else { continue };
            script.load(&self.lines[index + 1..]);
            lines.push(line.clone());
            lines.extend(self.advice_after(index));
            machine.handle(line.at, event.clone(), &mut context);
            let actions = context.actions.drain(..);
            lines.extend(actions.map(|action| Line::with_action(line.at, &action)));
        }
        Self { plan: self.plan.clone(), lines }
    }

    fn advice_after(&self, index: usize) -> impl Iterator<Item = Line> {
        let rest = self.lines[index + 1..].iter();
        let step = rest.take_while(|line| !matches!(line.what, What::Event(_)));
        step.filter(|line| matches!(line.what, What::Decision(_))).cloned()
    }
}

/// The advice of one step, taken in order.
struct Script(Mutex<Vec<Decision>>);

impl Script {
    fn load(&self, lines: &[Line]) {
        let mut advice = self.0.lock();
        advice.clear();
        for line in lines {
            match &line.what {
                What::Event(_) => return,
                What::Decision(one) => advice.push(one.clone()),
                What::Action(_) => {}
            }
        }
    }

    /// Takes the first advice that `pick` knows.
    fn take<T>(&self, pick: impl Fn(&Decision) -> Option<T>) -> Option<T> {
        let mut advice = self.0.lock();
        let (index, found) =
            advice.iter().enumerate().find_map(|(index, one)| Some((index, pick(one)?)))?;
        advice.remove(index);
        Some(found)
    }
}

impl Chooser for &Script {
    fn choose(
        &mut self,
        _now: Time,
        _snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason> {
        let pick = |advice: &Decision| match advice {
            Decision::Choose { shard: other, choice } if *other == shard => Some(*choice),
            _ => None,
        };
        self.take(pick).unwrap_or_else(|| {
            let first = shard.as_u32() * REPLICAS;
            let mut servers = (first..first + REPLICAS).map(Server::from_u32);
            let fresh = servers.find(|server| !tried.contains(server));
            Ok(fresh.unwrap_or(Server::from_u32(first)))
        })
    }

    fn holds(&self, snapshot: &Snapshot, shard: Shard) -> bool {
        let lacks = Decision::Mismatched { snapshot: snapshot.clone(), shard };
        self.take(|advice| (*advice == lacks).then_some(())).is_none()
    }

    fn hedge_delay(&self, server: Server) -> Duration {
        let pick = |advice: &Decision| match advice {
            Decision::Delay { server: other, delay } if *other == server => Some(*delay),
            _ => None,
        };
        self.take(pick).unwrap_or(DELAY)
    }
}

impl Budget for &Script {
    fn first_send(&mut self, _now: Time) {}

    fn take_hedge(&mut self, _now: Time) -> bool {
        let pick = |advice: &Decision| match advice {
            Decision::Hedge(allowed) => Some(*allowed),
            _ => None,
        };
        self.take(pick).unwrap_or(true)
    }

    fn take_retry(&mut self, _now: Time) -> bool {
        let pick = |advice: &Decision| match advice {
            Decision::Retry(allowed) => Some(*allowed),
            _ => None,
        };
        self.take(pick).unwrap_or(true)
    }
}
