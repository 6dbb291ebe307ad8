//! The loop that executes the actions of [`crate::watch::Watch`].
//!
//! Invariant: objects are passed to the handler as the platform returned them; the
//! handler keeps the highest revision of each, so stale answers have no effect.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::api::Error;
use crate::api::Store;
use crate::watch::Action;
use crate::watch::Settings;
use crate::watch::Watch;
use base::time::Time;
use conf::object::Kind;
use conf::object::Object;
use wire::platform::Vms;

/// How often a node that doesn't watch checks whether it has become the watcher.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The time between reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Receives the changes.
pub trait Handler: Send + Sync {
    /// Whether this node is to watch the platform now.
    fn is_watcher(&self) -> bool;

    /// The highest revision that this node or one of its peers has.
    fn highest_known_revision(&self) -> u64;

    /// Called with objects as the platform returned them, which may be stale.
    fn on_objects(&self, objects: Vec<Object>);

    /// Called when all changes up to `revision` were passed to
    /// [`Handler::on_objects`].
    fn on_synced(&self, revision: u64);

    /// Called with the VM list as the platform returned it.
    fn on_vms(&self, vms: Vms);

    /// Called after each list, watch or check with the time since these began to
    /// fail; zero if the last one succeeded.
    fn on_outage(&self, duration: Duration);
}

/// Watches the platform until `stop` is cancelled; `seed` sets the jitter.
pub async fn run(
    store: Arc<dyn Store>,
    handler: Arc<dyn Handler>,
    settings: Settings,
    seed: u64,
    stop: CancellationToken,
) {
    let mut watcher = Watcher {
        store,
        handler,
        watch: Watch::new(settings, seed),
        start: Instant::now(),
        vms_read_at: None,
        was_watcher: false,
    };
    let watching = async {
        loop {
            watcher.step().await;
        }
    };
    // Cancelling drops the pending watch call, which closes its connection.
    tokio::select! {
        () = stop.cancelled() => {}
        () = watching => {}
    }
}

struct Watcher {
    store: Arc<dyn Store>,
    handler: Arc<dyn Handler>,
    watch: Watch,
    start: Instant,
    vms_read_at: Option<Instant>,
    was_watcher: bool,
}

impl Watcher {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    async fn step(&mut self) {
        if !self.handler.is_watcher() {
            self.was_watcher = false;
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            return;
        }
        if !self.was_watcher {
            self.was_watcher = true;
            log::info!(target: "store", "watching from revision {}", self.watch.since());
        }
        self.read_vms().await;
        self.watch.observe_revision(self.handler.highest_known_revision(), self.now());
        let result = match self.watch.next(self.now()) {
            Action::List => self.list().await,
            Action::Watch(since) => self.wait_for_changes(since).await,
            Action::Check => self.check().await,
            Action::Wait(until) => {
                tokio::time::sleep_until(self.start + until.since(Time::ZERO)).await;
                return;
            }
        };
        let now = self.now();
        if let Err(error) = result {
            log::debug!(target: "store", "platform call failed: {error}");
            self.watch.on_failure(now);
        }
        self.handler.on_outage(self.watch.outage(now).unwrap_or_default());
    }

    async fn list(&mut self) -> Result<(), Error> {
        let requested_at = self.now();
        let mut lowest_revision = u64::MAX;
        for kind in Kind::ALL {
            let listing = self.store.list(kind).await?;
            lowest_revision = lowest_revision.min(listing.revision);
            self.handler
                .on_objects(listing.objects.into_iter().map(|stored| stored.object).collect());
        }
        if self.watch.on_list(lowest_revision, requested_at, self.now()) {
            self.handler.on_synced(lowest_revision);
        }
        Ok(())
    }

    async fn wait_for_changes(&mut self, since: u64) -> Result<(), Error> {
        let requested_at = self.now();
        let changes = self.store.watch(since, self.watch.max_wait()).await?;
        self.handler.on_objects(changes.objects.into_iter().map(|stored| stored.object).collect());
        if self.watch.on_changes(changes.revision, requested_at, self.now()) {
            self.handler.on_synced(changes.revision);
        }
        Ok(())
    }

    async fn check(&mut self) -> Result<(), Error> {
        let listing = self.store.list(Kind::Experiment).await?;
        self.handler.on_objects(listing.objects.into_iter().map(|stored| stored.object).collect());
        self.watch.on_check(listing.revision, self.now());
        Ok(())
    }

    async fn read_vms(&mut self) {
        if self.vms_read_at.is_some_and(|read_at| read_at.elapsed() < VM_LIST_INTERVAL) {
            return;
        }
        self.vms_read_at = Some(Instant::now());
        match self.store.vms().await {
            Ok(vms) => self.handler.on_vms(vms),
            Err(error) => log::debug!(target: "store", "cannot read the VM list: {error}"),
        }
    }
}
