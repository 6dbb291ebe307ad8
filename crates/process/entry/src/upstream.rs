//! Connection pools of upstream servers. A node has a share of each server's connection
//! limit and opens one connection before the first request; a connection carries one
//! request at a time.
//!
//! Invariants: a connection whose last reply was not read completely is closed and never
//! reused. No request waits for a server if the last connect to it failed and no
//! connection is busy. A connection that the server closes at once, before it carries a
//! request, counts as a failed connect, so that a server above its limit is not asked again and again.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::http::HeaderValue;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::breaks::Sign;
use crate::losses;
use crate::process::ByServer;
use crate::unserved;
use base::entity::Server;
use base::time::Time;
use pool::server;
use pool::server::ConnectionId;
use pool::server::Connections;

/// The timeout of a connect; the network time between regions and a busy server's
/// handshake take a tenth of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of requests that wait for a connection to a server.
const MAX_WAITERS: usize = 16;
/// The number of connections to a server whose limit is not known yet.
const DEFAULT_CONNECTIONS: u32 = 2;
/// How long before the server's idle timeout a connection is no longer reused.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// The maximum size of a server's connection's read buffer, and of the head of a reply.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;
/// How long sent data may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The idle time before the first TCP keep-alive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The number of unanswered probes after which a connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// A server that closes a connection sooner after it was opened does not accept it.
const MIN_CONNECTION_AGE: Duration = Duration::from_millis(60);
/// The delay after a failed connect.
const CONNECT_BACKOFF: Duration = Duration::from_millis(250);

/// The errors of a connect that show that nothing listens at an address; others have causes on
/// this VM.
const REFUSALS: [ErrorKind; 4] = [
    ErrorKind::ConnectionRefused,
    ErrorKind::ConnectionReset,
    ErrorKind::HostUnreachable,
    ErrorKind::TimedOut,
];

/// An open connection.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// When it is too close to the server's idle timeout to be reused.
    pub(crate) idle_deadline: Time,
    /// Whether a reply has come on it.
    pub(crate) has_replied: bool,
    /// The requests of which further attempts use other connections.
    pub(crate) unserved: unserved::Requests,
    /// Whether it was leased for a request.
    leased: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// A request that waits for a connection.
struct Waiter {
    request_id: HeaderValue,
    sender: oneshot::Sender<(ConnectionId, Connection)>,
}

type SharedConnections = Rc<RefCell<Connections<Connection, Waiter>>>;

/// A server and its connections.
#[derive(Clone)]
struct Upstream {
    connections: SharedConnections,
    address: SocketAddr,
    reachability: Rc<Reachability>,
    demand: Rc<Demand>,
}

impl Upstream {
    /// Changes the share, and closes the idle connections beyond it.
    fn resize(&self, share: u32) {
        let excess = self.connections.borrow_mut().resize(share);
        excess.iter().for_each(|connection| connection.task.abort());
    }
}

/// What this node would use of a server's connections if no request waited in a line: requests
/// that wait, here or at the server, need no further connections.
#[derive(Debug)]
struct Demand {
    /// The requests for a connection since [`Self::metered_at`].
    requests: Cell<u32>,
    /// The shortest time that a connection was leased since then.
    shortest_lease: Cell<Duration>,
    metered_at: Cell<Time>,
    /// The usual shortest time of a lease.
    lease_time: Cell<Duration>,
}

/// The weight of the last interval in [`Demand::lease_time`].
const LEASE_TIME_WEIGHT: f64 = 0.3;

impl Demand {
    fn new(now: Time) -> Self {
        Self {
            requests: Cell::new(0),
            shortest_lease: Cell::new(Duration::MAX),
            metered_at: Cell::new(now),
            lease_time: Cell::new(Duration::ZERO),
        }
    }

    fn on_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    fn on_return(&self, lease: Duration) {
        self.shortest_lease.set(self.shortest_lease.get().min(lease));
    }

    /// The average number of connections that the requests since the last call need.
    fn take(&self, now: Time) -> f64 {
        let elapsed = now.since(self.metered_at.replace(now)).as_secs_f64();
        let requests = f64::from(self.requests.take());
        let shortest = self.shortest_lease.replace(Duration::MAX);
        if shortest < Duration::MAX {
            let known = self.lease_time.get();
            let weight = if known.is_zero() { 1.0 } else { LEASE_TIME_WEIGHT };
            self.lease_time.set(known.mul_f64(1.0 - weight) + shortest.mul_f64(weight));
        }
        if elapsed > 0.0 { requests / elapsed * self.lease_time.get().as_secs_f64() } else { 0.0 }
    }
}

/// Whether connects to a server succeed.
#[derive(Debug, Default)]
struct Reachability {
    /// Whether the last connect failed.
    connect_failed: Cell<bool>,
    /// The earliest time of the next connect.
    retry_at: Cell<Time>,
    /// When a connection last broke that carried no request.
    idle_broke_at: Cell<Option<Time>>,
    /// When a connection last broke that carried one.
    busy_broke_at: Cell<Option<Time>>,
}

impl Reachability {
    /// Records that a connection in `state` was closed by the other side.
    fn broke(&self, now: Time, state: Option<server::State>) {
        match state {
            Some(server::State::Idle) => self.idle_broke_at.set(Some(now)),
            Some(server::State::Busy) => self.busy_broke_at.set(Some(now)),
            Some(server::State::Connecting | server::State::Closing) | None => {}
        }
    }
}

/// Why a request got no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseError {
    /// Too many requests wait for a connection already. Also returned for a server that is
    /// not in use, for which no request may wait.
    QueueFull,
    /// Connects to the server fail.
    Unreachable,
}

/// The connections to all servers.
pub struct Pool {
    clock: crate::clock::Clock,
    upstreams: RefCell<ByServer<Option<Upstream>>>,
    /// The number of open connections.
    open_count: Rc<Cell<usize>>,
    /// Notified when a connection breaks that carried no request.
    idle_broke: Rc<Notify>,
}

impl Pool {
    /// A pool without servers.
    pub fn new(clock: crate::clock::Clock) -> Self {
        Self {
            clock,
            upstreams: RefCell::new(ByServer::new()),
            open_count: Rc::default(),
            idle_broke: Rc::default(),
        }
    }

    /// The number of open connections to all servers.
    pub(crate) fn open_count(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.open_count)
    }

    /// Adds a server, or updates this node's share of its connections; `None` if its limit is
    /// not known.
    pub fn set_server(&self, server: Server, address: SocketAddr, share: Option<u32>) {
        let share = share.unwrap_or(DEFAULT_CONNECTIONS);
        let mut upstreams = self.upstreams.borrow_mut();
        let upstream = upstreams[server].get_or_insert_with(|| Upstream {
            connections: Rc::new(RefCell::new(Connections::new(share, MAX_WAITERS))),
            address,
            reachability: Rc::default(),
            demand: Rc::new(Demand::new(self.clock.now())),
        });
        upstream.resize(share);
    }

    /// Changes this node's share of a server's connections, and opens those that requests wait for.
    /// Returns the share before, if it was another one.
    pub(crate) fn set_share(&self, server: Server, share: u32) -> Option<u32> {
        let upstreams = self.upstreams.borrow();
        let upstream = upstreams[server].as_ref()?;
        let before = upstream.connections.borrow().share();
        upstream.resize(share);
        (before..share).for_each(|_| self.try_open(upstream, 0));
        (before != share).then_some(before)
    }

    /// The number of connections to a server, and how many requests need on average since the last
    /// call.
    pub(crate) fn take_use(&self, server: Server) -> (u32, f64) {
        let upstreams = self.upstreams.borrow();
        let Some(upstream) = &upstreams[server] else { return (0, 0.0) };
        let needed = upstream.demand.take(self.clock.now());
        (upstream.connections.borrow().open_count(), needed)
    }

    /// Removes a server: closes its idle connections, and the busy ones after their reply.
    pub(crate) fn retire(&self, server: Server) {
        if let Some(upstream) = self.upstreams.borrow_mut()[server].take() {
            let (connections, _) = upstream.connections.borrow_mut().retire();
            connections.iter().for_each(|connection| connection.task.abort());
        }
    }

    /// Opens a connection if there is none, so that the first request does not wait for the
    /// connect.
    pub fn preconnect(&self, server: Server) {
        let upstreams = self.upstreams.borrow();
        let Some(upstream) = &upstreams[server] else { return };
        self.try_open(upstream, 1);
    }

    /// Opens a connection if a request waits or fewer than `min_open` are open, unless the
    /// delay after a failed connect has not passed yet.
    fn try_open(&self, upstream: &Upstream, min_open: u32) {
        if self.clock.now() < upstream.reachability.retry_at.get() {
            return;
        }
        let reserved = upstream.connections.borrow_mut().start_connect(min_open);
        if let Some(id) = reserved {
            let opening = Opening::new(upstream, id, Open::new(&self.open_count));
            tokio::task::spawn_local(open(self.clock, opening, Rc::clone(&self.idle_broke)));
        }
    }

    /// Closes the idle connections to a server, whose path seems lost: a request would hang on them.
    pub(crate) fn close_idle(&self, server: Server) {
        let upstreams = self.upstreams.borrow();
        let Some(upstream) = &upstreams[server] else { return };
        while let Some((id, connection)) = take_newest_idle(&upstream.connections) {
            connection.task.abort();
            upstream.connections.borrow_mut().remove(id);
        }
    }

    /// Whether an open connection to a server carries no request.
    pub fn has_idle(&self, server: Server) -> bool {
        let upstreams = self.upstreams.borrow();
        let idle = |upstream: &Upstream| upstream.connections.borrow().count(server::State::Idle);
        upstreams[server].as_ref().is_some_and(|upstream| idle(upstream) > 0)
    }

    /// Waits until a connection breaks that carried no request.
    pub(crate) async fn idle_broke(&self) {
        self.idle_broke.notified().await;
    }

    /// The servers to which all connections broke a moment ago without a request on them, and those
    /// to which some are open; without those at which a request broke off.
    pub(crate) fn losses(&self) -> losses::Count {
        let from = self.clock.now().before(losses::SPAN);
        let is_recent = |at: &Cell<Option<Time>>| at.get().is_some_and(|at| at >= from);
        let mut count = losses::Count::default();
        for upstream in self.upstreams.borrow().values().flatten() {
            let connections = upstream.connections.borrow();
            let open =
                connections.count(server::State::Idle) + connections.count(server::State::Busy);
            if is_recent(&upstream.reachability.busy_broke_at) {
                continue;
            }
            if open > 0 {
                count.kept += 1;
            } else if is_recent(&upstream.reachability.idle_broke_at) {
                count.lost += 1;
            }
        }
        count
    }

    /// Whether a server has ended: it accepts no connection, and none to it is open unless it is
    /// silent.
    pub(crate) async fn has_ended(&self, server: Server, sign: Sign) -> bool {
        let address = {
            let upstreams = self.upstreams.borrow();
            let Some(upstream) = &upstreams[server] else { return false };
            let connections = upstream.connections.borrow();
            let open =
                connections.count(server::State::Idle) + connections.count(server::State::Busy);
            if sign == Sign::Broken && open > 0 {
                return false;
            }
            upstream.address
        };
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => false,
            Ok(Err(error)) => REFUSALS.contains(&error.kind()),
            Err(_) => true,
        }
    }

    /// Leases a connection to `server` for the request `request_id`: an idle one, or the first that
    /// becomes free, but none that must not carry it again.
    pub(crate) async fn lease(
        &self,
        server: Server,
        request_id: &HeaderValue,
    ) -> Result<Lease, LeaseError> {
        let demand = self.upstreams.borrow()[server].as_ref().map(|known| Rc::clone(&known.demand));
        demand.iter().for_each(|demand| demand.on_request());
        loop {
            let mut lease = self.lease_any(server, request_id).await?;
            let is_usable = |connection: &mut Connection| !connection.unserved.contains(request_id);
            if lease.connection().is_some_and(is_usable) {
                let since = self.clock.now();
                lease.meter = demand.map(|demand| Meter { clock: self.clock, since, demand });
                return Ok(lease);
            }
        }
    }

    async fn lease_any(
        &self,
        server: Server,
        request_id: &HeaderValue,
    ) -> Result<Lease, LeaseError> {
        let (guard, receiver) = {
            let upstreams = self.upstreams.borrow();
            let Some(upstream) = &upstreams[server] else { return Err(LeaseError::QueueFull) };
            let connections = Rc::clone(&upstream.connections);
            let is_usable = |connection: &Connection| !connection.unserved.contains(request_id);
            loop {
                let idle = connections.borrow_mut().take_idle_where(is_usable);
                let Some((id, connection)) = idle else { break };
                if !connection.sender.is_closed() && self.clock.now() < connection.idle_deadline {
                    return Ok(Lease::new(connections, id, connection));
                }
                connection.task.abort();
                connections.borrow_mut().remove(id);
            }
            // Makes room for another one.
            if let Some((id, connection)) = take_newest_idle(&connections) {
                connection.task.abort();
                connections.borrow_mut().remove(id);
            }
            // Only a busy connection is worth waiting for: a new connect will most likely
            // fail as well.
            let busy = connections.borrow().count(server::State::Busy);
            if upstream.reachability.connect_failed.get() && busy == 0 {
                self.try_open(upstream, 1);
                return Err(LeaseError::Unreachable);
            }
            let (sender, receiver) = oneshot::channel();
            let waiter = Waiter { request_id: request_id.clone(), sender };
            let waiter =
                connections.borrow_mut().enqueue(waiter).map_err(|_| LeaseError::QueueFull)?;
            self.try_open(upstream, 0);
            (WaiterGuard { connections, waiter }, receiver)
        };
        let result = receiver.await;
        match result {
            Ok((id, connection)) => Ok(Lease::new(Rc::clone(&guard.connections), id, connection)),
            Err(_) => Err(LeaseError::Unreachable),
        }
    }
}

/// Takes the idle connection that was used most recently.
fn take_newest_idle(connections: &SharedConnections) -> Option<(ConnectionId, Connection)> {
    connections.borrow_mut().take_newest_idle()
}

/// Removes a waiter from the queue when it is served or cancelled.
struct WaiterGuard {
    connections: SharedConnections,
    waiter: pool::server::WaiterId,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.connections.borrow_mut().dequeue(self.waiter);
    }
}

/// A connection that is leased for one request.
pub(crate) struct Lease {
    connections: SharedConnections,
    id: ConnectionId,
    connection: Option<Connection>,
    reusable: bool,
    /// Measures how long the connection is leased.
    meter: Option<Meter>,
}

/// Measures the time of a lease.
struct Meter {
    clock: crate::clock::Clock,
    since: Time,
    demand: Rc<Demand>,
}

impl Lease {
    fn new(connections: SharedConnections, id: ConnectionId, connection: Connection) -> Self {
        connection.leased.set(true);
        Self { connections, id, connection: Some(connection), reusable: false, meter: None }
    }

    /// The leased connection.
    pub(crate) fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Marks that the reply was read completely, so that the connection can be reused.
    pub(crate) fn mark_reusable(&mut self) {
        self.reusable = true;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if self.reusable && !connection.sender.is_closed() {
            if let Some(meter) = &self.meter {
                meter.demand.on_return(meter.clock.now().since(meter.since));
            }
            return_connection(&self.connections, self.id, connection);
        } else {
            connection.task.abort();
            self.connections.borrow_mut().remove(self.id);
        }
    }
}

/// Passes a free connection to the first waiter that can use it, or else to the first one, which
/// replaces it; makes it idle if there is none.
fn return_connection(
    connections: &SharedConnections,
    id: ConnectionId,
    mut connection: Connection,
) {
    loop {
        let is_suited = |waiter: &Waiter| !connection.unserved.contains(&waiter.request_id);
        let waiter = connections.borrow_mut().pop_waiter_where(id, is_suited);
        let Some(waiter) = waiter else { break };
        match waiter.sender.send((id, connection)) {
            Ok(()) => return,
            Err((_, returned)) => connection = returned,
        }
    }
    let rejected = connections.borrow_mut().put_idle(id, connection);
    if let Some(connection) = rejected {
        connection.task.abort();
        connections.borrow_mut().remove(id);
    }
}

/// A connection that is being opened; its slot in the pool is released if that fails.
struct Opening {
    connections: SharedConnections,
    id: ConnectionId,
    address: SocketAddr,
    reachability: Rc<Reachability>,
    counted: Option<Open>,
    is_open: bool,
}

impl Opening {
    fn new(upstream: &Upstream, id: ConnectionId, counted: Open) -> Self {
        let (connections, reachability) =
            (Rc::clone(&upstream.connections), Rc::clone(&upstream.reachability));
        Self {
            connections,
            id,
            address: upstream.address,
            reachability,
            counted: Some(counted),
            is_open: false,
        }
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        if !self.is_open {
            self.connections.borrow_mut().remove(self.id);
        }
    }
}

/// Counts as an open connection until it is dropped.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// The place of an open connection in its pool. The connection's task owns it, so that it is
/// released however the task ends: closed by the server, or aborted by this node.
struct Slot {
    connections: SharedConnections,
    id: ConnectionId,
    _counted: Option<Open>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.borrow_mut().remove(self.id);
    }
}

async fn open(clock: crate::clock::Clock, mut opening: Opening, idle_broke: Rc<Notify>) {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_READ_BUFFER_BYTES);
    let opened = timeout(CONNECT_TIMEOUT, connect_with(opening.address, &builder)).await;
    let failure = match opened {
        Ok(Ok((sender, connection))) => {
            opening.is_open = true;
            opening.reachability.connect_failed.set(false);
            let (connections, id) = (Rc::clone(&opening.connections), opening.id);
            let counted = opening.counted.take();
            let slot = Slot { connections: Rc::clone(&connections), id, _counted: counted };
            let reachability = Rc::clone(&opening.reachability);
            let opened_at = clock.now();
            let leased = Rc::new(Cell::new(false));
            let was_leased = Rc::clone(&leased);
            let task = tokio::task::spawn_local(async move {
                if let Err(error) = connection.await {
                    log::debug!(target: "upstream", "Connection closed: {error}.");
                }
                let now = clock.now();
                let state = slot.connections.borrow().state(slot.id);
                reachability.broke(now, state);
                if state == Some(server::State::Idle) {
                    idle_broke.notify_one();
                }
                if !was_leased.get() && now.since(opened_at) < MIN_CONNECTION_AGE {
                    reachability.connect_failed.set(true);
                    reachability.retry_at.set(now + CONNECT_BACKOFF);
                }
            });
            let idle_deadline = clock.now() + DEFAULT_MAX_AGE;
            return_connection(
                &connections,
                id,
                Connection {
                    sender,
                    idle_deadline,
                    has_replied: false,
                    unserved: unserved::Requests::new(),
                    leased,
                    task: task.abort_handle(),
                },
            );
            return;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("not opened within {} ms", CONNECT_TIMEOUT.as_millis()),
    };
    log::info!(target: "upstream", address:% = opening.address, error = failure.as_str(); "Connect failed.");
    opening.reachability.connect_failed.set(true);
    opening.reachability.retry_at.set(clock.now() + CONNECT_BACKOFF);
    // This connection is still counted. If it is the only one, none can become free, and
    // all waiters fail: dropping their senders notifies them.
    if opening.connections.borrow().open_count() <= 1 {
        while opening.connections.borrow_mut().pop_waiter().is_some() {}
    }
}

/// How long a connection is reused if the server sends no idle timeout, counted from its
/// opening: only a reply with a `Keep-Alive` header moves the deadline.
pub(crate) const DEFAULT_MAX_AGE: Duration = Duration::from_secs(3600);

/// When to stop reusing a connection on which the server announced `idle_timeout`.
pub(crate) fn idle_deadline(now: Time, idle_timeout: Duration) -> Time {
    now + idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
}

/// The sending side of a connection, and the future that drives its I/O.
pub type Opened = (SendRequest<Full<Bytes>>, http1::Connection<TokioIo<TcpStream>, Full<Bytes>>);

/// Opens a connection to a node or the registry, with dead peer detection.
pub async fn connect(address: SocketAddr) -> Result<Opened, Box<dyn std::error::Error>> {
    connect_with(address, &http1::Builder::new()).await
}

async fn connect_with(
    address: SocketAddr,
    builder: &http1::Builder,
) -> Result<Opened, Box<dyn std::error::Error>> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    detect_dead_peer(&stream)?;
    Ok(builder.handshake(TokioIo::new(stream)).await?)
}

/// Sets socket options by which the operating system closes a connection whose peer no
/// longer responds.
fn detect_dead_peer(stream: &TcpStream) -> std::io::Result<()> {
    probe_idle_peer(stream)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Like [`detect_dead_peer`], for a peer that may take no data for a while: only an idle connection
/// is probed.
pub(crate) fn probe_idle_peer(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
