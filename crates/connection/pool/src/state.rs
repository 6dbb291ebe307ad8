//! The shared state: servers in shards, each under its own lock.
//!
//! Invariant: no lock is held over an await, nor while a waiter is told
//! anything, since a waiter that has left drops its connection, which locks.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::client::Eligibility;
use crate::connect;
use crate::error::Unsent;
use crate::lease::Lease;
use crate::request::Target;
use crate::server::ConnectionId;
use crate::server::Connections;
use crate::server::State;
use crate::settings::Settings;
use crate::silence::Detector;
use base::entity::Server;
use base::time::Time;

/// Shards of the table of servers.
const SHARDS: usize = 16;

/// An open connection.
pub(crate) struct Link {
    pub(crate) sender: SendRequest<Full<bytes::Bytes>>,
    /// Closes the connection at once when cancelled.
    pub(crate) stop: CancellationToken,
}

/// What a waiter is told.
pub(crate) type Grant = Result<Lease, Unsent>;

pub(crate) struct Entry {
    pub(crate) target: Target,
    pub(crate) lane: Connections<Link, oneshot::Sender<Grant>>,
    pub(crate) detector: Detector,
    pub(crate) stops: HashMap<ConnectionId, CancellationToken>,
    /// Not connected for warmth before this.
    pub(crate) rest_until: Time,
}

type Shard = HashMap<Server, Entry>;

pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) gate: Arc<dyn Eligibility>,
    start: Instant,
    seen: AtomicU32,
    shards: Vec<Mutex<Shard>>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, gate: Arc<dyn Eligibility>) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { settings, gate, start: Instant::now(), seen: AtomicU32::new(0), shards }
    }

    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    pub(crate) fn see(&self, members: u32) {
        self.seen.store(members, Ordering::Relaxed);
    }

    pub(crate) fn share(&self, cap: u32) -> u32 {
        self.settings.fleet.share(cap, self.seen.load(Ordering::Relaxed))
    }

    fn shard(&self, server: Server) -> MutexGuard<'_, Shard> {
        self.shards[server.as_u32() as usize % SHARDS].lock()
    }

    /// Runs `f` on the server's entry, if it is known.
    pub(crate) fn with<R>(&self, server: Server, f: impl FnOnce(&mut Entry) -> R) -> Option<R> {
        self.shard(server).get_mut(&server).map(f)
    }

    /// Runs `f` on the server's entry, which is made if need be.
    pub(crate) fn with_target<R>(&self, target: &Target, f: impl FnOnce(&mut Entry) -> R) -> R {
        let share = self.share(target.connections);
        let mut shard = self.shard(target.server);
        let entry = shard.entry(target.server).or_insert_with(|| Entry {
            target: target.clone(),
            lane: Connections::new(share, self.settings.most_waiting),
            detector: Detector::new(self.settings.silence),
            stops: HashMap::new(),
            rest_until: Time::ZERO,
        });
        f(entry)
    }

    /// Every known server.
    pub(crate) fn servers(&self) -> Vec<Server> {
        let mut all: Vec<Server> = Vec::new();
        for shard in &self.shards {
            all.extend(shard.lock().keys().copied());
        }
        all.sort_unstable();
        all
    }

    /// Gives a free connection to the first waiter, or lays it aside.
    pub(crate) fn release(self: &Arc<Self>, server: Server, id: ConnectionId, link: Link) {
        let mut link = Some(link);
        while let Some(free) = link.take() {
            let waiter = self.with(server, |entry| {
                entry.detector.ended(id);
                entry.lane.pop_waiter_for(id)
            });
            let Some(Some(waiter)) = waiter else {
                self.lay_aside(server, id, free);
                return;
            };
            let lease = Lease::new(Arc::clone(self), server, id, free);
            if let Err(Ok(mut lease)) = waiter.send(Ok(lease)) {
                link = lease.take();
            }
        }
    }

    fn lay_aside(&self, server: Server, id: ConnectionId, link: Link) {
        let stop = link.stop.clone();
        let surplus = self.with(server, |entry| entry.lane.put_idle(id, link));
        if !matches!(surplus, Some(None)) {
            stop.cancel();
        }
    }

    /// Closes a connection at once; its place is freed later.
    pub(crate) fn close(&self, server: Server, id: ConnectionId) {
        let stop = self.with(server, |entry| entry.stops.remove(&id));
        if let Some(Some(stop)) = stop {
            stop.cancel();
        }
        self.ended(server, id);
    }

    /// Notes that a connection has ended. What was read of its last reply may
    /// still be on its way to the request, so nothing is cancelled.
    pub(crate) fn ended(&self, server: Server, id: ConnectionId) {
        self.with(server, |entry| {
            entry.detector.ended(id);
            entry.lane.close(id);
        });
    }

    /// Frees the place of a closed connection and opens another if needed.
    pub(crate) fn free(self: &Arc<Self>, server: Server, id: ConnectionId) {
        let mut shard = self.shard(server);
        let Some(entry) = shard.get_mut(&server) else { return };
        entry.lane.remove(id);
        entry.stops.remove(&id);
        drop(shard);
        self.forget(server);
        self.fill(server, 0);
    }

    /// Forgets a retired server that holds nothing any more.
    pub(crate) fn forget(&self, server: Server) {
        let mut shard = self.shard(server);
        if shard.get(&server).is_some_and(|entry| entry.lane.is_finished()) {
            shard.remove(&server);
        }
    }

    /// Notes a failed connect: tells the waiters if nothing else can serve them.
    pub(crate) fn fail(&self, server: Server, id: ConnectionId) {
        let until = self.now() + self.settings.back_off;
        let waiters = self.with(server, |entry| {
            entry.lane.remove(id);
            entry.rest_until = until;
            let live = entry.lane.open() - entry.lane.count(State::Closing);
            if live > 0 { Vec::new() } else { std::iter::from_fn(|| entry.lane.call()).collect() }
        });
        for waiter in waiters.unwrap_or_default() {
            let _ = waiter.send(Err(Unsent::ConnectFailed));
        }
    }

    /// Opens connections that waiters need, and up to `warm` in all.
    pub(crate) fn fill(self: &Arc<Self>, server: Server, warm: u32) {
        let begin =
            |entry: &mut Entry| Some((entry.lane.start_connect(warm)?, entry.target.clone()));
        while let Some(Some((id, target))) = self.with(server, begin) {
            connect::spawn(Arc::clone(self), target, id, false);
        }
    }
}
