//! The state of the process, which all its tasks share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::SecondaryMap;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::era;
use crate::era::Notice;
use crate::feed::Feed;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::registry::Batch;
use crate::registry::Kind;
use crate::registry::Reading;
use crate::registry::Registry;
use crate::serving::Role;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::source::Selector;
use crate::source::Source;
use crate::upstream::Pool;
use base::entity::Server;
use base::time::Time;
use replica::budget::Budget;
use replica::service_time::Estimator;
use replica::table::Table;
use site::config::Config;
use site::fleet::Fleet;
use site::router::Router;

/// The state of the process.
pub(crate) struct Process {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) registry: Box<dyn Registry>,
    /// The newest configuration as it was received, for other nodes that start.
    pub(crate) config: RefCell<Option<Config>>,
    /// The routes of the configuration in use; `None` until one is received.
    pub(crate) router: RefCell<Option<Rc<Router>>>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) table: RefCell<Table>,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) route_stats: RefCell<StatsByRoute>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) members: RefCell<Members>,
    /// Whether this node serves callers or stands by.
    pub(crate) role: RefCell<Role>,
    /// This node's present shares of the limits.
    pub(crate) shares: Cell<Shares>,
    /// The registry's newest era.
    pub(crate) era: RefCell<era::Tracker>,
    /// The revisions and recent changes of the registry's state.
    pub(crate) feeds: RefCell<Feeds>,
    /// Notified when [`Self::feeds`] has changes.
    pub(crate) state_changed: Notify,
    pub(crate) selector: RefCell<Selector>,
    /// Where the registry's state comes from at present.
    pub(crate) source: Cell<Source>,
    /// Notified when [`Self::source`] is the registry.
    pub(crate) source_changed: Notify,
    /// When the registry last confirmed the state of a kind, to this node or to the one that it
    /// follows.
    pub(crate) confirmed_at: RefCell<HashMap<Kind, Time>>,
    /// Whether the last call to the registry succeeded.
    pub(crate) registry_answers: Cell<bool>,
    /// The number of requests that were sent to upstream servers.
    pub(crate) sends: Cell<u64>,
    /// The same per second, on average over the last seconds.
    pub(crate) sends_per_second: Cell<u32>,
    /// How slow this VM runs at present, in percent of its usual time for the same work.
    pub(crate) slowness: Cell<u32>,
    /// Whether the registry lists this node with its present data.
    pub(crate) is_registered: Cell<bool>,
    /// Whether a list of the servers was received.
    pub(crate) has_server_list: Cell<bool>,
    /// Whether the process is shutting down.
    pub(crate) leaving: Cell<bool>,
    /// Notified when [`Self::leaving`] is set.
    pub(crate) shutdown_started: Notify,
    /// A random number that is drawn when the process starts.
    pub(crate) incarnation: u64,
    /// The number of callers' requests in progress.
    pub(crate) active_requests: Cell<usize>,
}

impl Process {
    /// Whether callers may be sent to this node.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving.get() && self.has_server_list.get() && self.router.borrow().is_some()
    }

    /// When the registry last confirmed the state of a kind.
    pub(crate) fn confirmed_at(&self, kind: Kind) -> Time {
        self.confirmed_at.borrow().get(&kind).copied().unwrap_or(Time::ZERO)
    }

    /// Records that the registry confirmed the state of a kind at `at`.
    pub(crate) fn confirm(&self, kind: Kind, at: Time) {
        let mut confirmed_at = self.confirmed_at.borrow_mut();
        let known = confirmed_at.entry(kind).or_insert(at);
        *known = at.max(*known);
    }

    /// Takes note of the era of the registry's answer to a call for `kind`, and logs what it
    /// says.
    pub(crate) fn date(&self, kind: Kind, reading: Reading) -> Batch {
        let Reading { events, era, revision } = reading;
        let notice = self.era.borrow_mut().observe(era);
        match notice {
            Notice::Risen { before } => {
                self.metrics.record_era(self.era.borrow().newest());
                log::info!(target: "registry", kind:? = kind, era, before, revision, known = self.feeds.borrow().of(kind).revision(); "The registry's era has risen: it returned from a copy, unless this is the first era seen.");
            }
            Notice::Earlier | Notice::Absent => {
                log::debug!(target: "registry", kind:? = kind, era, newest = self.era.borrow().newest(); "An answer of the registry has an earlier era, or none.");
            }
            Notice::Nothing => {}
        }
        Batch { events, revision }
    }

    /// The greatest number of services that one request is sent to.
    pub(crate) fn max_fan_out(&self) -> usize {
        self.router.borrow().as_ref().map_or(1, |router| router.max_fan_out())
    }

    /// Calls `update` with the table, and logs if that ejects `server` or readmits it.
    /// A server is readmitted here when it replies, not when its ejection ends.
    pub(crate) fn update_table<T>(
        &self,
        server: Server,
        update: impl FnOnce(&mut Table) -> T,
    ) -> T {
        let mut table = self.table.borrow_mut();
        let before = table.record(server).is_failing();
        let result = update(&mut table);
        let record = table.record(server);
        if record.is_failing() != before {
            let now = self.clock.now();
            log::info!(
                target: "servers",
                server = record.incarnation.id.as_ref(),
                service = table.service_name(record.service).as_ref(),
                failures = record.consecutive_failures,
                pause_ms = record.ejected_until.since(now).as_millis() as u64,
                passed_over = !before;
                "A server was ejected or readmitted."
            );
        }
        result
    }

    /// The id of `server`, by which requests are addressed to it.
    pub(crate) fn server_id(&self, server: Server) -> Arc<str> {
        Arc::clone(&self.table.borrow().record(server).incarnation.id)
    }
}

/// The number of batches that are kept for the nodes that follow this one; only the newest
/// configuration is of use.
const KEPT_CONFIG_BATCHES: usize = 1;
const KEPT_SERVER_BATCHES: usize = 64;

/// The feeds of the kinds that nodes pass on to each other.
pub(crate) struct Feeds {
    config: Feed,
    servers: Feed,
    /// Not passed on; holds only the revision.
    nodes: Feed,
}

impl Feeds {
    pub(crate) fn new() -> Self {
        Self {
            config: Feed::new(KEPT_CONFIG_BATCHES),
            servers: Feed::new(KEPT_SERVER_BATCHES),
            nodes: Feed::new(0),
        }
    }

    pub(crate) fn of(&self, kind: Kind) -> &Feed {
        match kind {
            Kind::Config => &self.config,
            Kind::Servers => &self.servers,
            Kind::Nodes => &self.nodes,
        }
    }

    pub(crate) fn of_mut(&mut self, kind: Kind) -> &mut Feed {
        match kind {
            Kind::Config => &mut self.config,
            Kind::Servers => &mut self.servers,
            Kind::Nodes => &mut self.nodes,
        }
    }
}

/// Statistics of a route's requests at this node.
pub(crate) struct RouteStats {
    /// The service time at a server.
    pub(crate) service_time: Estimator,
    /// The longest timeout that a caller sent, assumed to be that of a first attempt.
    pub(crate) max_timeout: Duration,
}

/// The statistics of each route, by its name.
#[derive(Default)]
pub(crate) struct StatsByRoute {
    stats: HashMap<Arc<str>, Rc<RefCell<RouteStats>>>,
}

impl StatsByRoute {
    /// The statistics of a route; new ones start from its latency objective.
    pub(crate) fn get_or_insert(
        &mut self,
        route: &Arc<str>,
        objective: Duration,
    ) -> Rc<RefCell<RouteStats>> {
        let insert = || {
            let stats =
                RouteStats { service_time: Estimator::new(objective), max_timeout: Duration::ZERO };
            Rc::new(RefCell::new(stats))
        };
        Rc::clone(self.stats.entry(Arc::clone(route)).or_insert_with(insert))
    }
}

/// A map by server.
pub(crate) type ByServer<T> = SecondaryMap<Server, T>;
