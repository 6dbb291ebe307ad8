//! Tells the other nodes how much of the customers' rates this node uses, and takes in what they
//! tell, over the UDP socket of the heartbeats.
//!
//! Invariant: nothing is sent, and nothing is kept, unless the configuration has a customer with a
//! rate and the settings have the bound that it implies.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::members::HEARTBEAT_INTERVAL;
use crate::members::Members;
use crate::shares::Shares;
use base::time::Time;
use share::bound::Bound;
use share::usage::Book;
use share::usage::Demand;
use share::usage::Fleet;
use share::usage::MIN_REPORT_INTERVAL;
use share::usage::Peer;
use share::usage::Rate;
use share::usage::Usage;

/// Begins a datagram with usage. MessagePack does not use this byte, so neither a heartbeat nor a
/// notice, which has one such byte before its MessagePack, begins with two.
const MARK: [u8; 2] = [0xc1, 0xc1];
/// How long a standby node that has reported use is told of the others' use.
const LISTENER_LIFETIME: Duration = Duration::from_secs(20);
/// The maximum number of such nodes, and of those that have sent usage.
const MAX_LISTENERS: usize = 512;
/// The longest interval between two datagrams: a node without use sends an empty one, so that it is
/// not taken for one of an earlier build, which sends none.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// A node is taken for one of an earlier build if it is known for so long and has sent no usage in
/// that time: three empty datagrams, since they are lost.
const MAX_MUTE_TIME: Duration = Duration::from_secs(6);

/// The use of the customers' rates, as this node knows it.
pub struct State {
    bound: Option<Bound>,
    /// `None` while no customer has a rate.
    book: RefCell<Option<Book>>,
    /// The nodes that have reported use, and when.
    listeners: RefCell<HashMap<IpAddr, Time>>,
    /// When each node was last heard with usage, or has become known.
    heard: RefCell<HashMap<IpAddr, Time>>,
    sent_at: Cell<Time>,
    /// Notified when a report is due, and when there is a book.
    changed: Notify,
}

impl State {
    /// The state without a customer; `bound` is what each of them may use in a window.
    pub fn new(bound: Option<Bound>) -> Self {
        Self {
            bound,
            book: RefCell::new(None),
            listeners: RefCell::default(),
            heard: RefCell::default(),
            sent_at: Cell::new(Time::ZERO),
            changed: Notify::new(),
        }
    }
}

/// What the exchange of usage needs of the process.
pub trait Context {
    /// The present time.
    fn now(&self) -> Time;
    /// The state of this module.
    fn usage(&self) -> &State;
    /// The other nodes.
    fn members(&self) -> &RefCell<Members>;
    /// The nodes that share limits.
    fn shares(&self) -> Shares;
    /// The random number of this process.
    fn incarnation(&self) -> u64;
    /// The port for traffic between nodes.
    fn peer_port(&self) -> u16;
    /// Counts datagrams that were sent, and their bytes together.
    fn sent(&self, datagrams: usize, bytes: usize);
}

/// Uses the rates of a version of the configuration, by the customers' keys; a rate of zero is no
/// limit.
pub fn install(context: &dyn Context, mut rates: HashMap<u32, Rate>) {
    let state = context.usage();
    let Some(bound) = state.bound else { return };
    rates.retain(|_, rate| rate.per_second > 0.0);
    let mut book = state.book.borrow_mut();
    if rates.is_empty() {
        *book = None;
        return;
    }
    let is_new = book.is_none();
    let present = book.get_or_insert_with(|| Book::new(bound));
    let removed: Vec<u32> = present.keys().filter(|key| !rates.contains_key(key)).collect();
    removed.into_iter().for_each(|key| present.remove(key));
    rates.iter().for_each(|(key, rate)| present.set_rate(context.now(), *key, *rate));
    drop(book);
    if is_new {
        divide(context);
        state.changed.notify_one();
    }
}

/// Lets a request of a customer in, or says when there is room; see [`Book::take`].
pub fn take(context: &dyn Context, key: u32) -> Result<(), Time> {
    let state = context.usage();
    let now = context.now();
    let mut book = state.book.borrow_mut();
    let Some(book) = book.as_mut() else { return Ok(()) };
    let result = book.take(now, key);
    if book.is_report_due(now) {
        state.changed.notify_one();
    }
    result
}

/// The demand for each key that was used a short time ago; none if no customer has a rate.
pub fn demands(context: &dyn Context) -> Vec<Demand> {
    let book = context.usage().book.borrow();
    book.as_ref().map(|book| book.demands(context.now()).collect()).unwrap_or_default()
}

/// The demand of the customer with this key; `None` if it has no rate.
pub fn demand(context: &dyn Context, key: u32) -> Option<Demand> {
    context.usage().book.borrow().as_ref()?.demand(context.now(), key)
}

/// Returns the token of a request that has not run.
pub fn give_back(context: &dyn Context, key: u32) {
    if let Some(book) = context.usage().book.borrow_mut().as_mut() {
        book.give_back(context.now(), key);
    }
}

/// What a token needs to know of its request.
pub trait Runs {
    /// Whether an attempt of the request may have run.
    fn may_have_run(&self) -> bool;
}

/// The token of an admitted request. It is returned when this is dropped, unless an attempt may
/// have run.
pub struct Token {
    context: Rc<dyn Context>,
    request: Rc<dyn Runs>,
    key: u32,
    /// Whether the request has certainly not run.
    is_unused: bool,
}

impl Token {
    /// The token that [`take`] took for `request`.
    pub fn new(context: Rc<dyn Context>, request: Rc<dyn Runs>, key: u32) -> Self {
        Self { context, request, key, is_unused: false }
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(mut self) {
        self.is_unused = true;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if self.is_unused || !self.request.may_have_run() {
            give_back(&*self.context, self.key);
        }
    }
}

/// Decides this node's parts again; called with each heartbeat.
pub fn divide(context: &dyn Context) {
    let state = context.usage();
    let mut book = state.book.borrow_mut();
    let Some(book) = book.as_mut() else { return };
    let now = context.now();
    let nodes = Nodes::new(context, now);
    book.divide(now, &nodes);
    let is_recent = |at: Time| now.since(at) < LISTENER_LIFETIME;
    state.listeners.borrow_mut().retain(|_, at| is_recent(*at));
    let is_other = |ip: &IpAddr| nodes.others.iter().any(|peer| peer.ip == *ip);
    state.heard.borrow_mut().retain(|ip, at| is_recent(*at) || is_other(ip));
}

/// The nodes among which the rates are divided.
struct Nodes {
    own: IpAddr,
    shares: Shares,
    others: Vec<Peer>,
}

impl Nodes {
    fn new(context: &dyn Context, now: Time) -> Self {
        let members = context.members().borrow();
        let own = members.own();
        let mut heard = context.usage().heard.borrow_mut();
        let mut reports = |ip| now.since(*heard.entry(ip).or_insert(now)) < MAX_MUTE_TIME;
        // All serving nodes count, whether or not they are near a server.
        let others = members
            .claims(now, 0, &own.data_centre)
            .into_iter()
            .map(|claim| Peer {
                ip: claim.ip,
                is_present: claim.is_present,
                reports: reports(claim.ip),
            })
            .collect();
        Self { own: own.ip, shares: context.shares(), others }
    }
}

impl Fleet for Nodes {
    fn own(&self) -> IpAddr {
        self.own
    }

    fn is_serving(&self) -> bool {
        self.shares.serving
    }

    fn standby_nodes(&self) -> u32 {
        self.shares.standby_nodes
    }

    fn others(&self) -> Vec<Peer> {
        self.others.clone()
    }
}

/// Sends reports for as long as the process runs.
pub async fn send(context: Rc<impl Context>, socket: Rc<UdpSocket>) {
    let state = context.usage();
    loop {
        if state.book.borrow().is_none() {
            state.changed.notified().await;
            continue;
        }
        if !is_due(&*context) {
            tokio::select! {
                () = state.changed.notified() => {}
                () = sleep(HEARTBEAT_INTERVAL) => {}
            }
        }
        if is_due(&*context) {
            send_report(&*context, &socket).await;
            sleep(MIN_REPORT_INTERVAL).await;
        }
    }
}

fn is_due(context: &dyn Context) -> bool {
    let (state, now) = (context.usage(), context.now());
    let is_silent =
        context.shares().serving && now.since(state.sent_at.get()) >= MAX_REPORT_INTERVAL;
    state.book.borrow().as_ref().is_some_and(|book| is_silent || book.is_report_due(now))
}

async fn send_report(context: &dyn Context, socket: &UdpSocket) {
    let now = context.now();
    let usages =
        context.usage().book.borrow_mut().as_mut().map(|book| book.report(now)).unwrap_or_default();
    context.usage().sent_at.set(now);
    let Some(datagram) = encode(context.incarnation(), &usages) else { return };
    let targets = targets(context, now);
    for ip in &targets {
        let to = SocketAddr::new(*ip, context.peer_port());
        if let Err(error) = socket.send_to(&datagram, to).await {
            log::debug!(target: "usage", "Usage was not sent to {to}: {error}.");
        }
    }
    context.sent(targets.len(), targets.len() * datagram.len());
}

/// The other serving nodes, and those that have reported use a short time ago.
fn targets(context: &dyn Context, now: Time) -> HashSet<IpAddr> {
    let listeners = context.usage().listeners.borrow();
    let recent = listeners.iter().filter(|(_, at)| now.since(**at) < LISTENER_LIFETIME);
    let serving = Nodes::new(context, now).others;
    serving.into_iter().map(|peer| peer.ip).chain(recent.map(|(ip, _)| *ip)).collect()
}

fn encode(incarnation: u64, usages: &[Usage]) -> Option<Vec<u8>> {
    let mut datagram = MARK.to_vec();
    match rmp_serde::encode::write(&mut datagram, &(incarnation, usages)) {
        Ok(()) => Some(datagram),
        Err(error) => {
            log::error!(target: "usage", error:% = error; "Usage can't be encoded.");
            None
        }
    }
}

/// Handles a datagram of another node; returns whether it holds usage.
pub fn on_datagram(context: &dyn Context, from: SocketAddr, datagram: &[u8]) -> bool {
    let Some(bytes) = datagram.strip_prefix(&MARK) else { return false };
    let state = context.usage();
    let mut book = state.book.borrow_mut();
    let Some(book) = book.as_mut() else { return true };
    let (incarnation, usages): (u64, Vec<Usage>) = match rmp_serde::from_slice(bytes) {
        Ok(decoded) => decoded,
        Err(error) => {
            log::warn!(target: "usage", from:% = from, error:% = error; "Usage can't be decoded.");
            return true;
        }
    };
    let now = context.now();
    book.on_report(now, from.ip(), incarnation, &usages);
    let note = |nodes: &RefCell<HashMap<IpAddr, Time>>| {
        let mut nodes = nodes.borrow_mut();
        if nodes.len() < MAX_LISTENERS || nodes.contains_key(&from.ip()) {
            nodes.insert(from.ip(), now);
        }
    };
    note(&state.heard);
    if !usages.is_empty() {
        note(&state.listeners);
    }
    true
}
