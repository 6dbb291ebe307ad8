//! The shared state of the pool: a table of servers in shards, each with its own
//! lock.
//!
//! Invariant: no lock is held across an await or while a result is sent to a
//! waiter. If the waiter has given up, the send drops the connection, which takes
//! the lock.

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

/// The number of shards of the server table.
const LOCK_SHARDS: usize = 16;

/// An open connection.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<bytes::Bytes>>,
    /// Closes the connection immediately when cancelled.
    pub(crate) cancel: CancellationToken,
}

/// The result that a waiter receives.
pub(crate) type Grant = Result<Lease, Unsent>;

pub(crate) struct Entry {
    pub(crate) target: Target,
    pub(crate) connections: Connections<Connection, oneshot::Sender<Grant>>,
    pub(crate) detector: Detector,
    pub(crate) cancels: HashMap<ConnectionId, CancellationToken>,
    /// No connection is opened in advance before this time.
    pub(crate) connect_after: Time,
}

type Table = HashMap<Server, Entry>;

pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) eligibility: Arc<dyn Eligibility>,
    start: Instant,
    member_count: AtomicU32,
    shards: Vec<Mutex<Table>>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, eligibility: Arc<dyn Eligibility>) -> Self {
        let shards = (0..LOCK_SHARDS).map(|_| Mutex::default()).collect();
        Self {
            settings,
            eligibility,
            start: Instant::now(),
            member_count: AtomicU32::new(0),
            shards,
        }
    }

    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    pub(crate) fn set_member_count(&self, members: u32) {
        self.member_count.store(members, Ordering::Relaxed);
    }

    pub(crate) fn share(&self, cap: u32) -> u32 {
        self.settings.fleet.share(cap, self.member_count.load(Ordering::Relaxed))
    }

    fn shard(&self, server: Server) -> MutexGuard<'_, Table> {
        self.shards[server.as_u32() as usize % LOCK_SHARDS].lock()
    }

    /// Runs `f` on the server's entry, if there is one.
    pub(crate) fn with<R>(&self, server: Server, f: impl FnOnce(&mut Entry) -> R) -> Option<R> {
        self.shard(server).get_mut(&server).map(f)
    }

    /// Runs `f` on the server's entry, which is created if it does not exist.
    pub(crate) fn with_target<R>(&self, target: &Target, f: impl FnOnce(&mut Entry) -> R) -> R {
        let share = self.share(target.max_connections);
        let mut shard = self.shard(target.server);
        let entry = shard.entry(target.server).or_insert_with(|| Entry {
            target: target.clone(),
            connections: Connections::new(share, self.settings.max_waiting),
            detector: Detector::new(self.settings.silence),
            cancels: HashMap::new(),
            connect_after: Time::ZERO,
        });
        f(entry)
    }

    /// All servers in the table.
    pub(crate) fn servers(&self) -> Vec<Server> {
        let mut all: Vec<Server> = Vec::new();
        for shard in &self.shards {
            all.extend(shard.lock().keys().copied());
        }
        all.sort_unstable();
        all
    }

    /// Gives a free connection to the first waiter, or makes it idle.
    pub(crate) fn release(
        self: &Arc<Self>,
        server: Server,
        id: ConnectionId,
        connection: Connection,
    ) {
        let mut connection = Some(connection);
        while let Some(released) = connection.take() {
            let waiter = self.with(server, |entry| {
                entry.detector.remove(id);
                entry.connections.pop_waiter_for(id)
            });
            let Some(Some(waiter)) = waiter else {
                self.put_idle(server, id, released);
                return;
            };
            let lease = Lease::new(Arc::clone(self), server, id, released);
            if let Err(Ok(mut lease)) = waiter.send(Ok(lease)) {
                connection = lease.take();
            }
        }
    }

    fn put_idle(&self, server: Server, id: ConnectionId, connection: Connection) {
        let cancel = connection.cancel.clone();
        let surplus = self.with(server, |entry| entry.connections.put_idle(id, connection));
        if !matches!(surplus, Some(None)) {
            cancel.cancel();
        }
    }

    /// Closes a connection immediately; it is removed from the share later.
    pub(crate) fn close(&self, server: Server, id: ConnectionId) {
        let cancel = self.with(server, |entry| entry.cancels.remove(&id));
        if let Some(Some(cancel)) = cancel {
            cancel.cancel();
        }
        self.mark_closing(server, id);
    }

    /// Records that a connection has ended. It is not cancelled, since data of its last
    /// reply may not have been delivered to the request yet.
    pub(crate) fn mark_closing(&self, server: Server, id: ConnectionId) {
        self.with(server, |entry| {
            entry.detector.remove(id);
            entry.connections.mark_closing(id);
        });
    }

    /// Removes a closed connection and opens another if needed.
    pub(crate) fn remove(self: &Arc<Self>, server: Server, id: ConnectionId) {
        let mut shard = self.shard(server);
        let Some(entry) = shard.get_mut(&server) else { return };
        entry.connections.remove(id);
        entry.cancels.remove(&id);
        drop(shard);
        self.remove_if_finished(server);
        self.open_connections(server, 0);
    }

    /// Removes a retired server that has no connections left.
    pub(crate) fn remove_if_finished(&self, server: Server) {
        let mut shard = self.shard(server);
        if shard.get(&server).is_some_and(|entry| entry.connections.is_finished()) {
            shard.remove(&server);
        }
    }

    /// Records that a connection could not be opened. Fails the waiters if no other
    /// connection can serve them.
    pub(crate) fn connect_failed(&self, server: Server, id: ConnectionId) {
        let retry_at = self.now() + self.settings.connect_backoff;
        let waiters = self.with(server, |entry| {
            entry.connections.remove(id);
            entry.connect_after = retry_at;
            let active = entry.connections.open_count() - entry.connections.count(State::Closing);
            if active > 0 {
                Vec::new()
            } else {
                std::iter::from_fn(|| entry.connections.pop_waiter()).collect()
            }
        });
        for waiter in waiters.unwrap_or_default() {
            let _ = waiter.send(Err(Unsent::ConnectFailed));
        }
    }

    /// Opens the connections that waiters need, and more until `min_open` are open.
    pub(crate) fn open_connections(self: &Arc<Self>, server: Server, min_open: u32) {
        let start = |entry: &mut Entry| {
            Some((entry.connections.start_connect(min_open)?, entry.target.clone()))
        };
        while let Some(Some((id, target))) = self.with(server, start) {
            connect::spawn(Arc::clone(self), target, id, false);
        }
    }
}
