//! The state that all requests of a process share.
//!
//! Invariant: each part stands under its own lock, and no lock is held over an
//! await.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::metrics::Metrics;
use crate::process::experiments::Tallies;
use crate::process::pause::Pulse;
use crate::process::traces::Traces;
use crate::process::upstreams::Chooser;
use crate::process::upstreams::Upstreams;
use crate::request::admission::Door;
use crate::request::plan;
use crate::request::ticket::Tickets;
use admit::controller::Controller;
use base::time::Time;
use conf::catalog::Catalog;
use conf::object::Object;
use conf::object::Policy;
use conf::settings::Settings;
use entry::clock::Clock;
use once::table;
use peer::mesh::Mesh;
use peer::shutdown::Phase;
use pool::client::Pool;
use pool::share::Fleet;
use query::budget::SharedBudget;
use route::locality::Locality;
use route::table::Table;
use store::client::Client;
use wire::caller::Cause;
use wire::caller::Execution;
use wire::caller::Refusal;
use wire::id::Incarnation;

/// When a caller is told to come back to a node that is not ready.
const NOT_READY_RETRY_MS: u32 = 500;

/// The calls to the platform that may be made at once, in seconds of the rate.
const PLATFORM_BURST: f64 = 2.0;

/// One entry node.
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its clock.
    pub clock: Clock,
    /// The upstream servers.
    pub upstreams: Arc<Upstreams>,
    /// The connections to them.
    pub pool: Pool,
    /// The tickets of non-idempotent requests.
    pub tickets: Arc<Tickets>,
    /// The traces of recent requests.
    pub traces: Traces,
    /// What the arms of experiments have shown here.
    pub tallies: Tallies,
    /// Whether it was paused.
    pub pulse: Pulse,
    /// Its metrics.
    pub metrics: Metrics,
    /// The platform's client.
    pub store: Arc<Client>,
    /// Runs that go on when their callers leave.
    pub requests: TaskTracker,
    /// Told when the catalog or the servers have changed.
    pub changed: Notify,
    /// Ends all background work.
    pub end: CancellationToken,
    /// Asks for a planned stop.
    pub stop: CancellationToken,
    catalog: ArcSwap<Catalog>,
    /// Held while the catalog is replaced.
    applying: Mutex<()>,
    doors: Mutex<HashMap<Arc<str>, Arc<Door>>>,
    budgets: Mutex<HashMap<Arc<str>, (Policy, SharedBudget)>>,
    mesh: OnceLock<Arc<Mesh>>,
    requested: AtomicU64,
    /// When the platform last answered.
    platform: Mutex<Option<Time>>,
}

/// What is drawn at random at the start of a process.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    /// Its life; never drawn twice.
    pub incarnation: Incarnation,
    /// The seed of all later draws.
    pub seed: u64,
}

impl Process {
    /// A node without configuration.
    ///
    /// # Errors
    ///
    /// The metrics can't be set up.
    pub fn new(
        settings: Settings,
        draw: Draw,
    ) -> Result<Arc<Self>, opentelemetry_sdk::error::OTelSdkError> {
        let clock = Clock::new();
        let locality =
            Locality { data_centre: Arc::clone(&settings.data_centre), ..Locality::default() };
        let routing = route::settings::Settings {
            node: Arc::clone(&settings.name),
            locality,
            seed: draw.seed,
            ..route::settings::Settings::default()
        };
        let upstreams = Arc::new(Upstreams::new(Table::new(routing), clock));
        let fleet = Fleet { vms: settings.fleet_size, reserve: settings.reserve };
        let pooling = pool::settings::Settings { fleet, ..pool::settings::Settings::default() };
        let keep = Duration::from_millis(settings.ticket_keep_ms);
        let capacity = settings.ticket_capacity as usize;
        let tickets = table::Table::new(draw.incarnation, capacity, keep);
        let rate = f64::from(settings.platform_calls);
        let calling = store::client::Settings {
            timeout: Duration::from_millis(settings.platform_timeout_ms),
            calls_per_second: rate,
            burst: rate * PLATFORM_BURST,
        };
        let gate = Arc::clone(&upstreams) as Arc<dyn pool::client::Eligibility>;
        Ok(Arc::new(Self {
            incarnation: draw.incarnation,
            clock,
            pool: Pool::new(pooling, gate),
            upstreams,
            tickets: Arc::new(Tickets::new(tickets, clock)),
            traces: Traces::new(settings.explain_capacity as usize),
            tallies: Tallies::default(),
            pulse: Pulse::default(),
            metrics: Metrics::new()?,
            store: Arc::new(Client::new(settings.platform.clone(), calling)),
            requests: TaskTracker::new(),
            changed: Notify::new(),
            end: CancellationToken::new(),
            stop: CancellationToken::new(),
            catalog: ArcSwap::from_pointee(Catalog::new()),
            applying: Mutex::new(()),
            doors: Mutex::new(HashMap::new()),
            budgets: Mutex::new(HashMap::new()),
            mesh: OnceLock::new(),
            requested: AtomicU64::new(0),
            platform: Mutex::new(None),
            settings,
        }))
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.load_full()
    }

    /// Takes in objects; those with a higher revision than before go in force.
    pub fn apply(&self, objects: &[Object]) {
        let applying = self.applying.lock();
        let (next, changed) = self.catalog().with_objects(objects);
        if !changed {
            return;
        }
        self.upstreams.with(|table| table.update(&next));
        log::info!(target: "node", "Configuration revision {} is in force.", next.revision());
        self.catalog.store(Arc::new(next));
        drop(applying);
        self.update_doors();
        self.pool.set_targets(&self.upstreams.targets());
        self.changed.notify_waiters();
    }

    /// Sets the mesh that this node joined; only the first call counts.
    pub fn join(&self, mesh: Arc<Mesh>) {
        if self.mesh.set(mesh).is_err() {
            log::error!(target: "node", "The node joined twice.");
        }
    }

    /// This node's part in the deployment; `None` before it joined.
    pub fn mesh(&self) -> Option<&Arc<Mesh>> {
        self.mesh.get()
    }

    /// Whether this node may be named in lookups for what it holds.
    pub fn is_fresh(&self) -> bool {
        self.mesh().is_some_and(|mesh| mesh.members().first().is_some_and(|own| own.fresh))
    }

    /// Whether a reply to a caller should end its connection.
    pub fn closes_after_answer(&self) -> bool {
        self.mesh().is_some_and(|mesh| mesh.closes_after_answer())
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.mesh().is_some_and(|mesh| mesh.shutdown_phase() != Phase::Serving)
    }

    /// The number of the next request.
    pub fn next_request(&self) -> u64 {
        self.requested.fetch_add(1, Ordering::Relaxed)
    }

    /// A chooser for the requests of a service.
    pub fn chooser(&self, service: &Arc<str>, policy: &Policy) -> Chooser {
        let upstreams = Arc::clone(&self.upstreams);
        let quantile = policy.hedge.quantile_percent;
        Chooser::new(upstreams, Arc::clone(service), policy.choice, quantile)
    }

    /// The budget that all requests under a policy share.
    pub fn budget(&self, name: &Arc<str>, policy: &Policy) -> SharedBudget {
        let mut budgets = self.budgets.lock();
        match budgets.get(name) {
            Some((known, budget)) if known == policy => budget.clone(),
            _ => {
                let budget =
                    SharedBudget::new(policy.hedge.budget_percent, policy.retry.budget_percent);
                budgets.insert(Arc::clone(name), (policy.clone(), budget.clone()));
                budget
            }
        }
    }

    /// The gate of a service.
    pub fn door(&self, service: &Arc<str>) -> Arc<Door> {
        let mut doors = self.doors.lock();
        let door = doors.entry(Arc::clone(service)).or_insert_with(|| {
            let (policy, shards) = self.admission(service);
            let settings =
                admit::settings::Settings::new(policy.admit, shards).with_seed(self.incarnation.0);
            Arc::new(Door::new(Controller::new(settings), self.clock))
        });
        Arc::clone(door)
    }

    /// The gates of all services that were asked for, by name.
    pub fn doors(&self) -> Vec<(Arc<str>, Arc<Door>)> {
        let doors = self.doors.lock();
        doors.iter().map(|(name, door)| (Arc::clone(name), Arc::clone(door))).collect()
    }

    /// Tells the gates what has changed: their policies, maps, and this node's
    /// part of the upstreams' slots.
    pub fn update_doors(&self) {
        for (service, door) in self.doors() {
            self.update_door(&service, &door);
        }
    }

    fn update_door(&self, service: &str, door: &Door) {
        let (policy, shards) = self.admission(service);
        let part = self.upstreams.with(|table| table.capacity_share(service));
        door.with(|gate| {
            gate.update(&policy.admit, shards);
            gate.set_share(part);
        });
    }

    /// What a service's gate goes by: its policy and the shards of its map.
    fn admission(&self, service: &str) -> (Policy, u32) {
        let catalog = self.catalog();
        let Some(service) = catalog.service(service) else { return (Policy::default(), 1) };
        let policy = plan::policy(&catalog, &service.policy);
        let shards = catalog.map(&service.map).map_or(1, |map| map.groups.len());
        (policy, u32::try_from(shards).unwrap_or(u32::MAX).max(1))
    }

    /// Notes whether the platform answered just now.
    pub fn saw_platform(&self, answers: bool) {
        if answers {
            *self.platform.lock() = Some(self.clock.now());
        }
    }

    /// The time since the platform's last answer; `None` if there was none.
    pub fn platform_silence(&self) -> Option<Duration> {
        let last = *self.platform.lock();
        last.map(|at| self.clock.now().since(at))
    }

    /// The refusal of a request that can't be read.
    pub fn invalid(&self, message: &str) -> Refusal {
        Refusal {
            request: Arc::from(""),
            outcome: Execution::NotRun,
            cause: Cause::Invalid,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// The refusal of a request that came too early.
    pub fn not_ready(&self, message: &str) -> Refusal {
        Refusal {
            request: Arc::from(""),
            outcome: Execution::NotRun,
            cause: Cause::NotReady,
            message: message.to_owned(),
            retry_after_ms: Some(NOT_READY_RETRY_MS),
        }
    }
}
