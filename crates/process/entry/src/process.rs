//! The state of one process, shared by its tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::SecondaryMap;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::registry::Registry;
use crate::settings::Settings;
use crate::upstream::Pool;
use base::entity::Server;
use replica::budget::Budget;
use replica::service_time::Estimator;
use replica::table::Table;
use site::config::Config;
use site::fleet::Fleet;
use site::router::Router;

/// All that one process knows.
pub(crate) struct Process {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) registry: Box<dyn Registry>,
    /// The newest configuration, as it was read.
    pub(crate) config: RefCell<Option<Config>>,
    /// The version in force; `None` until one is known.
    pub(crate) snapshot: RefCell<Option<Rc<Router>>>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) table: RefCell<Table>,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) routes: RefCell<Routes>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
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

    /// Lets the table learn of `server`, and tells the log if the server is
    /// passed over from now on or no longer.
    pub(crate) fn learn<T>(&self, server: Server, learn: impl FnOnce(&mut Table) -> T) -> T {
        let mut table = self.table.borrow_mut();
        let before = table.record(server).is_ejected();
        let learned = learn(&mut table);
        let record = table.record(server);
        if record.is_ejected() != before {
            let now = self.clock.now();
            log::info!(
                target: "servers",
                server = record.incarnation.id.as_ref(),
                service = table.service_name(record.service).as_ref(),
                failures = record.consecutive_failures,
                pause_ms = record.ejected_until.since(now).as_millis() as u64,
                passed_over = !before;
                "A server's standing changed."
            );
        }
        learned
    }

    /// The server as its own replies name it.
    pub(crate) fn life_of(&self, server: Server) -> Arc<str> {
        Arc::clone(&self.table.borrow().record(server).incarnation.id)
    }
}

/// What this process has seen of a route's requests.
pub(crate) struct Seen {
    /// How long they take at a server.
    pub(crate) service_time: Estimator,
    /// The longest patience that a caller told: that of a first try.
    pub(crate) patience: Duration,
}

/// What was seen of each route, by name.
#[derive(Default)]
pub(crate) struct Routes {
    names: HashMap<Arc<str>, Rc<RefCell<Seen>>>,
}

impl Routes {
    /// What was seen of a route that aims at `objective`.
    pub(crate) fn of(&mut self, route: &Arc<str>, objective: Duration) -> Rc<RefCell<Seen>> {
        let made = || {
            let seen = Seen { service_time: Estimator::new(objective), patience: Duration::ZERO };
            Rc::new(RefCell::new(seen))
        };
        Rc::clone(self.names.entry(Arc::clone(route)).or_insert_with(made))
    }
}

/// A map by server.
pub(crate) type ByServer<T> = SecondaryMap<Server, T>;
