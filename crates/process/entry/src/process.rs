//! The state of the process, which all its tasks share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cranelift_entity::SecondaryMap;
use tokio::sync::Notify;

use crate::breaks::Breaks;
use crate::clock::Clock;
use crate::departures::Departures;
use crate::era;
use crate::era::Notice;
use crate::fairness;
use crate::feed::Feed;
use crate::forward;
use crate::in_flight::InFlight;
use crate::inbound;
use crate::loans;
use crate::members::Members;
use crate::members::WHOLE_REACH;
use crate::members::has_path;
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::registry::Batch;
use crate::registry::Kind;
use crate::registry::Reading;
use crate::registry::Registry;
use crate::reply_memory::Memory;
use crate::revision::Revision;
use crate::serving::Role;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::source::Selector;
use crate::source::Source;
use crate::stop::Stop;
use crate::timeouts;
use crate::unreadable;
use crate::upstream::Pool;
use crate::usage;
use crate::usage::Context;
use base::entity::Server;
use base::time::Time;
use customer::stats::Stats;
use poison::ledger::Ledger;
use replica::budget::Budget;
use replica::service_time::Estimator;
use replica::table::Table;
use site::config::Config;
use site::evacuation::Evacuations;
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
    pub(crate) evacuations: RefCell<Evacuations>,
    /// The servers that have told this node that they leave.
    pub(crate) departures: RefCell<Departures>,
    pub(crate) table: RefCell<Table>,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) customer_stats: RefCell<Stats>,
    /// Whether the configuration was compared with that of another node, or none has answered: the
    /// registry may have returned from an older copy.
    pub(crate) is_config_compared: Cell<bool>,
    pub(crate) route_stats: RefCell<StatsByRoute>,
    pub(crate) pool: Pool,
    /// The runs that have no reply yet.
    pub(crate) in_flight: InFlight,
    /// The requests that may end servers.
    pub(crate) ledger: RefCell<Ledger>,
    /// Notified when other nodes must hear of a change of it.
    pub(crate) ledger_changed: Notify,
    /// The requests that broke off at servers which may have ended.
    pub(crate) breaks: RefCell<Breaks>,
    /// What callers, nodes and operators make this node hold.
    pub(crate) inbound: Rc<inbound::Ledger>,
    /// The memory of the replies in progress.
    pub(crate) reply_memory: Rc<Memory>,
    /// The connections on which requests are passed on to other nodes.
    pub(crate) forwards: forward::Connections,
    pub(crate) metrics: Metrics,
    pub(crate) members: RefCell<Members>,
    /// Whether this node serves callers or stands by.
    pub(crate) role: RefCell<Role>,
    /// This node's present shares of the limits.
    pub(crate) shares: Cell<Shares>,
    /// The connections that this node has lent and borrowed.
    pub(crate) loans: loans::State,
    /// The use of the customers' rates.
    pub(crate) usage: usage::State,
    /// Which customers' requests are refused first while the servers are too busy.
    pub(crate) fairness: fairness::State,
    /// The registry's newest era.
    pub(crate) era: RefCell<era::Tracker>,
    /// Notified when it rises.
    pub(crate) era_risen: Notify,
    /// The registry's objects that can't be parsed.
    pub(crate) unreadable: RefCell<unreadable::Objects>,
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
    /// How many of the services that this node has used it reaches, in percent.
    pub(crate) reach: Cell<u8>,
    /// Notified when it falls or rises so much that others must hear of it at once.
    pub(crate) reach_changed: Notify,
    /// Notified when this node loses its path to the servers.
    pub(crate) path_lost: Notify,
    /// Whether trial connects have shown a short time ago that servers can be reached.
    pub(crate) path_proven: Cell<bool>,
    /// The era in which the registry is known to list this node with its present data.
    pub(crate) registered_era: Cell<Option<u64>>,
    /// Notified when the registry has returned without this node's entry.
    pub(crate) registration_lost: Notify,
    /// The nodes in the registry's last list, and its era; only on nodes that take lists.
    pub(crate) listed_nodes: RefCell<Option<ListedNodes>>,
    /// Whether a list of the servers was received.
    pub(crate) has_server_list: Cell<bool>,
    /// Whether the process is shutting down.
    pub(crate) leaving: Cell<bool>,
    /// Until when requests are taken and answered, once it is.
    pub(crate) stop: Stop,
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
        !self.leaving.get()
            && self.has_server_list.get()
            && self.is_configured()
            && (!self.has_evacuations() || self.has_compared_evacuations())
    }

    /// Whether there is a configuration, and its customers' keys were compared with the registry.
    fn is_configured(&self) -> bool {
        let router = self.router.borrow();
        let is_current =
            |router: &Rc<Router>| router.customers.is_none() || self.is_config_compared.get();
        router.as_ref().is_some_and(is_current)
    }

    /// Whether the deployment has evacuations.
    pub(crate) fn has_evacuations(&self) -> bool {
        self.settings.evacuation_bound.is_some()
    }

    /// Whether this node knows the evacuations, and has asked another node for those that its first
    /// list from the registry lacks: the list may be old, or be one of a copy.
    fn has_compared_evacuations(&self) -> bool {
        self.knows_evacuations() && self.is_config_compared.get()
    }

    /// Whether this node has heard which data centres are evacuated.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.feeds.borrow().of(Kind::Evacuations).revision().is_some()
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
        if kind == Kind::Servers {
            self.fleet.borrow_mut().confirm(at);
        }
    }

    /// Dates an answer of the registry by its era.
    pub(crate) fn date(&self, kind: Kind, reading: Reading) -> Batch {
        let Reading { events, era, number } = reading;
        let era = self.observe_era(era, &format!("registry, {}", kind.name()));
        Batch { events, revision: Revision { era, number } }
    }

    /// Takes note of an era that `source` states; returns the era that its answer counts as.
    pub(crate) fn observe_era(&self, stated: Option<u64>, source: &str) -> u64 {
        let (era, notice) = self.era.borrow_mut().date(stated);
        match notice {
            Notice::Nothing => return era,
            Notice::First => {
                log::info!(target: "registry", era, source; "The registry's era is known.");
            }
            Notice::Risen { before } => {
                let feeds = self.feeds.borrow();
                let known = |kind| feeds.of(kind).revision().map(|revision| revision.to_string());
                log::warn!(target: "registry", era, before, source, config = known(Kind::Config), servers = known(Kind::Servers); "The registry returned from a copy; all kinds are listed again.");
                self.fleet.borrow_mut().outage_ended(self.clock.now());
                self.era_risen.notify_waiters();
            }
            Notice::Earlier => {
                log::warn!(target: "registry", era, source, newest = self.era.borrow().newest(); "An answer is from an earlier era; the state does not go back to it. Further ones are not logged.");
            }
            Notice::Absent => {
                log::warn!(target: "registry", source, newest = era; "An answer states no era; it counts as one of the newest era. Further ones are not logged.");
            }
        }
        self.metrics.record_era(self.era.borrow().newest());
        era
    }

    /// Whether the registry has returned from a copy since `revision`.
    pub(crate) fn is_outdated(&self, revision: Revision) -> bool {
        revision.era < self.era.borrow().newest()
    }

    /// Records that the registry lists this node in its newest era.
    pub(crate) fn set_registered(&self) {
        self.registered_era.set(Some(self.era.borrow().newest()));
    }

    /// Registers this node again if the registry, in its newest era, does not list it.
    pub(crate) fn on_registration(&self, is_listed: bool) {
        let newest = self.era.borrow().newest();
        match self.registered_era.get() {
            Some(era) if era < newest && is_listed => self.set_registered(),
            Some(era) if era < newest => {
                self.registered_era.set(None);
                self.registration_lost.notify_one();
            }
            _ => {}
        }
    }

    /// The greatest number of services that one request is sent to.
    pub(crate) fn max_fan_out(&self) -> usize {
        self.router.borrow().as_ref().map_or(1, |router| router.max_fan_out())
    }

    /// Whether this node reaches servers, judged by what the best node reaches.
    pub(crate) fn has_path(&self) -> bool {
        let reach = self.reach.get();
        reach == WHOLE_REACH
            || has_path(reach, self.members.borrow().best_reach(self.clock.now(), reach))
    }

    /// Whether another node reaches more services.
    pub(crate) fn is_outreached(&self) -> bool {
        let reach = self.reach.get();
        reach < WHOLE_REACH && self.members.borrow().best_reach(self.clock.now(), reach) > reach
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

impl Context for Process {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn usage(&self) -> &usage::State {
        &self.usage
    }

    fn members(&self) -> &RefCell<Members> {
        &self.members
    }

    fn shares(&self) -> Shares {
        self.shares.get()
    }

    fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn peer_port(&self) -> u16 {
        self.settings.peer_port
    }

    fn sent(&self, datagrams: usize, bytes: usize) {
        self.metrics.record_usage(datagrams, bytes);
    }
}

/// The number of batches that are kept for the nodes that follow this one; only the newest
/// configuration is of use.
const KEPT_CONFIG_BATCHES: usize = 1;
const KEPT_SERVER_BATCHES: usize = 64;
const KEPT_EVACUATION_BATCHES: usize = 16;

/// The nodes in a list of the registry.
pub(crate) struct ListedNodes {
    pub(crate) revision: Revision,
    pub(crate) addresses: HashSet<IpAddr>,
}

/// The feeds of the kinds that nodes pass on to each other.
pub(crate) struct Feeds {
    config: Feed,
    servers: Feed,
    evacuations: Feed,
    /// Not passed on; holds only the revision.
    nodes: Feed,
}

impl Feeds {
    pub(crate) fn new() -> Self {
        Self {
            config: Feed::new(KEPT_CONFIG_BATCHES),
            servers: Feed::new(KEPT_SERVER_BATCHES),
            evacuations: Feed::new(KEPT_EVACUATION_BATCHES),
            nodes: Feed::new(0),
        }
    }

    pub(crate) fn of(&self, kind: Kind) -> &Feed {
        match kind {
            Kind::Config => &self.config,
            Kind::Servers => &self.servers,
            Kind::Evacuations => &self.evacuations,
            Kind::Nodes => &self.nodes,
        }
    }

    pub(crate) fn of_mut(&mut self, kind: Kind) -> &mut Feed {
        match kind {
            Kind::Config => &mut self.config,
            Kind::Servers => &mut self.servers,
            Kind::Evacuations => &mut self.evacuations,
            Kind::Nodes => &mut self.nodes,
        }
    }
}

/// Statistics of a route's requests at this node.
pub(crate) struct RouteStats {
    /// The service time at a server.
    pub(crate) service_time: Estimator,
    /// The timeouts that callers sent.
    pub(crate) timeouts: timeouts::Recent,
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
            let service_time = Estimator::new(objective);
            Rc::new(RefCell::new(RouteStats {
                service_time,
                timeouts: timeouts::Recent::default(),
            }))
        };
        Rc::clone(self.stats.entry(Arc::clone(route)).or_insert_with(insert))
    }
}

/// A map by server.
pub(crate) type ByServer<T> = SecondaryMap<Server, T>;
