//! What a machine is lent while it handles an event.
//!
//! Invariant: a chooser and a budget only advise; what an attempt costs is
//! counted by the shell when it carries out [`Action::Send`].

use std::time::Duration;

use crate::event::Action;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;
use wire::id::Snapshot;

/// Chooses replicas.
pub trait Chooser: Send {
    /// A server that holds `shard` at `snapshot`: one that is not in `tried` if
    /// there is any, else one that is. The error tells why there is none at all.
    fn choose(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason>;

    /// Whether any server that isn't leaving holds `shard` at `snapshot`.
    fn holds(&self, snapshot: &Snapshot, shard: Shard) -> bool;

    /// How long to wait for `server` before another replica is asked too.
    fn hedge_delay(&self, server: Server) -> Duration;
}

/// Bounds the extra load; shared by the queries of a service.
pub trait Budget: Send {
    /// A first send was made.
    fn first_send(&mut self, now: Time);

    /// Takes one hedge if the budget allows it.
    fn take_hedge(&mut self, now: Time) -> bool;

    /// Takes one retry if the budget allows it.
    fn take_retry(&mut self, now: Time) -> bool;
}

/// Lent to a machine for the life of its query.
pub struct Context<'a> {
    /// What the machine asks for; the shell drains it after each event.
    pub actions: Vec<Action>,
    /// Chooses replicas.
    pub chooser: &'a mut dyn Chooser,
    /// Bounds the extra load.
    pub budget: &'a mut dyn Budget,
}

impl<'a> Context<'a> {
    /// A context without actions.
    pub fn new(chooser: &'a mut dyn Chooser, budget: &'a mut dyn Budget) -> Self {
        Self { actions: Vec::new(), chooser, budget }
    }

    /// The context with the allocation of an earlier one's actions.
    pub fn with_actions(mut self, mut actions: Vec<Action>) -> Self {
        actions.clear();
        self.actions = actions;
        self
    }
}
