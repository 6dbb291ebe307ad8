//! The loans of one server's connections.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::loan::Use;
use crate::part;

/// The maximum number of connections that a node may have with those that it borrows.
const MAX_CONNECTIONS: u32 = 12;
/// The weight of the last interval in the average number of connections in use.
const NEEDED_WEIGHT: f64 = 0.4;
/// Requests come in bursts and take longer than their shortest time: a node needs so many times the
/// average, and [`MIN_NEED_RESERVE`] more.
const NEED_FACTOR: f64 = 1.5;
const MIN_NEED_RESERVE: f64 = 1.0;

/// The maximum number of connections that a node lends of its even part.
pub(super) fn lendable(even: u32) -> u32 {
    even / 2
}

/// The connections that a node needs whose requests use `average` at a time.
pub(super) fn need(average: f64) -> u32 {
    (average * NEED_FACTOR + MIN_NEED_RESERVE) as u32
}

/// What one other node has borrowed from this one.
#[derive(Clone, Copy, Debug, Default)]
struct Lent {
    /// What it asks for.
    asked: u32,
    /// What this node gives up for it.
    reserved: u32,
    /// What it is told that it may use: what is reserved only once this node's own connections
    /// are closed.
    granted: u32,
    /// The sequence number of the first message with `granted`.
    granted_since: u64,
    /// What it last confirmed to hold.
    held: u32,
}

/// What this node has borrowed from another one.
#[derive(Clone, Copy, Debug, Default)]
struct Borrowed {
    /// What this node asks it for.
    asks: u32,
    /// What the other lends.
    granted: u32,
    /// What this node may still have open of it; at least `granted`.
    held: u32,
}

/// The loans of one server's connections.
#[derive(Debug, Default)]
pub(super) struct Account {
    lent: BTreeMap<IpAddr, Lent>,
    borrowed: BTreeMap<IpAddr, Borrowed>,
    /// The connections that requests would use if none waited in a line, on average.
    needed: f64,
    /// Whether the connections were within the cap at the last interval.
    was_within: bool,
}

impl Account {
    /// The connections that this node may have open.
    pub(super) fn cap(&self, even: u32) -> u32 {
        even.saturating_sub(self.lent()).max(1) + self.borrowed()
    }

    /// The connections that this node has given up for others.
    pub(super) fn lent(&self) -> u32 {
        self.lent.values().map(|lent| lent.reserved).sum()
    }

    /// The connections that others lend to this node.
    pub(super) fn borrowed(&self) -> u32 {
        self.borrowed.values().map(|borrowed| borrowed.granted).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        let is_unused = |lent: &Lent| lent.reserved == 0 && lent.asked == 0;
        let is_returned = |borrowed: &Borrowed| borrowed.held == 0 && borrowed.asks == 0;
        self.lent.values().all(is_unused) && self.borrowed.values().all(is_returned)
    }

    pub(super) fn asks(&self, ip: IpAddr) -> u32 {
        self.borrowed.get(&ip).map_or(0, |borrowed| borrowed.asks)
    }

    pub(super) fn granted_to(&self, ip: IpAddr) -> u32 {
        self.lent.get(&ip).map_or(0, |lent| lent.granted)
    }

    pub(super) fn held_from(&self, ip: IpAddr) -> u32 {
        self.borrowed.get(&ip).map_or(0, |borrowed| borrowed.held)
    }

    pub(super) fn is_lent_to(&self, ip: IpAddr) -> bool {
        self.lent.get(&ip).is_some_and(|lent| lent.reserved > 0)
    }

    pub(super) fn asked_by(&mut self, ip: IpAddr, connections: u32) {
        if connections > 0 || self.lent.contains_key(&ip) {
            self.lent.entry(ip).or_default().asked = connections;
        }
    }

    /// Takes note of what another node lends; returns whether that has changed.
    pub(super) fn granted_by(&mut self, ip: IpAddr, connections: u32) -> bool {
        if connections == 0 && !self.borrowed.contains_key(&ip) {
            return false;
        }
        let borrowed = self.borrowed.entry(ip).or_default();
        borrowed.held = borrowed.held.max(connections);
        std::mem::replace(&mut borrowed.granted, connections) != connections
    }

    /// Takes note of what a borrower holds after it has received message `acknowledged`; returns
    /// whether this node gives up more for it than before.
    pub(super) fn confirmed_by(&mut self, ip: IpAddr, held: u32, acknowledged: u64) -> bool {
        if held == 0 && !self.lent.contains_key(&ip) {
            return false;
        }
        let lent = self.lent.entry(ip).or_default();
        // Before it has received the present grant, it may use an earlier, greater one.
        let is_current = acknowledged >= lent.granted_since;
        lent.held = if is_current { held } else { held.max(lent.held) };
        let reserved = lent.reserved.max(held);
        std::mem::replace(&mut lent.reserved, reserved) != reserved
    }

    pub(super) fn forget(&mut self, ip: IpAddr) {
        self.lent.remove(&ip);
        if let Some(borrowed) = self.borrowed.get_mut(&ip) {
            borrowed.granted = 0;
        }
    }

    /// Returns what was borrowed from nodes that are not present.
    pub(super) fn return_to_missing(&mut self, is_present: impl Fn(&IpAddr) -> bool) {
        for (ip, borrowed) in &mut self.borrowed {
            if !is_present(ip) {
                borrowed.granted = 0;
                borrowed.asks = 0;
            }
        }
    }

    /// Takes note of the use since the last interval. What is returned counts as held until the
    /// connections were within the cap for a whole interval, so that the server has seen the
    /// closed ones.
    pub(super) fn settle(&mut self, used: Use) {
        self.needed += (used.needed - self.needed) * NEEDED_WEIGHT;
        let is_within = used.open <= self.cap(used.even);
        if is_within && self.was_within {
            self.borrowed.values_mut().for_each(|borrowed| borrowed.held = borrowed.granted);
        }
        self.was_within = is_within;
        self.borrowed.retain(|_, borrowed| borrowed.held > 0 || borrowed.asks > 0);
    }

    /// Lends what this node doesn't need to those that ask for it; `sequence` is the number of the
    /// next messages.
    pub(super) fn lend(&mut self, used: Use, may_lend: bool, sequence: u64) {
        let unneeded = used.even.saturating_sub(need(self.needed));
        let surplus = if may_lend { unneeded.min(lendable(used.even)) } else { 0 };
        let asked: Vec<u32> = self.lent.values().map(|lent| lent.asked).collect();
        let parts = part::whole(surplus, &asked);
        let mut room = lendable(used.even).saturating_sub(self.lent());
        for (lent, part) in self.lent.values_mut().zip(&parts) {
            let added = part.saturating_sub(lent.reserved).min(room);
            room -= added;
            lent.reserved += added;
        }
        let is_within = used.open <= self.cap(used.even);
        for (lent, part) in self.lent.values_mut().zip(parts) {
            let most = if is_within { lent.reserved } else { lent.granted };
            let granted = part.min(most);
            if granted != lent.granted {
                lent.held = lent.held.max(lent.granted);
                lent.granted = granted;
                lent.granted_since = sequence;
            }
            lent.reserved = lent.reserved.min(part.max(lent.granted).max(lent.held));
        }
        self.lent.retain(|_, lent| lent.reserved > 0 || lent.asked > 0);
    }

    /// Decides what to ask of the nodes that are present: in equal parts what is missing, and what
    /// they lend already as long as it is needed.
    pub(super) fn ask(&mut self, used: Use, present: &[IpAddr]) {
        let need = need(self.needed).min(MAX_CONNECTIONS);
        let wanted = if used.may_borrow && need > used.even { need - used.even } else { 0 };
        let borrowed = self.borrowed();
        let missing = wanted.saturating_sub(borrowed).div_ceil(present.len().max(1) as u32);
        let mut excess = borrowed.saturating_sub(wanted);
        for ip in present {
            let known = self.borrowed.get(ip).copied().unwrap_or_default();
            let returned = known.granted.min(excess);
            excess -= returned;
            let asks = known.granted - returned + missing;
            if asks > 0 || known.held > 0 {
                self.borrowed.insert(*ip, Borrowed { asks, ..known });
            }
        }
        self.borrowed.retain(|_, borrowed| borrowed.held > 0 || borrowed.asks > 0);
    }
}
