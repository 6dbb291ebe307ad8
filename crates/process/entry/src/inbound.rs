//! What callers, nodes and operators make this node hold: their connections, with the read buffers of
//! these and the answers that are not sent yet, and the bodies of their requests. No I/O.
//!
//! Invariants: each listener has descriptors of its own, so that a crowd at one takes none from the
//! others. All buffers and all bodies together stay within their parts of the memory. What
//! runs is never given up. If room is short, connections that have brought no request yet are given
//! up first, the one without progress for the longest time before others; then those that are
//! idle, but none that was in use a moment ago. Of the bodies, one that makes no progress is given up
//! before one that does, and a large one before a small one.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use base::time::Time;

/// The fraction of the descriptors that this node uses in all.
const DESCRIPTOR_FRACTION: f64 = 0.85;
/// The descriptors of the listeners, the registry, the log and the runtime.
const OWN_DESCRIPTORS: usize = 64;
/// The part of the descriptors that callers have at least, as a divisor.
const MIN_CALLERS_DIVISOR: usize = 4;
/// The fraction of the memory that read buffers and unsent answers may use.
const BUFFER_FRACTION: f64 = 0.25;
/// The fraction of the memory that the bodies of requests may use.
const BODY_FRACTION: f64 = 0.15;
/// The memory for bodies of a node whose memory is not known.
const DEFAULT_BODY_BYTES: usize = 64 << 20;
/// The memory of a connection with a read buffer of the initial size.
const CONNECTION_BYTES: usize = 12 << 10;
/// The initial size of a read buffer, in bytes.
const INITIAL_BUFFER_BYTES: usize = 8 << 10;
/// How long a connection without a request has made no progress before it is given up ahead of
/// those that are idle.
const MIN_STALL: Duration = Duration::from_millis(50);
/// How long a connection that has brought requests is kept after the last one, and how long a body
/// may make no progress.
const MIN_IDLE: Duration = Duration::from_secs(1);
/// How long a peer waits for the answer to a request that doesn't say so.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(10);
/// The longest time without progress in which the rest of an answer is kept.
pub const MAX_PATIENCE: Duration = Duration::from_secs(60);
/// The shortest interval between log lines on what was given up.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Who connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Callers with requests.
    Callers,
    /// Callers with lookups.
    Lookups,
    /// Readiness checks.
    Readiness,
    /// Operators, and who reads the metrics.
    Operators,
    /// Other nodes.
    Nodes,
}

impl Listener {
    /// All listeners.
    pub const ALL: [Self; 5] =
        [Self::Callers, Self::Lookups, Self::Readiness, Self::Operators, Self::Nodes];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Lookups => "lookups",
            Self::Readiness => "readiness",
            Self::Operators => "operators",
            Self::Nodes => "nodes",
        }
    }

    /// The part of the descriptors that is set aside, as a divisor, and the least number; `None`
    /// for callers, who have what is left.
    fn reserved(self) -> Option<(usize, usize)> {
        match self {
            Self::Callers => None,
            Self::Lookups | Self::Nodes => Some((8, 16)),
            Self::Readiness => Some((32, 8)),
            Self::Operators => Some((64, 8)),
        }
    }
}

/// How much a node may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The descriptors that it uses in all.
    pub descriptors: usize,
    /// The bytes of all read buffers and unsent answers.
    pub buffers: usize,
    /// The bytes of all bodies.
    pub bodies: usize,
}

impl Limits {
    /// The limits of a process that may use `memory` bytes and `descriptors`, if these are limited.
    pub fn new(memory: Option<u64>, descriptors: Option<u64>) -> Self {
        let part = |whole: Option<u64>, fraction: f64, default| {
            whole.map_or(default, |whole| (whole as f64 * fraction) as usize)
        };
        Self {
            descriptors: part(descriptors, DESCRIPTOR_FRACTION, usize::MAX),
            buffers: part(memory, BUFFER_FRACTION, usize::MAX),
            bodies: part(memory, BODY_FRACTION, DEFAULT_BODY_BYTES),
        }
    }

    /// The most connections of a listener while `upstreams` connections to servers are open.
    pub fn connections(&self, listener: Listener, upstreams: usize) -> usize {
        let reserved = |(divisor, least): (usize, usize)| (self.descriptors / divisor).max(least);
        if let Some(part) = listener.reserved() {
            return reserved(part);
        }
        let others: usize =
            Listener::ALL.into_iter().filter_map(Listener::reserved).map(reserved).sum();
        let left = self.descriptors.saturating_sub(others + OWN_DESCRIPTORS + upstreams);
        left.max(self.descriptors / MIN_CALLERS_DIVISOR)
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for a request, or for the rest of its head.
    Head,
    /// The body of its request arrives.
    Body,
    /// Its request runs, or is answered.
    Running,
}

/// A signal that lasts once it is given.
#[derive(Debug, Default)]
struct Signal {
    is_given: Cell<bool>,
    notify: Notify,
}

impl Signal {
    fn give(&self) {
        self.is_given.set(true);
        self.notify.notify_waiters();
    }

    async fn wait(&self) {
        let given = self.notify.notified();
        if !self.is_given.get() {
            given.await;
        }
    }
}

#[derive(Debug)]
struct Record {
    listener: Listener,
    phase: Phase,
    /// Whether it has brought a whole request.
    has_served: bool,
    progressed_at: Time,
    /// The bytes that arrived since the last answer.
    received: usize,
    /// The most that its read buffer may hold, in bytes.
    max_buffer: usize,
    /// The memory that counts for it.
    buffer: usize,
    /// The bytes of its answer that the peer has not taken.
    unsent: usize,
    /// The memory of its request's body that counts.
    body: Rc<Cell<usize>>,
    /// Given when the connection is given up.
    ended: Rc<Signal>,
    /// Given when its request's body is given up.
    body_ended: Rc<Signal>,
}

/// The use of a part of the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// What is held, in connections or bytes.
    pub held: usize,
    /// How many connections or bodies were given up or not taken, since the start.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    records: BTreeMap<u64, Record>,
    next: u64,
    buffers: usize,
    bodies: usize,
    connections: [Use; Listener::ALL.len()],
    refused_bodies: u64,
    reported_at: Option<Time>,
}

/// The account of all listeners.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    state: RefCell<State>,
    /// The connections to servers.
    upstreams: Rc<Cell<usize>>,
}

impl Ledger {
    /// An empty account. `upstreams` is the number of open connections to servers.
    pub fn new(limits: Limits, upstreams: Rc<Cell<usize>>) -> Self {
        Self { limits, state: RefCell::default(), upstreams }
    }

    /// Takes a new connection, whose read buffer grows up to `max_buffer` bytes; others are given up
    /// if there is no room. `None` if it can't be taken.
    pub fn open(
        self: &Rc<Self>,
        now: Time,
        listener: Listener,
        max_buffer: usize,
    ) -> Option<Connection> {
        let most = self.limits.connections(listener, self.upstreams.get());
        let mut state = self.state.borrow_mut();
        while state.connections[listener as usize].held >= most
            || state.buffers + CONNECTION_BYTES > self.limits.buffers
        {
            state.connections[listener as usize].refused += 1;
            let id = state.least_useful(now, listener, None)?;
            state.end(id);
        }
        let id = state.next;
        state.next += 1;
        state.connections[listener as usize].held += 1;
        state.buffers += CONNECTION_BYTES;
        let record = Record {
            listener,
            phase: Phase::Head,
            has_served: false,
            progressed_at: now,
            received: 0,
            max_buffer,
            buffer: CONNECTION_BYTES,
            unsent: 0,
            body: Rc::default(),
            ended: Rc::default(),
            body_ended: Rc::default(),
        };
        let (ended, body_ended) = (Rc::clone(&record.ended), Rc::clone(&record.body_ended));
        state.records.insert(id, record);
        let patience = Cell::new(DEFAULT_PATIENCE);
        Some(Connection { ledger: Rc::clone(self), id, ended, body_ended, patience })
    }

    /// The use of a listener's connections.
    pub fn connections(&self, listener: Listener) -> Use {
        self.state.borrow().connections[listener as usize]
    }

    /// The bytes of all read buffers and unsent answers.
    pub fn buffers(&self) -> usize {
        self.state.borrow().buffers
    }

    /// The use of the memory for bodies, in bytes.
    pub fn bodies(&self) -> Use {
        let state = self.state.borrow();
        Use { held: state.bodies, refused: state.refused_bodies }
    }

    /// Whether something was given up or not taken, and that was not reported a short time ago.
    pub fn must_report(&self, now: Time) -> bool {
        let mut state = self.state.borrow_mut();
        let is_due = state.reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if is_due {
            state.reported_at = Some(now);
        }
        is_due
    }
}

impl State {
    /// The connection of `listener` that is given up first, other than `except`.
    fn least_useful(&self, now: Time, listener: Listener, except: Option<u64>) -> Option<u64> {
        let rank = |record: &Record| {
            let stall = now.since(record.progressed_at);
            match (record.phase, record.has_served) {
                (Phase::Running, _) => None,
                (_, false) if stall >= MIN_STALL => Some((2, stall)),
                (_, true) if stall >= MIN_IDLE => Some((1, stall)),
                (_, true) => None,
                (_, false) => Some((0, stall)),
            }
        };
        let of_listener = self
            .records
            .iter()
            .filter(|(id, record)| record.listener == listener && Some(**id) != except);
        let ranked = of_listener.filter_map(|(id, record)| Some((rank(record)?, *id)));
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, id)| id)
    }

    /// The request whose body is given up first.
    fn least_useful_body(&self, now: Time) -> Option<u64> {
        let rank =
            |record: &Record| (now.since(record.progressed_at) >= MIN_IDLE, record.body.get());
        let arriving = self
            .records
            .iter()
            .filter(|(_, record)| record.phase == Phase::Body && record.body.get() > 0);
        arriving.max_by_key(|(_, record)| rank(record)).map(|(id, _)| *id)
    }

    /// Gives up a connection; what it holds no longer counts.
    fn end(&mut self, id: u64) {
        if let Some(record) = self.remove(id) {
            record.ended.give();
        }
    }

    fn remove(&mut self, id: u64) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.connections[record.listener as usize].held -= 1;
        self.buffers -= record.buffer + record.unsent;
        self.bodies -= record.body.replace(0);
        Some(record)
    }
}

/// A connection that was taken; it counts until it is given up or dropped.
#[derive(Debug)]
pub struct Connection {
    ledger: Rc<Ledger>,
    id: u64,
    ended: Rc<Signal>,
    body_ended: Rc<Signal>,
    patience: Cell<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.ledger.state.borrow_mut();
        // The body of a request that still runs counts until that ends.
        if let Some(record) = state.records.get_mut(&self.id) {
            record.body = Rc::default();
        }
        state.remove(self.id);
    }
}

impl Connection {
    /// Waits until it is given up; its requests don't run then.
    pub async fn ended(&self) {
        self.ended.wait().await;
    }

    /// Waits until the body of its request is given up.
    pub async fn body_ended(&self) {
        self.body_ended.wait().await;
    }

    /// How long the caller of its request waits.
    pub fn patience(&self) -> Duration {
        self.patience.get()
    }

    /// Records how long the caller of its request waits; longer than [`MAX_PATIENCE`] counts as that.
    pub fn set_patience(&self, patience: Duration) {
        self.patience.set(patience.min(MAX_PATIENCE));
    }

    /// Records that bytes arrived. Another connection, or this one, is given up if there is no
    /// room for its larger read buffer.
    pub fn received(&self, now: Time, bytes: usize) {
        let mut state = self.ledger.state.borrow_mut();
        let Some(record) = state.records.get_mut(&self.id) else { return };
        record.progressed_at = now;
        record.received += bytes;
        if record.received <= INITIAL_BUFFER_BYTES || record.buffer > CONNECTION_BYTES {
            return;
        }
        let (growth, listener) = (record.max_buffer, record.listener);
        record.buffer += growth;
        state.buffers += growth;
        self.make_room(&mut state, now, listener);
    }

    /// Gives up connections of its listener, at last this one, until the buffers are within their
    /// limit.
    fn make_room(&self, state: &mut State, now: Time, listener: Listener) {
        while state.buffers > self.ledger.limits.buffers {
            state.connections[listener as usize].refused += 1;
            let id = state.least_useful(now, listener, Some(self.id)).unwrap_or(self.id);
            state.end(id);
            if id == self.id {
                return;
            }
        }
    }

    /// Records that the peer took `bytes` of an answer.
    pub fn sent(&self, now: Time, bytes: usize) {
        let mut state = self.ledger.state.borrow_mut();
        let Some(record) = state.records.get_mut(&self.id) else { return };
        record.progressed_at = now;
        let taken = record.unsent.min(bytes);
        record.unsent -= taken;
        state.buffers -= taken;
    }

    /// Records that the head of a request has arrived.
    pub fn begin(&self, now: Time) {
        self.update(|record| {
            record.phase = Phase::Body;
            record.progressed_at = now;
        });
    }

    /// Records that a request has arrived completely.
    pub fn run(&self) {
        self.update(|record| {
            record.phase = Phase::Running;
            record.has_served = true;
        });
    }

    /// Records that a request is answered with a body of `bytes`, which is sent now. Another
    /// connection, or this one, is given up if there is no room for it.
    pub fn answered(&self, now: Time, bytes: usize) {
        let mut state = self.ledger.state.borrow_mut();
        let Some(record) = state.records.get_mut(&self.id) else { return };
        record.phase = Phase::Head;
        record.received = 0;
        record.progressed_at = now;
        record.unsent += bytes;
        let listener = record.listener;
        state.buffers += bytes;
        self.make_room(&mut state, now, listener);
    }

    /// The memory of the body of its request, which holds nothing yet.
    pub fn body(&self) -> Body {
        self.body_ended.is_given.set(false);
        let counted = Rc::new(Cell::new(0));
        self.update(|record| record.body = Rc::clone(&counted));
        Body { ledger: Rc::clone(&self.ledger), id: self.id, counted }
    }

    fn update(&self, update: impl FnOnce(&mut Record)) {
        if let Some(record) = self.ledger.state.borrow_mut().records.get_mut(&self.id) {
            update(record);
        }
    }
}

/// The memory of a request's body, until it is dropped.
#[derive(Debug)]
pub struct Body {
    ledger: Rc<Ledger>,
    id: u64,
    counted: Rc<Cell<usize>>,
}

impl Body {
    /// Adds `bytes`; others are given up if there is no room. Returns `false` if this one is the
    /// first to be given up. A body that is alone may have its size.
    pub fn grow(&mut self, now: Time, bytes: usize) -> bool {
        let mut state = self.ledger.state.borrow_mut();
        self.counted.set(self.counted.get() + bytes);
        state.bodies += bytes;
        while state.bodies > self.ledger.limits.bodies && state.bodies > self.counted.get() {
            state.refused_bodies += 1;
            let id = state.least_useful_body(now).unwrap_or(self.id);
            let Some(record) = state.records.get(&id) else { return false };
            let (given_up, signal) = (record.body.replace(0), Rc::clone(&record.body_ended));
            state.bodies -= given_up;
            signal.give();
            if id == self.id {
                return false;
            }
        }
        true
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.ledger.state.borrow_mut().bodies -= self.counted.replace(0);
    }
}
