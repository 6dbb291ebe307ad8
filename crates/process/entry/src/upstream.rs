//! Connections to upstream servers: a share of each server's cap, a first one
//! opened ahead, and each used for one request at a time.
//!
//! Invariant: a connection whose last reply was not read to its end is closed
//! and never used again. No request waits for a server to which the last
//! connection could not be opened and none is left.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::process::ByServer;
use base::entity::Server;
use base::time::Time;
use pool::server;
use pool::server::ConnectionId;
use pool::server::Connections;

/// The longest time to open a connection: ways between regions and a busy
/// server's handshake take a tenth of it.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// The requests of one node that may wait for a connection to one server.
const MOST_WAITING: usize = 16;
/// Connections of one node to one server until the cap is known.
const DEFAULT_SHARE: u32 = 2;
/// The most connections of one node to one server, whatever the cap.
const MOST_SHARE: u32 = 12;
/// A connection is not used again this long before the server closes it.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Unacknowledged data closes a connection after this time, in milliseconds.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The idle time before the first keep-alive probe, and between probes.
const PROBE_EVERY: Duration = Duration::from_secs(2);
/// Probes without an answer that close a connection.
const PROBES: u32 = 2;
/// The pause after a connection could not be opened.
const CONNECT_PAUSE: Duration = Duration::from_millis(250);

/// The sending side of an open connection.
pub(crate) struct Link {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Until when the server keeps it open without a request.
    pub(crate) good_until: Time,
    task: AbortHandle,
}

type Door = Rc<RefCell<Connections<Link, oneshot::Sender<(ConnectionId, Link)>>>>;

/// One server's connections.
#[derive(Clone)]
struct Place {
    door: Door,
    address: SocketAddr,
    reach: Rc<Reach>,
}

/// Whether a server can be connected to.
#[derive(Debug, Default)]
struct Reach {
    /// Whether the last connection could not be opened.
    failed: Cell<bool>,
    /// Until when no connection is opened.
    closed_until: Cell<Time>,
}

/// Why no connection was had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Too many requests wait already, or the server is out of use.
    Full,
    /// No connection could be opened.
    Unreachable,
}

/// The connections of a process.
pub(crate) struct Pool {
    clock: crate::clock::Clock,
    places: RefCell<ByServer<Option<Place>>>,
}

impl Pool {
    pub(crate) fn new(clock: crate::clock::Clock) -> Self {
        Self { clock, places: RefCell::new(ByServer::new()) }
    }

    /// Sets a server's address and this node's part of its connections.
    pub(crate) fn place(&self, server: Server, address: SocketAddr, cap: Option<u32>, nodes: u32) {
        let share = cap.map_or(DEFAULT_SHARE, |cap| (cap / nodes.max(1)).clamp(1, MOST_SHARE));
        let mut places = self.places.borrow_mut();
        let place = places[server].get_or_insert_with(|| Place {
            door: Rc::new(RefCell::new(Connections::new(share, MOST_WAITING))),
            address,
            reach: Rc::default(),
        });
        let surplus = place.door.borrow_mut().resize(share);
        surplus.iter().for_each(|link| link.task.abort());
    }

    /// Closes a server's idle connections for good; busy ones close after their
    /// reply.
    pub(crate) fn retire(&self, server: Server) {
        if let Some(place) = self.places.borrow_mut()[server].take() {
            let (links, _) = place.door.borrow_mut().retire();
            links.iter().for_each(|link| link.task.abort());
        }
    }

    /// Opens a first connection ahead of the first request.
    pub(crate) fn warm(&self, server: Server) {
        let places = self.places.borrow();
        let Some(place) = &places[server] else { return };
        self.try_open(place, 1);
    }

    /// Opens a connection if the pause after the last failure is over and it is
    /// called for.
    fn try_open(&self, place: &Place, warm: u32) {
        if self.clock.now() < place.reach.closed_until.get() {
            return;
        }
        let begun = place.door.borrow_mut().start_connect(warm);
        if let Some(id) = begun {
            tokio::task::spawn_local(open(self.clock, Opening::new(place, id)));
        }
    }

    /// A connection to `server`: an idle one, or the first that becomes free.
    pub(crate) async fn lease(&self, server: Server) -> Result<Lease, Failure> {
        let (door, grant) = {
            let places = self.places.borrow();
            let Some(place) = &places[server] else { return Err(Failure::Full) };
            let door = Rc::clone(&place.door);
            while let Some((id, link)) = newest(&door) {
                if !link.sender.is_closed() && self.clock.now() < link.good_until {
                    return Ok(Lease { door, id, link: Some(link), whole: false });
                }
                link.task.abort();
                door.borrow_mut().remove(id);
            }
            // A connection with a request may become free; one that is being opened
            // will most likely fail as the last one did.
            let busy = door.borrow().count(server::State::Busy);
            if place.reach.failed.get() && busy == 0 {
                self.try_open(place, 1);
                return Err(Failure::Unreachable);
            }
            let (sender, grant) = oneshot::channel();
            let waiter = door.borrow_mut().enqueue(sender).map_err(|_| Failure::Full)?;
            self.try_open(place, 0);
            (Leave { door, waiter }, grant)
        };
        let granted = grant.await;
        match granted {
            Ok((id, link)) => {
                Ok(Lease { door: Rc::clone(&door.door), id, link: Some(link), whole: false })
            }
            Err(_) => Err(Failure::Unreachable),
        }
    }
}

/// The idle connection that was used last.
fn newest(door: &Door) -> Option<(ConnectionId, Link)> {
    door.borrow_mut().take_newest_idle()
}

/// Takes a waiter out of the line when it is served or gives up.
struct Leave {
    door: Door,
    waiter: pool::server::WaiterId,
}

impl Drop for Leave {
    fn drop(&mut self) {
        self.door.borrow_mut().dequeue(self.waiter);
    }
}

/// A connection on loan for one request.
pub(crate) struct Lease {
    door: Door,
    id: ConnectionId,
    link: Option<Link>,
    whole: bool,
}

impl Lease {
    /// The connection.
    pub(crate) fn link(&mut self) -> Option<&mut Link> {
        self.link.as_mut()
    }

    /// Notes that the reply was read to its end, so that the connection may be
    /// used again.
    pub(crate) fn finish(&mut self) {
        self.whole = true;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(link) = self.link.take() else { return };
        if self.whole && !link.sender.is_closed() {
            give(&self.door, self.id, link);
        } else {
            link.task.abort();
            self.door.borrow_mut().remove(self.id);
        }
    }
}

/// Hands a free connection to who waits for one, or lets it rest.
fn give(door: &Door, id: ConnectionId, mut link: Link) {
    loop {
        let waiter = door.borrow_mut().pop_waiter_for(id);
        let Some(waiter) = waiter else { break };
        match waiter.send((id, link)) {
            Ok(()) => return,
            Err((_, returned)) => link = returned,
        }
    }
    let refused = door.borrow_mut().put_idle(id, link);
    if let Some(link) = refused {
        link.task.abort();
        door.borrow_mut().remove(id);
    }
}

/// A connection that is being opened; its place is freed if it is not.
struct Opening {
    door: Door,
    id: ConnectionId,
    address: SocketAddr,
    reach: Rc<Reach>,
    opened: bool,
}

impl Opening {
    fn new(place: &Place, id: ConnectionId) -> Self {
        let (door, reach) = (Rc::clone(&place.door), Rc::clone(&place.reach));
        Self { door, id, address: place.address, reach, opened: false }
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        if !self.opened {
            self.door.borrow_mut().remove(self.id);
        }
    }
}

async fn open(clock: crate::clock::Clock, mut opening: Opening) {
    let opened = timeout(CONNECT_LIMIT, connect(opening.address)).await;
    let failure = match opened {
        Ok(Ok((sender, connection))) => {
            opening.opened = true;
            opening.reach.failed.set(false);
            let (door, id) = (Rc::clone(&opening.door), opening.id);
            let ended = Rc::clone(&opening.door);
            let task = tokio::task::spawn_local(async move {
                if let Err(error) = connection.await {
                    log::debug!(target: "upstream", "Connection closed: {error}.");
                }
                ended.borrow_mut().remove(id);
            });
            let good_until = clock.now() + UNTOLD_KEEP;
            give(&door, id, Link { sender, good_until, task: task.abort_handle() });
            return;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("not opened within {} ms", CONNECT_LIMIT.as_millis()),
    };
    log::info!(target: "upstream", address:% = opening.address, error = failure.as_str(); "Connect failed.");
    opening.reach.failed.set(true);
    opening.reach.closed_until.set(clock.now() + CONNECT_PAUSE);
    // Whoever waits is told, unless another connection may serve them.
    if opening.door.borrow().open() <= 1 {
        while opening.door.borrow_mut().call().is_some() {}
    }
}

/// How long a connection is used if the server does not tell its idle timeout.
pub(crate) const UNTOLD_KEEP: Duration = Duration::from_secs(3600);

/// The time until which a server keeps a connection that it promised to keep for
/// `told`.
pub(crate) fn keep(now: Time, told: Duration) -> Time {
    now + told.saturating_sub(KEEP_MARGIN)
}

/// The sending side of a connection, and what drives it.
pub type Opened = (SendRequest<Full<Bytes>>, http1::Connection<TokioIo<TcpStream>, Full<Bytes>>);

/// Opens a connection on which silence is noticed.
pub async fn connect(address: SocketAddr) -> Result<Opened, Box<dyn std::error::Error>> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    watch_silence(&stream)?;
    Ok(http1::handshake(TokioIo::new(stream)).await?)
}

/// Makes the operating system close a connection whose other end is silent.
pub(crate) fn watch_silence(stream: &TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
