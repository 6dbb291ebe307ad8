//! The connections to one server, and the queue of requests that wait for one.
//!
//! The state machine does no I/O. It is generic in the connection `C` and the
//! waiter `W`, so that tests run it without sockets.
//!
//! Invariant: connections that are being opened, idle, busy or closing together
//! never exceed the share. Waiters are served in order of arrival by whichever
//! connection becomes free first, not by the one that was opened for them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;

/// Identifies a connection to one server; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies a queued request of one server; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection is being opened.
    Connecting,
    /// The connection is open and carries no request.
    Idle,
    /// The connection carries a request.
    Busy,
    /// The connection is closed, but the server may not have seen the close yet.
    Closing,
}

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// The connections and the queue of one server.
pub struct Connections<C, W> {
    share: u32,
    max_waiting: usize,
    retired: bool,
    states: BTreeMap<ConnectionId, State>,
    idle: VecDeque<(ConnectionId, C)>,
    queue: VecDeque<(WaiterId, W)>,
    next_id: u64,
}

impl<C, W> Connections<C, W> {
    /// Creates the state of a server that may have `share` connections and
    /// `max_waiting` queued requests.
    pub fn new(share: u32, max_waiting: usize) -> Self {
        Self {
            share,
            max_waiting,
            retired: false,
            states: BTreeMap::new(),
            idle: VecDeque::new(),
            queue: VecDeque::new(),
            next_id: 0,
        }
    }

    /// The maximum number of connections.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Changes the share and returns the idle connections that exceed it, for the
    /// caller to close. Busy ones are closed when they are released.
    pub fn resize(&mut self, share: u32) -> Vec<C> {
        self.share = share;
        let mut surplus = Vec::new();
        while self.active() > share {
            let Some((id, connection)) = self.idle.pop_front() else { break };
            self.states.insert(id, State::Closing);
            surplus.push(connection);
        }
        surplus
    }

    /// Takes the server out of use. Returns the idle connections to close and the
    /// waiters to notify.
    pub fn retire(&mut self) -> (Vec<C>, Vec<W>) {
        self.retired = true;
        let waiters = self.queue.drain(..).map(|(_, waiter)| waiter).collect();
        (self.resize(0), waiters)
    }

    /// Puts the server back into use.
    pub fn restore(&mut self, share: u32) {
        self.retired = false;
        self.share = share;
    }

    /// Whether the server is out of use and has no connections left.
    pub fn is_finished(&self) -> bool {
        self.retired && self.states.is_empty()
    }

    /// Whether the server is out of use.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// The number of connections in `state`.
    pub fn count(&self, state: State) -> u32 {
        self.states.values().filter(|found| **found == state).count() as u32
    }

    /// The number of connections in any state, including the closing ones.
    pub fn open_count(&self) -> u32 {
        self.states.len() as u32
    }

    fn active(&self) -> u32 {
        self.open_count() - self.count(State::Closing)
    }

    /// Takes the most recently used idle connection, the least likely one to be
    /// stale.
    pub fn take_newest_idle(&mut self) -> Option<(ConnectionId, C)> {
        let (id, connection) = self.idle.pop_back()?;
        self.states.insert(id, State::Busy);
        Some((id, connection))
    }

    /// Takes the most recently used idle connection that `is_usable` selects.
    pub fn take_idle_where(&mut self, is_usable: impl Fn(&C) -> bool) -> Option<(ConnectionId, C)> {
        let index = self.idle.iter().rposition(|(_, connection)| is_usable(connection))?;
        let (id, connection) = self.idle.remove(index)?;
        self.states.insert(id, State::Busy);
        Some((id, connection))
    }

    /// Takes the least recently used idle connection, so that successive health
    /// checks cover all connections.
    pub fn take_oldest_idle(&mut self) -> Option<(ConnectionId, C)> {
        let (id, connection) = self.idle.pop_front()?;
        self.states.insert(id, State::Busy);
        Some((id, connection))
    }

    /// Adds a waiter at the end of the queue.
    pub fn enqueue(&mut self, waiter: W) -> Result<WaiterId, QueueFull> {
        if self.queue.len() >= self.max_waiting {
            return Err(QueueFull);
        }
        let id = WaiterId(self.new_id());
        self.queue.push_back((id, waiter));
        Ok(id)
    }

    /// Removes a waiter that has given up from the queue.
    pub fn dequeue(&mut self, waiter: WaiterId) {
        self.queue.retain(|(id, _)| *id != waiter);
    }

    /// Removes the first waiter, to give it a connection or an error.
    pub fn pop_waiter(&mut self) -> Option<W> {
        self.queue.pop_front().map(|(_, waiter)| waiter)
    }

    /// The length of the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Reserves a new connection if the share allows one and either a waiter needs
    /// it or fewer than `min_open` connections are open.
    pub fn start_connect(&mut self, min_open: u32) -> Option<ConnectionId> {
        if self.retired || self.open_count() >= self.share {
            return None;
        }
        let connecting = self.count(State::Connecting) as usize;
        if connecting >= self.queue.len() && self.active() >= min_open {
            return None;
        }
        let id = ConnectionId(self.new_id());
        self.states.insert(id, State::Connecting);
        Some(id)
    }

    /// The state of a connection; `None` once it is removed.
    pub fn state(&self, id: ConnectionId) -> Option<State> {
        self.states.get(&id).copied()
    }

    /// Whether the connection is being opened or carries a request.
    pub fn is_in_use(&self, id: ConnectionId) -> bool {
        matches!(self.states.get(&id), Some(State::Connecting | State::Busy))
    }

    /// Removes the first waiter for the free connection `id`, if there is one and
    /// the connection may still be used.
    pub fn pop_waiter_for(&mut self, id: ConnectionId) -> Option<W> {
        self.pop_waiter_where(id, |_| true)
    }

    /// Like [`Self::pop_waiter_for`], but prefers the first waiter that `is_suited` selects.
    pub fn pop_waiter_where(
        &mut self,
        id: ConnectionId,
        is_suited: impl Fn(&W) -> bool,
    ) -> Option<W> {
        if !self.is_in_use(id) || self.retired || self.active() > self.share {
            return None;
        }
        let index = self.queue.iter().position(|(_, waiter)| is_suited(waiter)).unwrap_or(0);
        let (_, waiter) = self.queue.remove(index)?;
        self.states.insert(id, State::Busy);
        Some(waiter)
    }

    /// Makes a free connection idle. Returns it if it must be closed or was closed
    /// in the meantime.
    pub fn put_idle(&mut self, id: ConnectionId, connection: C) -> Option<C> {
        if !self.is_in_use(id) {
            return Some(connection);
        }
        if self.retired || self.active() > self.share {
            self.states.insert(id, State::Closing);
            return Some(connection);
        }
        self.states.insert(id, State::Idle);
        self.idle.push_back((id, connection));
        None
    }

    /// Records that a connection is closed but the server may not have seen the
    /// close yet.
    pub fn mark_closing(&mut self, id: ConnectionId) {
        self.idle.retain(|(found, _)| *found != id);
        if let Some(state) = self.states.get_mut(&id) {
            *state = State::Closing;
        }
    }

    /// Removes a closed connection, which makes room in the share.
    pub fn remove(&mut self, id: ConnectionId) {
        self.idle.retain(|(found, _)| *found != id);
        self.states.remove(&id);
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
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
            self.queue.len(),
            if self.retired { " retired" } else { "" },
        )
    }
}
