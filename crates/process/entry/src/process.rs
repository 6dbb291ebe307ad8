//! The state of one process, shared by its tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use cranelift_entity::SecondaryMap;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::members::Members;
use crate::protocol::Protocol;
use crate::settings::Settings;
use crate::source::Source;
use crate::upstream::Pool;
use base::entity::Server;
use replica::budget::Budget;
use replica::pace::Pace;
use replica::table::Table;
use site::fleet::Fleet;
use site::snapshot::Snapshot;

/// All that one process knows.
pub(crate) struct Process {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) source: Box<dyn Source>,
    /// The version in force; `None` until one is known.
    pub(crate) snapshot: RefCell<Option<Rc<Snapshot>>>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) table: RefCell<Table>,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) paces: RefCell<Paces>,
    pub(crate) pool: Pool,
    pub(crate) members: RefCell<Members>,
    /// Whether a list of servers was read.
    pub(crate) servers_known: Cell<bool>,
    /// Whether the process was asked to stop.
    pub(crate) leaving: Cell<bool>,
    /// Told when [`Self::leaving`] is set.
    pub(crate) stop: Notify,
    /// Drawn at the start.
    pub(crate) life: u64,
    /// Callers' requests in progress.
    pub(crate) busy: Cell<usize>,
}

impl Process {
    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving.get() && self.servers_known.get() && self.snapshot.borrow().is_some()
    }

    /// The server as its own replies name it.
    pub(crate) fn life_of(&self, server: Server) -> Arc<str> {
        Arc::clone(&self.table.borrow().record(server).life.id)
    }
}

/// The pace of each route, by name.
#[derive(Default)]
pub(crate) struct Paces {
    names: std::collections::HashMap<Arc<str>, Rc<RefCell<Pace>>>,
}

impl Paces {
    /// The pace of a route that aims at `objective`.
    pub(crate) fn of(
        &mut self,
        route: &Arc<str>,
        objective: std::time::Duration,
    ) -> Rc<RefCell<Pace>> {
        let made = || Rc::new(RefCell::new(Pace::new(objective)));
        Rc::clone(self.names.entry(Arc::clone(route)).or_insert_with(made))
    }
}

/// A map by server.
pub(crate) type ByServer<T> = SecondaryMap<Server, T>;
