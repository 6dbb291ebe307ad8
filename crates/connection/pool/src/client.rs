//! The pool of a process.
//!
//! Invariant: what may not be sent any more is not sent: the gate is asked at
//! the moment of handing a request to the HTTP library, after all waiting.
//! Dropping a future that [`Pool::send`] gave cancels the attempt and closes
//! its connection if a reply is due.

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
use crate::state::Entry;
use crate::state::Grant;
use crate::state::Link;
use crate::state::Shared;
use base::entity::Server;
use wire::upstream::Health;

/// Connections that an attempt is tried on while each one hands it back.
const TRIES: u32 = 3;

/// Decides at the moment of sending whether a server may get new work.
pub trait Eligibility: Send + Sync {
    /// Whether `server` may get a request now.
    fn may_send(&self, server: Server) -> bool;
}

/// A gate that is always open.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open;

impl Eligibility for Open {
    fn may_send(&self, _: Server) -> bool {
        true
    }
}

/// Decides at the moment of sending whether one attempt may still go out.
pub trait Permit: Send + Sync {
    /// Takes the right to send; called after the gate, right
    /// before the request is handed to the HTTP library. After `false` nothing
    /// of the request is sent.
    fn try_acquire(&self) -> bool;
}

impl Permit for Open {
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
    /// A pool without connections.
    pub fn new(settings: Settings, gate: Arc<dyn Eligibility>) -> Self {
        Self { shared: Arc::new(Shared::new(settings, gate)) }
    }

    /// Sends one attempt and waits for its reply until its deadline.
    pub async fn send(&self, target: &Target, request: &Request) -> Result<Reply, Error> {
        self.send_with_permit(target, request, &Open).await
    }

    /// [`Pool::send`] with a permit that is asked at the moment of sending.
    ///
    /// A request that the HTTP library hands back asks the permit again.
    pub async fn send_with_permit(
        &self,
        target: &Target,
        request: &Request,
        permit: &dyn Permit,
    ) -> Result<Reply, Error> {
        let end = Instant::now() + request.deadline;
        for _ in 0..TRIES {
            let mut lease =
                self.acquire(target, end, Pick::Newest).await.map_err(Error::NotSent)?;
            match exchange::run(&mut lease, target, request, permit, end).await {
                Err(Error::NotSent(Unsent::ConnectionClosed)) => {}
                done => return done,
            }
        }
        Err(Error::NotSent(Unsent::ConnectionClosed))
    }

    /// Asks a server for its health on the connection that was unused for
    /// longest, so that one that went silent while idle is found.
    pub async fn health(&self, target: &Target, limit: Duration) -> Result<Health, Error> {
        let end = Instant::now() + limit;
        let mut lease = self.acquire(target, end, Pick::Oldest).await.map_err(Error::NotSent)?;
        exchange::health(&mut lease, target, limit).await
    }

    /// Makes `targets` the servers in use: warms their connections, and retires
    /// all others, whose running requests may finish.
    pub fn set_targets(&self, targets: &[Target]) {
        let wanted: HashSet<Server> = targets.iter().map(|target| target.server).collect();
        for server in self.shared.servers() {
            if !wanted.contains(&server) {
                self.retire(server);
            }
        }
        for target in targets {
            let share = self.shared.share(target.connections);
            let surplus = self.shared.with_target(target, |entry| {
                entry.target = target.clone();
                entry.lane.restore(share);
                entry.lane.resize(share)
            });
            close(surplus);
            self.shared.fill(target.server, self.warm(share));
        }
    }

    /// Tells how many nodes this one sees; more than the settings say makes the
    /// shares smaller.
    pub fn set_member_count(&self, members: u32) {
        self.shared.see(members);
        for server in self.shared.servers() {
            let surplus = self.shared.with(server, |entry| {
                if entry.lane.is_retired() {
                    return Vec::new();
                }
                entry.lane.resize(self.shared.share(entry.target.connections))
            });
            close(surplus.unwrap_or_default());
        }
    }

    /// Looks after the connections until `stop`: closes silent ones, sends
    /// probes, and keeps connections warm.
    pub async fn run(&self, stop: CancellationToken) {
        let mut ticks = interval(self.shared.settings.tick);
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
            let look = |entry: &mut Entry| {
                let silent = entry.detector.silent(now);
                let probe = entry.detector.probe(now);
                (silent, probe, entry.rest_until <= now, entry.lane.share())
            };
            let Some((silent, probe, rested, share)) = self.shared.with(server, look) else {
                continue;
            };
            for id in silent {
                log::info!(target: "pool", "{server}: closing a silent connection");
                self.shared.close(server, id);
            }
            if let Some(suspect) = probe {
                self.probe(server, suspect);
            }
            if rested {
                self.shared.fill(server, self.warm(share));
            }
        }
    }

    /// The state of each server's connections, a line each.
    pub fn dump(&self) -> String {
        let mut text = String::new();
        for server in self.shared.servers() {
            let line = |entry: &mut Entry| format!("{} {}", entry.target.name, entry.lane);
            if let Some(line) = self.shared.with(server, line) {
                let _ = writeln!(text, "{line}");
            }
        }
        text
    }

    fn warm(&self, share: u32) -> u32 {
        share.min(self.shared.settings.most_warm)
    }

    fn retire(&self, server: Server) {
        let Some((surplus, waiters)) = self.shared.with(server, |entry| entry.lane.retire()) else {
            return;
        };
        close(surplus);
        for waiter in waiters {
            let _ = waiter.send(Err(Unsent::Retired));
        }
        self.shared.forget(server);
    }

    /// Sends a probe over a new connection, or over an idle one when the share
    /// is full. When all places are busy the suspect gives up its own, which the
    /// next waiter or the warming takes.
    fn probe(&self, server: Server, suspect: ConnectionId) {
        let now = self.shared.now();
        let begin = |entry: &mut Entry| {
            let way = match entry.lane.start_connect(u32::MAX) {
                Some(id) => Way::Open(id),
                None => match entry.lane.take_newest_idle() {
                    Some((id, link)) => Way::Idle(id, link),
                    None if entry.detector.keeps(now, suspect) => Way::None,
                    None => Way::GiveUp,
                },
            };
            (way, entry.target.clone())
        };
        let Some((way, target)) = self.shared.with(server, begin) else { return };
        let shared = Arc::clone(&self.shared);
        match way {
            Way::Open(id) => connect::spawn(shared, target, id, true),
            Way::Idle(id, link) => connect::start_probe(shared, target, id, link),
            Way::GiveUp => self.shared.close(server, suspect),
            Way::None => {}
        }
    }

    async fn acquire(&self, target: &Target, end: Instant, pick: Pick) -> Grant {
        let server = target.server;
        let taken = self.shared.with_target(target, |entry| take(entry, pick));
        let (waiter, grant) = match taken? {
            Taken::Free(id, link) => {
                return Ok(Lease::new(Arc::clone(&self.shared), server, id, link));
            }
            Taken::Waits(waiter, grant) => (waiter, grant),
        };
        let _place = Leave { shared: &self.shared, server, waiter };
        self.shared.fill(server, 0);
        match timeout_at(end, grant).await {
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
enum Pick {
    Newest,
    Oldest,
}

/// How a probe goes out.
enum Way {
    Open(ConnectionId),
    Idle(ConnectionId, Link),
    GiveUp,
    None,
}

enum Taken {
    Free(ConnectionId, Link),
    Waits(WaiterId, oneshot::Receiver<Grant>),
}

/// Takes an idle connection that is still open, or a place in the line.
fn take(entry: &mut Entry, pick: Pick) -> Result<Taken, Unsent> {
    if entry.lane.is_retired() {
        return Err(Unsent::Retired);
    }
    if entry.lane.share() == 0 {
        return Err(Unsent::NoShare);
    }
    loop {
        let idle = match pick {
            Pick::Newest => entry.lane.take_newest_idle(),
            Pick::Oldest => entry.lane.oldest(),
        };
        match idle {
            Some((id, link)) if link.sender.is_closed() => entry.lane.close(id),
            Some((id, link)) => return Ok(Taken::Free(id, link)),
            None => break,
        }
    }
    let (sender, grant) = oneshot::channel();
    let waiter = entry.lane.enqueue(sender).map_err(|_| Unsent::QueueFull)?;
    Ok(Taken::Waits(waiter, grant))
}

fn close(links: Vec<Link>) {
    for link in links {
        link.stop.cancel();
    }
}

/// Takes a waiter out of the line when its future ends or is dropped.
struct Leave<'a> {
    shared: &'a Arc<Shared>,
    server: Server,
    waiter: WaiterId,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.shared.with(self.server, |entry| entry.lane.dequeue(self.waiter));
    }
}
