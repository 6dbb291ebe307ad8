//! The state that all requests of a process share.
//!
//! Invariant: each component has its own lock, and no lock is held across an await.

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
use crate::process::pause::PauseDetector;
use crate::process::traces::Traces;
use crate::process::upstreams::Chooser;
use crate::process::upstreams::Upstreams;
use crate::request::admission::Limiter;
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

/// How long a caller waits before it retries at a node that is not ready.
const NOT_READY_RETRY_MS: u32 = 500;

/// The burst of calls to the platform, in seconds' worth of the rate.
const PLATFORM_BURST_S: f64 = 2.0;

/// One entry node.
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    /// Its incarnation.
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
    /// The measurements of experiment arms on this node.
    pub tallies: Tallies,
    /// Detects that the process was paused.
    pub pause_detector: PauseDetector,
    /// Its metrics.
    pub metrics: Metrics,
    /// The platform's client.
    pub store: Arc<Client>,
    /// Requests that run to their end even if their callers disconnect.
    pub detached_requests: TaskTracker,
    /// Notified after each change of the catalog.
    pub catalog_changed: Notify,
    /// Cancelled to end all background tasks.
    pub background_tasks: CancellationToken,
    /// Cancelled to request a planned stop.
    pub stop_requested: CancellationToken,
    catalog: ArcSwap<Catalog>,
    /// Held while the catalog is replaced.
    apply_lock: Mutex<()>,
    limiters: Mutex<HashMap<Arc<str>, Arc<Limiter>>>,
    budgets: Mutex<HashMap<Arc<str>, (Policy, SharedBudget)>>,
    mesh: OnceLock<Arc<Mesh>>,
    next_request: AtomicU64,
    /// When the platform last responded.
    platform_responded: Mutex<Option<Time>>,
}

/// The incarnation of a process and the seed of its random numbers.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Its incarnation, different at each start.
    pub incarnation: Incarnation,
    /// The seed of the mesh, the choice of replicas and the platform watch.
    pub seed: u64,
}

impl Process {
    /// Creates a node without configuration.
    ///
    /// # Errors
    ///
    /// The metrics can't be set up.
    pub fn new(
        settings: Settings,
        identity: Identity,
    ) -> Result<Arc<Self>, opentelemetry_sdk::error::OTelSdkError> {
        let clock = Clock::new();
        let locality =
            Locality { data_centre: Arc::clone(&settings.data_centre), ..Locality::default() };
        let route_settings = route::settings::Settings {
            node: Arc::clone(&settings.name),
            locality,
            seed: identity.seed,
            ..route::settings::Settings::default()
        };
        let upstreams = Arc::new(Upstreams::new(Table::new(route_settings), clock));
        let fleet = Fleet { vms: settings.fleet_size, reserve: settings.reserve };
        let pool_settings =
            pool::settings::Settings { fleet, ..pool::settings::Settings::default() };
        let ticket_ttl = Duration::from_millis(settings.ticket_keep_ms);
        let capacity = settings.ticket_capacity as usize;
        let tickets = table::Table::new(identity.incarnation, capacity, ticket_ttl);
        let rate = f64::from(settings.platform_calls);
        let store_settings = store::client::Settings {
            timeout: Duration::from_millis(settings.platform_timeout_ms),
            calls_per_second: rate,
            burst: rate * PLATFORM_BURST_S,
        };
        let eligibility = Arc::clone(&upstreams) as Arc<dyn pool::client::Eligibility>;
        Ok(Arc::new(Self {
            incarnation: identity.incarnation,
            clock,
            pool: Pool::new(pool_settings, eligibility),
            upstreams,
            tickets: Arc::new(Tickets::new(tickets, clock)),
            traces: Traces::new(settings.explain_capacity as usize),
            tallies: Tallies::default(),
            pause_detector: PauseDetector::default(),
            metrics: Metrics::new()?,
            store: Arc::new(Client::new(settings.platform.clone(), store_settings)),
            detached_requests: TaskTracker::new(),
            catalog_changed: Notify::new(),
            background_tasks: CancellationToken::new(),
            stop_requested: CancellationToken::new(),
            catalog: ArcSwap::from_pointee(Catalog::new()),
            apply_lock: Mutex::new(()),
            limiters: Mutex::new(HashMap::new()),
            budgets: Mutex::new(HashMap::new()),
            mesh: OnceLock::new(),
            next_request: AtomicU64::new(0),
            platform_responded: Mutex::new(None),
            settings,
        }))
    }

    /// Returns the active configuration.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.load_full()
    }

    /// Adds objects to the configuration; those with a higher revision than before
    /// become active.
    pub fn apply(&self, objects: &[Object]) {
        let apply_guard = self.apply_lock.lock();
        let (next, changed) = self.catalog().with_objects(objects);
        if !changed {
            return;
        }
        self.upstreams.with(|table| table.update(&next));
        log::info!(target: "node", "Configuration revision {} is active.", next.revision());
        self.catalog.store(Arc::new(next));
        drop(apply_guard);
        self.update_limiters();
        self.pool.set_targets(&self.upstreams.targets());
        self.catalog_changed.notify_waiters();
    }

    /// Sets the mesh that this node joined; later calls have no effect.
    pub fn set_mesh(&self, mesh: Arc<Mesh>) {
        if self.mesh.set(mesh).is_err() {
            log::error!(target: "node", "The mesh of this node is already set.");
        }
    }

    /// Returns the mesh of nodes; `None` before this node has joined it.
    pub fn mesh(&self) -> Option<&Arc<Mesh>> {
        self.mesh.get()
    }

    /// Whether the configuration is complete, so that lookups may name this node.
    pub fn is_synced(&self) -> bool {
        self.mesh().is_some_and(|mesh| mesh.members().first().is_some_and(|own| own.fresh))
    }

    /// Whether connections to callers are to be closed after a reply.
    pub fn closes_after_answer(&self) -> bool {
        self.mesh().is_some_and(|mesh| mesh.closes_after_answer())
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.mesh().is_some_and(|mesh| mesh.shutdown_phase() != Phase::Serving)
    }

    /// Returns the number of the next request.
    pub fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Creates a chooser for the requests of a service.
    pub fn chooser(&self, service: &Arc<str>, policy: &Policy) -> Chooser {
        let upstreams = Arc::clone(&self.upstreams);
        let quantile = policy.hedge.quantile_percent;
        Chooser::new(upstreams, Arc::clone(service), policy.choice, quantile)
    }

    /// Returns the budget that all requests under a policy share.
    pub fn budget(&self, name: &Arc<str>, policy: &Policy) -> SharedBudget {
        let mut budgets = self.budgets.lock();
        match budgets.get(name) {
            Some((current, budget)) if current == policy => budget.clone(),
            _ => {
                let budget =
                    SharedBudget::new(policy.hedge.budget_percent, policy.retry.budget_percent);
                budgets.insert(Arc::clone(name), (policy.clone(), budget.clone()));
                budget
            }
        }
    }

    /// Returns the limiter of a service.
    pub fn limiter(&self, service: &Arc<str>) -> Arc<Limiter> {
        let mut limiters = self.limiters.lock();
        let limiter = limiters.entry(Arc::clone(service)).or_insert_with(|| {
            let (policy, shards) = self.admission_settings(service);
            let settings =
                admit::settings::Settings::new(policy.admit, shards).with_seed(self.incarnation.0);
            Arc::new(Limiter::new(Controller::new(settings), self.clock))
        });
        Arc::clone(limiter)
    }

    /// Returns the limiters that exist, by service name.
    pub fn limiters(&self) -> Vec<(Arc<str>, Arc<Limiter>)> {
        let limiters = self.limiters.lock();
        limiters.iter().map(|(name, limiter)| (Arc::clone(name), Arc::clone(limiter))).collect()
    }

    /// Passes the current policies, the sizes of the maps and this node's share of the
    /// upstreams' slots to the limiters.
    pub fn update_limiters(&self) {
        for (service, limiter) in self.limiters() {
            self.update_limiter(&service, &limiter);
        }
    }

    fn update_limiter(&self, service: &str, limiter: &Limiter) {
        let (policy, shards) = self.admission_settings(service);
        let share = self.upstreams.with(|table| table.capacity_share(service));
        limiter.with(|controller| {
            controller.update(&policy.admit, shards);
            controller.set_share(share);
        });
    }

    /// Returns the policy of a service and the number of shards in its map.
    fn admission_settings(&self, service: &str) -> (Policy, u32) {
        let catalog = self.catalog();
        let Some(service) = catalog.service(service) else { return (Policy::default(), 1) };
        let policy = plan::policy(&catalog, &service.policy);
        let shards = catalog.map(&service.map).map_or(1, |map| map.groups.len());
        (policy, u32::try_from(shards).unwrap_or(u32::MAX).max(1))
    }

    /// Records whether the platform responded just now.
    pub fn record_platform_check(&self, reachable: bool) {
        if reachable {
            *self.platform_responded.lock() = Some(self.clock.now());
        }
    }

    /// Returns the time since the platform's last response; `None` before the first.
    pub fn platform_silence(&self) -> Option<Duration> {
        let last = *self.platform_responded.lock();
        last.map(|at| self.clock.now().since(at))
    }

    /// Builds the refusal of a request that can't be parsed.
    pub fn invalid(&self, message: &str) -> Refusal {
        Refusal {
            request: Arc::from(""),
            outcome: Execution::NotRun,
            cause: Cause::Invalid,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// Builds the refusal of a request that arrives before the node is ready.
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
