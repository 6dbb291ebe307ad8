//! Loans of connections between nodes: each node may open an even part of the connections that a
//! server accepts, and lends what it doesn't need to nodes that need more. No I/O.
//!
//! A loan is between two nodes. The lender first closes its own connections, then grants them; the
//! borrower asks, and reports what it holds. So the nodes need no agreement on who exists: nodes
//! that are cut off, or belong to an earlier build, keep to their even parts.
//!
//! Invariant: for each server, the connections that a process may open and those that it has lent
//! are at most its even part and those that it has borrowed; and a lender counts a connection as
//! lent until the borrower has confirmed that it holds it no longer, or the borrower is gone.
//! What a borrower still holds of a process that has ended is covered by the part that the even
//! division leaves to unknown processes: a process lends at most half of its even part.

mod account;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::loan::account::Account;
use base::time::Time;

/// A number of connections to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The server, as `replica::table::Table::key` names it.
    pub server: u32,
    /// The connections.
    pub connections: u8,
}

/// The last message of a node that another one has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The incarnation that sent it.
    pub incarnation: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// What one node tells another of the loans between the two.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Rises with each message of that incarnation.
    pub sequence: u64,
    /// The receiver's last message that the sender has received.
    pub acknowledged: Option<Acknowledgement>,
    /// What the sender asks the receiver for, in all.
    pub asks: Vec<Entry>,
    /// What the sender lends to the receiver; servers that are absent are not lent.
    pub grants: Vec<Entry>,
    /// What the sender may hold of the receiver's connections.
    pub held: Vec<Entry>,
}

impl Message {
    fn is_empty(&self) -> bool {
        self.asks.is_empty() && self.grants.is_empty() && self.held.is_empty()
    }
}

/// What this node knows of its use of a server's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    /// This node's even part.
    pub even: u32,
    /// The connections that its requests would use if none waited in a line, on average since the
    /// last interval.
    pub needed: f64,
    /// The connections that are open, or that the server may not have seen closed.
    pub open: u32,
    /// Whether more connections would be of use: the server answers.
    pub may_borrow: bool,
}

/// The maximum number of servers in each list of a message, whose size is limited.
pub const MAX_ENTRIES: usize = 56;
/// A borrower returns everything to a lender that it has not heard for so long.
const LENDER_TIMEOUT: Duration = Duration::from_millis(3600);
/// A borrower that was not heard for so long is gone. Its even part is given to others after the
/// same time.
const BORROWER_TIMEOUT: Duration = Duration::from_secs(20);
/// A process that has started lends nothing until the others that are present have told it what
/// they hold of its predecessor's connections, or have returned it.
const START_TIME: Duration = Duration::from_secs(4);

/// Another process.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    /// The incarnation before it, whose messages may still arrive.
    former: Option<u64>,
    /// The sequence number of its last message.
    received: u64,
    heard_at: Time,
    /// Whether it waits for a message.
    is_answer_due: bool,
}

impl Peer {
    fn acknowledgement(&self) -> Acknowledgement {
        Acknowledgement { incarnation: self.incarnation, sequence: self.received }
    }
}

/// The loans of one process.
#[derive(Debug)]
pub struct Book {
    incarnation: u64,
    /// The sequence number of the next messages.
    sequence: u64,
    started_at: Time,
    is_acquainted: bool,
    peers: BTreeMap<IpAddr, Peer>,
    accounts: BTreeMap<u32, Account>,
}

impl Book {
    /// The book of a process that has just started.
    pub fn new(now: Time, incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 1,
            started_at: now,
            is_acquainted: false,
            peers: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// The connections to `server` that this node may have open, if `even` is its even part.
    pub fn cap(&self, server: u32, even: u32) -> u32 {
        self.accounts.get(&server).map_or(even.max(1), |account| account.cap(even))
    }

    /// The connections to `server` that this node has lent, and those that it has borrowed.
    pub fn loans(&self, server: u32) -> (u32, u32) {
        self.accounts.get(&server).map_or((0, 0), |account| (account.lent(), account.borrowed()))
    }

    /// Decides again what to ask for, to lend and to return; called at intervals with the use of
    /// each server and the other serving nodes.
    pub fn update(&mut self, now: Time, uses: &BTreeMap<u32, Use>, present: &[IpAddr]) {
        self.sequence += 1;
        self.update_acquaintance(now, present);
        let is_gone = |peer: &Peer| now.since(peer.heard_at) >= BORROWER_TIMEOUT;
        let gone: Vec<IpAddr> =
            self.peers.iter().filter(|(_, peer)| is_gone(peer)).map(|(ip, _)| *ip).collect();
        gone.into_iter().for_each(|ip| self.forget(ip));
        for (server, used) in uses {
            if account::need(used.needed) > used.even {
                self.accounts.entry(*server).or_default();
            }
        }
        let is_heard = |ip: &IpAddr| {
            self.peers.get(ip).is_some_and(|peer| now.since(peer.heard_at) < LENDER_TIMEOUT)
        };
        for (server, account) in &mut self.accounts {
            let used = uses.get(server).copied().unwrap_or_default();
            account.return_to_missing(|ip| present.contains(ip) && is_heard(ip));
            account.settle(used);
            account.lend(used, self.is_acquainted, self.sequence);
            account.ask(used, present);
        }
        self.accounts.retain(|_, account| !account.is_empty());
    }

    fn update_acquaintance(&mut self, now: Time, present: &[IpAddr]) {
        let knows_all = !present.is_empty() && present.iter().all(|ip| self.peers.contains_key(ip));
        self.is_acquainted |= knows_all || now.since(self.started_at) >= START_TIME;
    }

    /// The message to another node; `None` if there is nothing to tell.
    pub fn message_to(&mut self, ip: IpAddr) -> Option<Message> {
        let entries = |connections: fn(&Account, IpAddr) -> u32| -> Vec<Entry> {
            let all =
                self.accounts.iter().map(|(server, account)| (server, connections(account, ip)));
            all.filter(|(_, connections)| *connections > 0)
                .map(|(server, connections)| Entry {
                    server: *server,
                    connections: connections.min(u32::from(u8::MAX)) as u8,
                })
                .take(MAX_ENTRIES)
                .collect()
        };
        let message = Message {
            incarnation: self.incarnation,
            sequence: self.sequence,
            acknowledged: self.peers.get(&ip).map(Peer::acknowledgement),
            asks: entries(Account::asks),
            grants: entries(Account::granted_to),
            held: entries(Account::held_from),
        };
        let is_lent = self.accounts.values().any(|account| account.is_lent_to(ip));
        let is_new = !self.is_acquainted && !self.peers.contains_key(&ip);
        let is_due = match self.peers.get_mut(&ip) {
            Some(peer) => std::mem::take(&mut peer.is_answer_due),
            None => false,
        };
        (is_new || is_due || is_lent || !message.is_empty()).then_some(message)
    }

    /// Takes in a message from the node at `ip`; returns whether it changes [`Self::cap`].
    pub fn on_message(&mut self, now: Time, ip: IpAddr, message: &Message) -> bool {
        let known = self.peers.get(&ip);
        let is_same = known.is_some_and(|known| known.incarnation == message.incarnation);
        if is_same && known.is_some_and(|known| message.sequence <= known.received) {
            return false;
        }
        if known.is_some_and(|known| known.former == Some(message.incarnation)) {
            return false;
        }
        let former = match known {
            Some(known) if is_same => known.former,
            _ => known.map(|known| known.incarnation),
        };
        if !is_same {
            self.forget(ip);
        }
        let expects_answer = !is_same || !message.is_empty();
        let peer = Peer {
            incarnation: message.incarnation,
            former,
            received: message.sequence,
            heard_at: now,
            is_answer_due: expects_answer,
        };
        self.peers.insert(ip, peer);
        let acknowledged = message
            .acknowledged
            .filter(|acknowledged| acknowledged.incarnation == self.incarnation)
            .map_or(0, |acknowledged| acknowledged.sequence);
        for entry in message.asks.iter().chain(&message.grants).chain(&message.held) {
            self.accounts.entry(entry.server).or_default();
        }
        let mut has_changed = !is_same;
        for (server, account) in &mut self.accounts {
            let find = |entries: &[Entry]| {
                let entry = entries.iter().find(|entry| entry.server == *server);
                entry.map_or(0, |entry| u32::from(entry.connections))
            };
            account.asked_by(ip, find(&message.asks));
            has_changed |= account.granted_by(ip, find(&message.grants));
            // A full list may lack servers.
            if message.held.len() < MAX_ENTRIES || find(&message.held) > 0 {
                has_changed |= account.confirmed_by(ip, find(&message.held), acknowledged);
            }
        }
        has_changed
    }

    /// Drops the loans with a process that is gone; another one may run at its address.
    fn forget(&mut self, ip: IpAddr) {
        self.peers.remove(&ip);
        self.accounts.values_mut().for_each(|account| account.forget(ip));
    }

    /// The nodes that have borrowed from this one.
    pub fn borrowers(&self) -> impl Iterator<Item = IpAddr> {
        let all = self.peers.keys().copied();
        all.filter(|ip| self.accounts.values().any(|account| account.is_lent_to(*ip)))
    }
}
