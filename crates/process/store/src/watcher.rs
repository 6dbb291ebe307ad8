//! The loop that carries out [`crate::watch::Watch`]'s actions.
//!
//! Invariant: whatever the platform shows is offered to the host as it is; the
//! host keeps the highest revision of each object, so a stale answer does no harm.

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

/// How often an idle node asks whether it is to hold the watch.
const IDLE_STEP: Duration = Duration::from_millis(250);
/// The time between reads of the VM list.
const VMS_EVERY: Duration = Duration::from_secs(5);

/// Who gets the changes.
pub trait Handler: Send + Sync {
    /// Whether this node is to hold the watch now.
    fn is_watcher(&self) -> bool;

    /// The highest revision that this node or its peers hold.
    fn highest_known_revision(&self) -> u64;

    /// Objects as the platform showed them.
    fn on_objects(&self, objects: Vec<Object>);

    /// Every object up to `revision` was offered.
    fn on_synced(&self, revision: u64);

    /// The VM list as the platform showed it.
    fn on_vms(&self, vms: Vms);

    /// The platform has not answered for this long; zero when it does again.
    fn on_outage(&self, span: Duration);
}

/// Follows the platform until `stop` is cancelled; `seed` sets the jitter.
pub async fn run(
    store: Arc<dyn Store>,
    handler: Arc<dyn Handler>,
    settings: Settings,
    seed: u64,
    stop: CancellationToken,
) {
    let mut follower = Follower {
        store,
        handler,
        watch: Watch::new(settings, seed),
        start: Instant::now(),
        vms_read: None,
        held: false,
    };
    let following = async {
        loop {
            follower.step().await;
        }
    };
    // Cancelling drops the waiting watch, which closes its connection.
    tokio::select! {
        () = stop.cancelled() => {}
        () = following => {}
    }
}

struct Follower {
    store: Arc<dyn Store>,
    handler: Arc<dyn Handler>,
    watch: Watch,
    start: Instant,
    vms_read: Option<Instant>,
    held: bool,
}

impl Follower {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    async fn step(&mut self) {
        if !self.handler.is_watcher() {
            self.held = false;
            tokio::time::sleep(IDLE_STEP).await;
            return;
        }
        if !self.held {
            self.held = true;
            log::info!(target: "store", "watching from revision {}", self.watch.since());
        }
        self.read_vms().await;
        self.watch.observe_revision(self.handler.highest_known_revision(), self.now());
        let done = match self.watch.next(self.now()) {
            Action::List => self.list().await,
            Action::Watch(since) => self.wait_for_changes(since).await,
            Action::Check => self.check().await,
            Action::Wait(until) => {
                tokio::time::sleep_until(self.start + until.since(Time::ZERO)).await;
                return;
            }
        };
        let now = self.now();
        if let Err(error) = done {
            log::debug!(target: "store", "the platform failed: {error}");
            self.watch.failed(now);
        }
        self.handler.on_outage(self.watch.failing_for(now).unwrap_or_default());
    }

    async fn list(&mut self) -> Result<(), Error> {
        let asked = self.now();
        let mut lowest = u64::MAX;
        for kind in Kind::ALL {
            let listing = self.store.list(kind).await?;
            lowest = lowest.min(listing.revision);
            self.handler.on_objects(listing.items.into_iter().map(|item| item.object).collect());
        }
        if self.watch.listed(lowest, asked, self.now()) {
            self.handler.on_synced(lowest);
        }
        Ok(())
    }

    async fn wait_for_changes(&mut self, since: u64) -> Result<(), Error> {
        let asked = self.now();
        let changes = self.store.watch(since, self.watch.wait()).await?;
        self.handler.on_objects(changes.items.into_iter().map(|item| item.object).collect());
        if self.watch.received(changes.revision, asked, self.now()) {
            self.handler.on_synced(changes.revision);
        }
        Ok(())
    }

    async fn check(&mut self) -> Result<(), Error> {
        let listing = self.store.list(Kind::Experiment).await?;
        self.handler.on_objects(listing.items.into_iter().map(|item| item.object).collect());
        self.watch.checked(listing.revision, self.now());
        Ok(())
    }

    async fn read_vms(&mut self) {
        if self.vms_read.is_some_and(|read| read.elapsed() < VMS_EVERY) {
            return;
        }
        self.vms_read = Some(Instant::now());
        match self.store.vms().await {
            Ok(vms) => self.handler.on_vms(vms),
            Err(error) => log::debug!(target: "store", "no VM list: {error}"),
        }
    }
}
