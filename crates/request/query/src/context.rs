//! The context that a state machine uses while it handles an event.
//!
//! Invariant: a chooser only selects a server; the driver accounts for the load
//! of an attempt when it carries out [`Action::Send`].

use std::time::Duration;

use crate::event::Action;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;
use wire::id::Snapshot;

/// Chooses replicas.
pub trait Chooser: Send {
    /// Selects a server that holds `shard` at `snapshot`, one that is not in
    /// `tried` if possible.
    ///
    /// # Errors
    ///
    /// The reason why no server can be used.
    fn choose(
        &mut self,
        now: Time,
        snapshot: &Snapshot,
        shard: Shard,
        tried: &[Server],
    ) -> Result<Server, Reason>;

    /// Whether any server that is not leaving holds `shard` at `snapshot`.
    fn is_held(&self, snapshot: &Snapshot, shard: Shard) -> bool;

    /// How long to wait for `server` before a hedge is sent to another replica.
    fn hedge_delay(&self, server: Server) -> Duration;
}

/// Limits the extra load of hedges and retries; shared by the queries of a
/// service.
pub trait Budget: Send {
    /// Records the first send for a shard.
    fn first_send(&mut self, now: Time);

    /// Takes a token for one hedge; returns false if the budget denies it.
    fn take_hedge(&mut self, now: Time) -> bool;

    /// Takes a token for one retry; returns false if the budget denies it.
    fn take_retry(&mut self, now: Time) -> bool;
}

/// What a machine uses while it handles events: its output buffer, a chooser and
/// a budget.
pub struct Context<'a> {
    /// The emitted actions; the driver drains them after each event.
    pub actions: Vec<Action>,
    /// Chooses replicas.
    pub chooser: &'a mut dyn Chooser,
    /// Limits the extra load.
    pub budget: &'a mut dyn Budget,
}

impl<'a> Context<'a> {
    /// Creates a context without actions.
    pub fn new(chooser: &'a mut dyn Chooser, budget: &'a mut dyn Budget) -> Self {
        Self { actions: Vec::new(), chooser, budget }
    }

    /// Reuses the allocation of an earlier context's actions.
    pub fn with_actions(mut self, mut actions: Vec<Action>) -> Self {
        actions.clear();
        self.actions = actions;
        self
    }
}
