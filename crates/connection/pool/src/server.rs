//! The places of one server: which connections there are, and who waits.
//!
//! The state machine does no I/O. It is generic in the connection `C` and the
//! waiter `W`, so that it runs in tests without sockets.
//!
//! Invariant: connections that are being opened, idle, busy or closing together
//! never exceed the share. A waiter is served in the order of coming by the
//! first connection that becomes free, not by one that was opened for it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;

/// Names a connection of one server; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Names a waiter of one server; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// What a place is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection is being opened.
    Connecting,
    /// The connection is open and has no request.
    Idle,
    /// The connection has a request.
    Busy,
    /// The connection is closed, and the server may not know it yet.
    Closing,
}

/// The waiting line is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The places of one server.
pub struct Connections<C, W> {
    share: u32,
    most_waiting: usize,
    retired: bool,
    places: BTreeMap<ConnectionId, State>,
    idle: VecDeque<(ConnectionId, C)>,
    waiting: VecDeque<(WaiterId, W)>,
    next: u64,
}

impl<C, W> Connections<C, W> {
    /// A server with `share` places and at most `most_waiting` waiters.
    pub fn new(share: u32, most_waiting: usize) -> Self {
        Self {
            share,
            most_waiting,
            retired: false,
            places: BTreeMap::new(),
            idle: VecDeque::new(),
            waiting: VecDeque::new(),
            next: 0,
        }
    }

    /// The present share.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Changes the share; a smaller one gives back idle connections to close,
    /// and busy ones close when they are released.
    pub fn resize(&mut self, share: u32) -> Vec<C> {
        self.share = share;
        let mut surplus = Vec::new();
        while self.kept() > share {
            let Some((id, connection)) = self.idle.pop_front() else { break };
            self.places.insert(id, State::Closing);
            surplus.push(connection);
        }
        surplus
    }

    /// Takes the server out of use: gives back what to close and whom to tell.
    pub fn retire(&mut self) -> (Vec<C>, Vec<W>) {
        self.retired = true;
        let waiters = self.waiting.drain(..).map(|(_, waiter)| waiter).collect();
        (self.resize(0), waiters)
    }

    /// Takes the server into use again.
    pub fn restore(&mut self, share: u32) {
        self.retired = false;
        self.share = share;
    }

    /// Whether the server is out of use and holds nothing.
    pub fn is_finished(&self) -> bool {
        self.retired && self.places.is_empty()
    }

    /// Whether the server is out of use.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Places of one kind.
    pub fn count(&self, place: State) -> u32 {
        self.places.values().filter(|found| **found == place).count() as u32
    }

    /// Places in use, the closing ones included.
    pub fn open(&self) -> u32 {
        self.places.len() as u32
    }

    fn kept(&self) -> u32 {
        self.open() - self.count(State::Closing)
    }

    /// Takes the idle connection that was used last, which is the least likely
    /// to have gone stale.
    pub fn take_newest_idle(&mut self) -> Option<(ConnectionId, C)> {
        let (id, connection) = self.idle.pop_back()?;
        self.places.insert(id, State::Busy);
        Some((id, connection))
    }

    /// Takes the idle connection that has been unused for longest, so that
    /// health checks go round all connections.
    pub fn oldest(&mut self) -> Option<(ConnectionId, C)> {
        let (id, connection) = self.idle.pop_front()?;
        self.places.insert(id, State::Busy);
        Some((id, connection))
    }

    /// Puts a waiter at the end of the line.
    pub fn enqueue(&mut self, waiter: W) -> Result<WaiterId, Full> {
        if self.waiting.len() >= self.most_waiting {
            return Err(Full);
        }
        let id = WaiterId(self.number());
        self.waiting.push_back((id, waiter));
        Ok(id)
    }

    /// Takes a waiter out of the line that waits no more.
    pub fn dequeue(&mut self, waiter: WaiterId) {
        self.waiting.retain(|(id, _)| *id != waiter);
    }

    /// Takes the first waiter, to hand it a connection or an error.
    pub fn call(&mut self) -> Option<W> {
        self.waiting.pop_front().map(|(_, waiter)| waiter)
    }

    /// Waiters in the line.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Starts opening a connection, if a waiter or the wish to keep `warm`
    /// connections calls for one and the share has a place.
    pub fn start_connect(&mut self, warm: u32) -> Option<ConnectionId> {
        if self.retired || self.open() >= self.share {
            return None;
        }
        let connecting = self.count(State::Connecting) as usize;
        if connecting >= self.waiting.len() && self.kept() >= warm {
            return None;
        }
        let id = ConnectionId(self.number());
        self.places.insert(id, State::Connecting);
        Some(id)
    }

    /// Whether the connection is being opened or has a request.
    pub fn holds(&self, id: ConnectionId) -> bool {
        matches!(self.places.get(&id), Some(State::Connecting | State::Busy))
    }

    /// Hands a free connection to the first waiter, if there is one and the
    /// connection is still good.
    pub fn pop_waiter_for(&mut self, id: ConnectionId) -> Option<W> {
        if !self.holds(id) || self.retired || self.kept() > self.share {
            return None;
        }
        let waiter = self.call()?;
        self.places.insert(id, State::Busy);
        Some(waiter)
    }

    /// Takes a free connection back; gives it back if it is to be closed or
    /// was closed meanwhile.
    pub fn put_idle(&mut self, id: ConnectionId, connection: C) -> Option<C> {
        if !self.holds(id) {
            return Some(connection);
        }
        if self.retired || self.kept() > self.share {
            self.places.insert(id, State::Closing);
            return Some(connection);
        }
        self.places.insert(id, State::Idle);
        self.idle.push_back((id, connection));
        None
    }

    /// Notes that a connection is closed but the server may not know it yet.
    pub fn close(&mut self, id: ConnectionId) {
        self.idle.retain(|(found, _)| *found != id);
        if let Some(place) = self.places.get_mut(&id) {
            *place = State::Closing;
        }
    }

    /// Frees the place of a closed connection.
    pub fn remove(&mut self, id: ConnectionId) {
        self.idle.retain(|(found, _)| *found != id);
        self.places.remove(&id);
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

impl<C, W> fmt::Display for Connections<C, W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "share {} connecting {} idle {} busy {} closing {} waiting {}{}",
            self.share,
            self.count(State::Connecting),
            self.count(State::Idle),
            self.count(State::Busy),
            self.count(State::Closing),
            self.waiting.len(),
            if self.retired { " retired" } else { "" },
        )
    }
}
