//! Lends and borrows connections to servers, over the UDP socket of the heartbeats.
//!
//! Invariant: nothing is sent unless a node needs more connections to a server than its even part,
//! or has just met another one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::process::Process;
use base::entity::Server;
use base::time::Time;
use share::loan::Book;
use share::loan::Message;
use share::loan::Use;

/// Begins a datagram with loans. MessagePack does not use the first byte, and the second tells it
/// from usage.
const MARK: [u8; 2] = [0xc1, 0xc2];

/// The loans of this node.
pub(crate) struct State {
    book: RefCell<Book>,
}

impl State {
    /// The state of a process that has just started.
    pub(crate) fn new(now: Time, incarnation: u64) -> Self {
        Self { book: RefCell::new(Book::new(now, incarnation)) }
    }

    /// The connections to the server with `key` that this node may have open, if `even` is its
    /// even part.
    pub(crate) fn cap(&self, key: u32, even: u32) -> u32 {
        self.book.borrow().cap(key, even)
    }
}

/// Decides again what to borrow and to lend, and applies it to the connections; called with each
/// heartbeat.
pub(crate) fn update(process: &Process) {
    let now = process.clock.now();
    let shares = process.shares.get();
    let present = if shares.serving { lenders(process, now) } else { Vec::new() };
    let uses = uses(process);
    process.loans.book.borrow_mut().update(now, &uses, &present);
    apply(process);
}

/// The other serving nodes.
fn lenders(process: &Process, now: Time) -> Vec<IpAddr> {
    let members = process.members.borrow();
    members.serving(now).map(|member| member.heartbeat.caller_address.ip()).collect()
}

/// The use of each server whose limit is known.
fn uses(process: &Process) -> BTreeMap<u32, Use> {
    let table = process.table.borrow();
    let used = |server: Server| {
        let even = process.shares.get().connections(table.connection_limit(server)?);
        let (open, needed) = process.pool.take_use(server);
        let may_borrow = !table.record(server).is_failing();
        Some((table.key(server), Use { even, needed, open, may_borrow }))
    };
    table.servers_in_use().filter_map(used).collect()
}

/// Applies this node's parts to the connections, and logs those that have changed.
fn apply(process: &Process) {
    let table = process.table.borrow();
    let book = process.loans.book.borrow();
    for server in table.servers_in_use() {
        let Some(limit) = table.connection_limit(server) else { continue };
        let even = process.shares.get().connections(limit);
        let key = table.key(server);
        let share = book.cap(key, even);
        let Some(before) = process.pool.set_share(server, share) else { continue };
        let (lent, borrowed) = book.loans(key);
        let record = table.record(server);
        log::info!(target: "limits", server = record.incarnation.id.as_ref(), service = table.service_name(record.service).as_ref(), before, share, even, lent, borrowed, limit; "This node's share of a server's connections changed.");
    }
}

/// Sends what the other nodes must know.
pub(crate) async fn send(process: &Process, socket: &UdpSocket) {
    let now = process.clock.now();
    let mut targets = lenders(process, now);
    let borrowers: Vec<IpAddr> = process.loans.book.borrow().borrowers().collect();
    targets.extend(borrowers);
    targets.sort_unstable();
    targets.dedup();
    for ip in targets {
        let Some(message) = process.loans.book.borrow_mut().message_to(ip) else { continue };
        let mut datagram = MARK.to_vec();
        if let Err(error) = rmp_serde::encode::write(&mut datagram, &message) {
            return log::error!(target: "limits", error:% = error; "Loans of connections can't be encoded.");
        }
        let to = SocketAddr::new(ip, process.settings.peer_port);
        if let Err(error) = socket.send_to(&datagram, to).await {
            log::debug!(target: "limits", "Loans of connections were not sent to {to}: {error}.");
        }
    }
}

/// Handles a datagram of another node; returns whether it holds loans.
pub(crate) fn on_datagram(process: &Rc<Process>, from: SocketAddr, datagram: &[u8]) -> bool {
    let Some(bytes) = datagram.strip_prefix(&MARK) else { return false };
    match rmp_serde::from_slice::<Message>(bytes) {
        Ok(message) => {
            let now = process.clock.now();
            if process.loans.book.borrow_mut().on_message(now, from.ip(), &message) {
                apply(process);
            }
        }
        Err(error) => {
            log::warn!(target: "limits", from:% = from, error:% = error; "Loans of connections can't be decoded.");
        }
    }
    true
}
