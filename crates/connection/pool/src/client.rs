//! The connection pool of a process.
//!
//! Invariant: the [`Eligibility`] of the server is checked directly before a request
//! is passed to the HTTP library, after all waiting, so that a request to a server
//! that has become ineligible is not sent. Dropping the future of [`Pool::send`]
//! cancels the attempt, and closes its connection if the request was sent.

use std::collections::HashSet;
use std::fmt;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use crate::connect;
use crate::error::Error;
use crate::error::Unsent;
use crate::exchange;
use crate::lease::Lease;
use crate::reply::Reply;
use crate::request::Request;
use crate::request::Target;
use crate::server::ConnectionId;
use crate::server::WaiterId;
use crate::settings::Settings;
use crate::state::Connection;
use crate::state::Entry;
use crate::state::Grant;
use crate::state::Shared;
use base::entity::Server;
use wire::upstream::Health;

/// The number of connections to try while each one closes before the request is
/// sent.
const MAX_TRIES: u32 = 3;

/// Decides directly before sending whether a server may get new requests.
pub trait Eligibility: Send + Sync {
    /// Whether `server` may get a request now.
    fn may_send(&self, server: Server) -> bool;
}

/// Allows every request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowAll;

impl Eligibility for AllowAll {
    fn may_send(&self, _: Server) -> bool {
        true
    }
}

/// Decides directly before sending whether one attempt may still be sent.
pub trait Permit: Send + Sync {
    /// Acquires the right to send. It is called after the eligibility check,
    /// directly before the request is passed to the HTTP library. If it returns
    /// `false`, no part of the request is sent.
    fn try_acquire(&self) -> bool;
}

impl Permit for AllowAll {
    fn try_acquire(&self) -> bool {
        true
    }
}

/// All connections of a process to upstream servers; cheap to clone.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(settings: Settings, eligibility: Arc<dyn Eligibility>) -> Self {
        Self { shared: Arc::new(Shared::new(settings, eligibility)) }
    }

    /// Sends one attempt and waits for its reply for at most its timeout.
    pub async fn send(&self, target: &Target, request: &Request) -> Result<Reply, Error> {
        self.send_with_permit(target, request, &AllowAll).await
    }

    /// [`Pool::send`] with a permit that is acquired directly before sending.
    ///
    /// The permit is acquired again if the HTTP library returns the request unsent
    /// and it is tried on another connection.
    pub async fn send_with_permit(
        &self,
        target: &Target,
        request: &Request,
        permit: &dyn Permit,
    ) -> Result<Reply, Error> {
        let deadline = Instant::now() + request.timeout;
        for _ in 0..MAX_TRIES {
            let mut lease =
                self.acquire(target, deadline, IdleOrder::Newest).await.map_err(Error::NotSent)?;
            match exchange::run(&mut lease, target, request, permit, deadline).await {
                Err(Error::NotSent(Unsent::ConnectionClosed)) => {}
                done => return done,
            }
        }
        Err(Error::NotSent(Unsent::ConnectionClosed))
    }

    /// Requests a server's health on the least recently used connection, so that
    /// connections that stopped responding while idle are detected.
    pub async fn health(&self, target: &Target, limit: Duration) -> Result<Health, Error> {
        let deadline = Instant::now() + limit;
        let mut lease =
            self.acquire(target, deadline, IdleOrder::Oldest).await.map_err(Error::NotSent)?;
        exchange::health(&mut lease, target, limit).await
    }

    /// Sets the servers in use: opens connections to `targets` in advance and retires
    /// all other servers, whose running requests may finish.
    pub fn set_targets(&self, targets: &[Target]) {
        let used: HashSet<Server> = targets.iter().map(|target| target.server).collect();
        for server in self.shared.servers() {
            if !used.contains(&server) {
                self.retire(server);
            }
        }
        for target in targets {
            let share = self.shared.share(target.max_connections);
            let surplus = self.shared.with_target(target, |entry| {
                entry.target = target.clone();
                entry.connections.restore(share);
                entry.connections.resize(share)
            });
            close(surplus);
            self.shared.open_connections(target.server, self.min_open(share));
        }
    }

    /// Sets the number of nodes in the member list; if it is larger than the fleet of
    /// the settings, the shares become smaller.
    pub fn set_member_count(&self, members: u32) {
        self.shared.set_member_count(members);
        for server in self.shared.servers() {
            let surplus = self.shared.with(server, |entry| {
                if entry.connections.is_retired() {
                    return Vec::new();
                }
                entry.connections.resize(self.shared.share(entry.target.max_connections))
            });
            close(surplus.unwrap_or_default());
        }
    }

    /// Maintains the connections until `stop` is cancelled: closes silent ones, sends
    /// probes, and opens connections in advance.
    pub async fn run(&self, stop: CancellationToken) {
        let mut ticks = interval(self.shared.settings.tick_interval);
        loop {
            tokio::select! {
                _ = stop.cancelled() => return,
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// One round of [`Pool::run`].
    pub fn tick(&self) {
        let now = self.shared.now();
        for server in self.shared.servers() {
            let inspect = |entry: &mut Entry| {
                let silent = entry.detector.silent(now);
                let probe = entry.detector.next_probe(now);
                (silent, probe, entry.connect_after <= now, entry.connections.share())
            };
            let Some((silent, probe, may_connect, share)) = self.shared.with(server, inspect)
            else {
                continue;
            };
            for id in silent {
                log::info!(target: "pool", "{server}: closing a connection that no longer responds");
                self.shared.close(server, id);
            }
            if let Some(suspect) = probe {
                self.probe(server, suspect);
            }
            if may_connect {
                self.shared.open_connections(server, self.min_open(share));
            }
        }
    }

    /// The state of the connections, with one line for each server.
    pub fn dump(&self) -> String {
        let mut text = String::new();
        for server in self.shared.servers() {
            let line = |entry: &mut Entry| format!("{} {}", entry.target.name, entry.connections);
            if let Some(line) = self.shared.with(server, line) {
                let _ = writeln!(text, "{line}");
            }
        }
        text
    }

    fn min_open(&self, share: u32) -> u32 {
        share.min(self.shared.settings.max_warm)
    }

    fn retire(&self, server: Server) {
        let Some((surplus, waiters)) = self.shared.with(server, |entry| entry.connections.retire())
        else {
            return;
        };
        close(surplus);
        for waiter in waiters {
            let _ = waiter.send(Err(Unsent::Retired));
        }
        self.shared.remove_if_finished(server);
    }

    /// Sends a probe over a new connection, or over an idle one if the share is
    /// exhausted. If all connections are busy, closes the suspect, unless it is
    /// protected, to make room for a new connection.
    fn probe(&self, server: Server, suspect: ConnectionId) {
        let now = self.shared.now();
        let plan = |entry: &mut Entry| {
            let route = match entry.connections.start_connect(u32::MAX) {
                Some(id) => ProbeRoute::New(id),
                None => match entry.connections.take_newest_idle() {
                    Some((id, connection)) => ProbeRoute::Idle(id, connection),
                    None if entry.detector.is_protected(now, suspect) => ProbeRoute::Wait,
                    None => ProbeRoute::CloseSuspect,
                },
            };
            (route, entry.target.clone())
        };
        let Some((route, target)) = self.shared.with(server, plan) else { return };
        let shared = Arc::clone(&self.shared);
        match route {
            ProbeRoute::New(id) => connect::spawn(shared, target, id, true),
            ProbeRoute::Idle(id, connection) => {
                connect::start_probe(shared, target, id, connection)
            }
            ProbeRoute::CloseSuspect => self.shared.close(server, suspect),
            ProbeRoute::Wait => {}
        }
    }

    async fn acquire(&self, target: &Target, deadline: Instant, order: IdleOrder) -> Grant {
        let server = target.server;
        let acquired = self.shared.with_target(target, |entry| take_or_enqueue(entry, order));
        let (waiter, grant) = match acquired? {
            Acquired::Idle(id, connection) => {
                return Ok(Lease::new(Arc::clone(&self.shared), server, id, connection));
            }
            Acquired::Queued(waiter, grant) => (waiter, grant),
        };
        let _guard = QueueGuard { shared: &self.shared, server, waiter };
        self.shared.open_connections(server, 0);
        match timeout_at(deadline, grant).await {
            Ok(Ok(grant)) => grant,
            Ok(Err(_)) => Err(Unsent::Retired),
            Err(_) => Err(Unsent::Deadline),
        }
    }
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.dump())
    }
}

#[derive(Clone, Copy)]
enum IdleOrder {
    Newest,
    Oldest,
}

/// How a probe is sent.
enum ProbeRoute {
    New(ConnectionId),
    Idle(ConnectionId, Connection),
    CloseSuspect,
    Wait,
}

enum Acquired {
    Idle(ConnectionId, Connection),
    Queued(WaiterId, oneshot::Receiver<Grant>),
}

/// Takes an idle connection that is still open, or adds a waiter to the queue.
fn take_or_enqueue(entry: &mut Entry, order: IdleOrder) -> Result<Acquired, Unsent> {
    if entry.connections.is_retired() {
        return Err(Unsent::Retired);
    }
    if entry.connections.share() == 0 {
        return Err(Unsent::NoShare);
    }
    loop {
        let idle = match order {
            IdleOrder::Newest => entry.connections.take_newest_idle(),
            IdleOrder::Oldest => entry.connections.take_oldest_idle(),
        };
        match idle {
            Some((id, connection)) if connection.sender.is_closed() => {
                entry.connections.mark_closing(id)
            }
            Some((id, connection)) => return Ok(Acquired::Idle(id, connection)),
            None => break,
        }
    }
    let (sender, grant) = oneshot::channel();
    let waiter = entry.connections.enqueue(sender).map_err(|_| Unsent::QueueFull)?;
    Ok(Acquired::Queued(waiter, grant))
}

fn close(connections: Vec<Connection>) {
    for connection in connections {
        connection.cancel.cancel();
    }
}

/// Removes a waiter from the queue when its future ends or is dropped.
struct QueueGuard<'a> {
    shared: &'a Arc<Shared>,
    server: Server,
    waiter: WaiterId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.shared.with(self.server, |entry| entry.connections.dequeue(self.waiter));
    }
}
