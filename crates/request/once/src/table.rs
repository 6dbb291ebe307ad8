//! The tickets issued by one node incarnation and those imported from stopped peers.
//!
//! The minter of a ticket is the node incarnation that issued it.
//!
//! Invariants:
//! - Only the minter's table allows a ticket's request to be sent. For each ticket at
//!   most one send is outstanding or may have run.
//! - A request never runs if its ticket was removed, was minted by another
//!   incarnation, belongs to a sealed table, or has had its outcome reported.
//! - A ticket that may still be used, or whose request may still run, is never
//!   removed: a full table mints no more tickets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::entry::Entry;
use crate::entry::State;
use crate::export::Export;
use crate::export::Ledger;
use crate::export::Record;
use crate::export::Status;
use crate::response::Response;
use base::time::Time;
use wire::caller::Execution;
use wire::id::Incarnation;
use wire::id::Ticket;

/// How to handle a request that carries a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Disposition {
    /// Run it, then call [`Table::finish`].
    Run,
    /// It is already running; wait for the same outcome.
    Running,
    /// It has finished with this response.
    Done(Response),
    /// Only this incarnation may run it or report its outcome.
    NotOwner(Incarnation),
    /// The minter has stopped, so the request won't run any more; the outcome as far
    /// as it is known.
    OwnerStopped(Execution),
    /// The ticket belongs to another request, or was never minted.
    Mismatch,
    /// The ticket has expired. The outcome is "not run" while the entry is still
    /// stored as unused, else "unknown".
    Expired(Execution),
}

/// Why an export wasn't imported; it can be sent to another peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// The table has no room for the tickets.
    #[error("the ticket table is full")]
    Full,
    /// The importing table is sealed too.
    #[error("the ticket table is sealed")]
    Sealed,
}

/// The tickets of a stopped peer.
#[derive(Clone, Debug)]
struct Imported {
    ledger: Ledger,
    expires: Time,
}

/// The ticket table of one node incarnation.
#[derive(Clone, Debug)]
pub struct Table {
    incarnation: Incarnation,
    capacity: usize,
    retention: Duration,
    /// The number of the next ticket.
    next: u64,
    entries: HashMap<u64, Entry>,
    /// The expiry times and numbers of the entries, earliest first.
    expiries: BTreeSet<(Time, u64)>,
    imported: BTreeMap<Incarnation, Imported>,
    sealed: bool,
}

impl Table {
    /// Creates an empty table. A ticket may be used for `retention` after it was
    /// minted. An unused ticket is stored for another `retention` after that, a used one
    /// for `retention` after its request finished. `capacity` bounds the number of
    /// stored tickets, imported ones included.
    pub fn new(incarnation: Incarnation, capacity: usize, retention: Duration) -> Self {
        Self {
            incarnation,
            capacity,
            retention,
            next: 0,
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            imported: BTreeMap::new(),
            sealed: false,
        }
    }

    /// The number of stored tickets, imported ones included.
    pub fn len(&self) -> usize {
        let imported = self.imported.values().map(|imported| imported.ledger.records.len());
        self.entries.len() + imported.sum::<usize>()
    }

    /// Whether no ticket is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether [`Table::export`] was called.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Mints up to `count` tickets: fewer if the table is nearly full, none if it is
    /// full or sealed.
    pub fn mint(&mut self, count: usize, now: Time) -> Vec<Ticket> {
        self.remove_expired(now);
        if self.sealed {
            return Vec::new();
        }
        let room = self.capacity.saturating_sub(self.len());
        (0..count.min(room)).map(|_| self.mint_one(now)).collect()
    }

    fn mint_one(&mut self, now: Time) -> Ticket {
        let number = self.next;
        self.next += 1;
        // The entry outlives the ticket's use, so that a late use is answered with
        // "not run".
        let use_by = now + self.retention;
        let entry = Entry::new(use_by, use_by + self.retention);
        self.expiries.insert((entry.expires, number));
        self.entries.insert(number, entry);
        Ticket { minter: self.incarnation, number }
    }

    /// Registers the arrival of a request with `ticket` and the hash `fingerprint`; it
    /// may be sent until `deadline`.
    pub fn begin(
        &mut self,
        ticket: Ticket,
        fingerprint: u64,
        deadline: Time,
        now: Time,
    ) -> Disposition {
        self.remove_expired(now);
        if ticket.minter != self.incarnation {
            return self.begin_foreign(ticket, fingerprint);
        }
        let sealed = self.sealed;
        let minted = ticket.number < self.next;
        let Some(entry) = self.entries.get_mut(&ticket.number) else {
            return if minted {
                Disposition::Expired(Execution::Unknown)
            } else {
                Disposition::Mismatch
            };
        };
        if entry.fingerprint.is_some_and(|known| known != fingerprint) {
            return Disposition::Mismatch;
        }
        match &entry.state {
            State::Done(response) => Disposition::Done(response.clone()),
            State::Running | State::Sent => Disposition::Running,
            State::Idle if sealed => Disposition::OwnerStopped(Execution::NotRun),
            State::Idle if now >= entry.use_by => Disposition::Expired(Execution::NotRun),
            State::Idle => {
                entry.fingerprint = Some(fingerprint);
                entry.state = State::Running;
                entry.send_by = deadline.min(entry.use_by);
                let expires = entry.use_by.max(deadline) + self.retention;
                reschedule(&mut self.expiries, ticket.number, entry, expires);
                Disposition::Run
            }
        }
    }

    fn begin_foreign(&self, ticket: Ticket, fingerprint: u64) -> Disposition {
        let Some(imported) = self.imported.get(&ticket.minter) else {
            return Disposition::NotOwner(ticket.minter);
        };
        let ledger = &imported.ledger;
        let Some(record) = ledger.records.get(&ticket.number) else {
            let minted = ticket.number < ledger.next;
            return if minted {
                Disposition::Expired(Execution::Unknown)
            } else {
                Disposition::Mismatch
            };
        };
        if record.fingerprint.is_some_and(|known| known != fingerprint) {
            return Disposition::Mismatch;
        }
        match &record.status {
            Status::NotRun => Disposition::OwnerStopped(Execution::NotRun),
            Status::Unknown => Disposition::OwnerStopped(Execution::Unknown),
            Status::Done(response) => Disposition::Done(response.clone()),
        }
    }

    /// Whether the ticket's request may be sent at `now`. Check this right before the
    /// send, so that a process that was paused doesn't send too late.
    pub fn may_send(&self, ticket: Ticket, now: Time) -> bool {
        !self.sealed && self.own_entry(ticket).is_some_and(|entry| entry.may_send(now))
    }

    /// Records that the ticket's request is being sent, if that is allowed. The caller
    /// may send the message only if this returns `true`.
    pub fn try_mark_sent(&mut self, ticket: Ticket, now: Time) -> bool {
        if !self.may_send(ticket, now) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&ticket.number) else { return false };
        entry.state = State::Sent;
        true
    }

    /// Records that the upstream confirmed not to have run the request, or that the
    /// message was never sent; the request may be sent again.
    pub fn mark_not_run(&mut self, ticket: Ticket) {
        if let Some(entry) = self.own_entry_mut(ticket)
            && entry.state == State::Sent
        {
            entry.state = State::Running;
        }
    }

    /// Finishes the run of a ticket's request and returns the response to report.
    ///
    /// "Not run" is as final as any other outcome: a delayed copy of the request must
    /// not run after it was reported, so a new try needs a new ticket. "Not run"
    /// becomes "unknown" if the request was sent and the upstream did not confirm that
    /// it wasn't run, or if the ticket is no longer stored. A later response never
    /// replaces the first.
    pub fn finish(&mut self, ticket: Ticket, response: Response, now: Time) -> Response {
        let retention = self.retention;
        let own = ticket.minter == self.incarnation;
        let Some(entry) = self.entries.get_mut(&ticket.number).filter(|_| own) else {
            return response.with_unknown_outcome();
        };
        let response = match &entry.state {
            State::Done(first) => return first.clone(),
            State::Idle | State::Running => response,
            State::Sent => response.with_unknown_outcome(),
        };
        entry.state = State::Done(response.clone());
        reschedule(&mut self.expiries, ticket.number, entry, now + retention);
        response
    }

    fn own_entry(&self, ticket: Ticket) -> Option<&Entry> {
        let own = ticket.minter == self.incarnation;
        self.entries.get(&ticket.number).filter(|_| own)
    }

    fn own_entry_mut(&mut self, ticket: Ticket) -> Option<&mut Entry> {
        let own = ticket.minter == self.incarnation;
        self.entries.get_mut(&ticket.number).filter(|_| own)
    }

    /// Seals the table and returns its contents. A sealed table mints no tickets, and
    /// no request is begun or sent under it.
    ///
    /// A later call returns the outcomes of the requests that finished in between.
    pub fn export(&mut self) -> Export {
        self.sealed = true;
        let record = |entry: &Entry| Record {
            fingerprint: entry.fingerprint,
            status: match &entry.state {
                State::Idle | State::Running => Status::NotRun,
                State::Sent => Status::Unknown,
                State::Done(response) => Status::Done(response.clone()),
            },
        };
        let records = self.entries.iter().map(|(number, entry)| (*number, record(entry)));
        let own = Ledger { minter: self.incarnation, next: self.next, records: records.collect() };
        let imported = self.imported.values().map(|imported| imported.ledger.clone());
        Export { ledgers: std::iter::once(own).chain(imported).collect() }
    }

    /// Imports the tickets of a stopped peer, so that this node can report their
    /// outcomes.
    pub fn import(&mut self, export: Export, now: Time) -> Result<(), ImportError> {
        self.remove_expired(now);
        if self.sealed {
            return Err(ImportError::Sealed);
        }
        if self.len() + self.count_new(&export) > self.capacity {
            return Err(ImportError::Full);
        }
        let expires = now + self.retention;
        for ledger in export.ledgers {
            if ledger.minter == self.incarnation {
                continue;
            }
            match self.imported.get_mut(&ledger.minter) {
                Some(imported) => imported.ledger.merge(ledger),
                None => {
                    self.imported.insert(ledger.minter, Imported { ledger, expires });
                }
            }
        }
        Ok(())
    }

    /// Counts the tickets of `export` that aren't stored yet; a peer sends its export
    /// again if the reply to the first one was lost.
    fn count_new(&self, export: &Export) -> usize {
        let new = |ledger: &Ledger| {
            let known = self.imported.get(&ledger.minter).map(|imported| &imported.ledger.records);
            let known = |number| known.is_some_and(|records| records.contains_key(number));
            ledger.records.keys().filter(|number| !known(number)).count()
        };
        export.ledgers.iter().map(new).sum()
    }

    /// Removes the tickets that have expired.
    fn remove_expired(&mut self, now: Time) {
        while let Some(&(expires, number)) = self.expiries.first()
            && expires <= now
        {
            self.expiries.pop_first();
            self.entries.remove(&number);
        }
        self.imported.retain(|_, imported| now < imported.expires);
    }
}

fn reschedule(expiries: &mut BTreeSet<(Time, u64)>, number: u64, entry: &mut Entry, expires: Time) {
    expiries.remove(&(entry.expires, number));
    entry.expires = expires;
    expiries.insert((expires, number));
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sealed = if self.sealed { ", sealed" } else { "" };
        writeln!(f, "{} of {} tickets{sealed}", self.len(), self.capacity)?;
        for (minter, imported) in &self.imported {
            writeln!(f, "{} tickets of {minter} adopted", imported.ledger.records.len())?;
        }
        Ok(())
    }
}
