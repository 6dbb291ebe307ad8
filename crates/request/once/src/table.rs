//! The tickets of one node incarnation and those it adopted from stopped peers.
//!
//! Invariants: only the minter's table lets a ticket's request be sent, and for
//! each ticket at most one send is outstanding or may have run; a forgotten,
//! foreign or sealed ticket never runs, nor one whose outcome was told. The table never forgets a ticket that
//! may still be used or whose request may run: when it is full it mints no more.

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

/// What to do with a request that carries a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Disposition {
    /// Run it, then call [`Table::finish`].
    Run,
    /// It runs already; wait for the same outcome.
    Running,
    /// It is decided.
    Done(Response),
    /// Only this incarnation may run it or tell its outcome.
    NotOwner(Incarnation),
    /// The minter stopped: nothing runs any more; this is what is known.
    OwnerStopped(Execution),
    /// The ticket belongs to another request, or was never minted.
    Mismatch,
    /// Too late. The outcome is "not run" while the entry is remembered as
    /// unused, else "unknown".
    Expired(Execution),
}

/// Why a sealed table wasn't adopted; hand it to another peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ImportError {
    /// There is no room.
    #[error("the ticket table is full")]
    Full,
    /// This table is sealed itself.
    #[error("the ticket table is sealed")]
    Sealed,
}

/// A ledger of a stopped peer.
#[derive(Clone, Debug)]
struct Adopted {
    ledger: Ledger,
    expires: Time,
}

/// The ticket table of one node incarnation.
#[derive(Clone, Debug)]
pub struct Table {
    incarnation: Incarnation,
    capacity: usize,
    keep: Duration,
    next: u64,
    entries: HashMap<u64, Entry>,
    /// When each entry may be forgotten, earliest first.
    expiries: BTreeSet<(Time, u64)>,
    adopted: BTreeMap<Incarnation, Adopted>,
    sealed: bool,
}

impl Table {
    /// An empty table. A ticket may be used for `keep` after it was minted, and is
    /// remembered for as long after that and after its outcome is known.
    /// `capacity` bounds the tickets that are remembered, adopted ones included.
    pub fn new(incarnation: Incarnation, capacity: usize, keep: Duration) -> Self {
        Self {
            incarnation,
            capacity,
            keep,
            next: 0,
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            adopted: BTreeMap::new(),
            sealed: false,
        }
    }

    /// How many tickets are remembered, adopted ones included.
    pub fn len(&self) -> usize {
        let adopted = self.adopted.values().map(|adopted| adopted.ledger.records.len());
        self.entries.len() + adopted.sum::<usize>()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether [`Table::export`] was called.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Mints up to `count` tickets: fewer when the table is nearly full, none
    /// when it is full or sealed.
    pub fn mint(&mut self, count: usize, now: Time) -> Vec<Ticket> {
        self.forget(now);
        if self.sealed {
            return Vec::new();
        }
        let room = self.capacity.saturating_sub(self.len());
        (0..count.min(room)).map(|_| self.mint_one(now)).collect()
    }

    fn mint_one(&mut self, now: Time) -> Ticket {
        let number = self.next;
        self.next += 1;
        // Remembered after it may be used, so that a late use is told "not run".
        let use_by = now + self.keep;
        let entry = Entry::new(use_by, use_by + self.keep);
        self.expiries.insert((entry.expires, number));
        self.entries.insert(number, entry);
        Ticket { minter: self.incarnation, number }
    }

    /// A request with `ticket` and the hash `fingerprint` came; it may be sent
    /// until `deadline`.
    pub fn begin(
        &mut self,
        ticket: Ticket,
        fingerprint: u64,
        deadline: Time,
        now: Time,
    ) -> Disposition {
        self.forget(now);
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
            State::Done(last) => Disposition::Done(last.clone()),
            State::Running | State::Sent => Disposition::Running,
            State::Idle if sealed => Disposition::OwnerStopped(Execution::NotRun),
            State::Idle if now >= entry.use_by => Disposition::Expired(Execution::NotRun),
            State::Idle => {
                entry.fingerprint = Some(fingerprint);
                entry.state = State::Running;
                entry.send_by = deadline.min(entry.use_by);
                let expires = entry.use_by.max(deadline) + self.keep;
                reschedule(&mut self.expiries, ticket.number, entry, expires);
                Disposition::Run
            }
        }
    }

    fn begin_foreign(&self, ticket: Ticket, fingerprint: u64) -> Disposition {
        let Some(adopted) = self.adopted.get(&ticket.minter) else {
            return Disposition::NotOwner(ticket.minter);
        };
        let ledger = &adopted.ledger;
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
            Status::Done(last) => Disposition::Done(last.clone()),
        }
    }

    /// Whether the ticket's request may be sent at `now`: asked at the moment of
    /// sending, so that a process that was paused doesn't send too late.
    pub fn may_send(&self, ticket: Ticket, now: Time) -> bool {
        !self.sealed && self.own(ticket).is_some_and(|entry| entry.may_send(now))
    }

    /// Notes that the ticket's request is being sent, if it may be; only on
    /// `true` may the message be handed over.
    pub fn try_mark_sent(&mut self, ticket: Ticket, now: Time) -> bool {
        if !self.may_send(ticket, now) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&ticket.number) else { return false };
        entry.state = State::Sent;
        true
    }

    /// The upstream certified that it did not run what was sent, or the message
    /// never left; it may be sent again.
    pub fn mark_not_run(&mut self, ticket: Ticket) {
        if let Some(entry) = self.own_mut(ticket)
            && entry.state == State::Sent
        {
            entry.state = State::Running;
        }
    }

    /// Ends the run of a ticket and returns what must be told.
    ///
    /// "Not run" is as final as the rest: a delayed copy of the request must not
    /// run after it was told, so another try takes another ticket. "Not run" about
    /// a request that was sent without a certificate, or that is forgotten, is
    /// turned into "unknown"; what was told first stands.
    pub fn finish(&mut self, ticket: Ticket, last: Response, now: Time) -> Response {
        let keep = self.keep;
        let own = ticket.minter == self.incarnation;
        let Some(entry) = self.entries.get_mut(&ticket.number).filter(|_| own) else {
            return last.with_doubt();
        };
        let last = match &entry.state {
            State::Done(told) => return told.clone(),
            State::Idle | State::Running => last,
            State::Sent => last.with_doubt(),
        };
        entry.state = State::Done(last.clone());
        reschedule(&mut self.expiries, ticket.number, entry, now + keep);
        last
    }

    fn own(&self, ticket: Ticket) -> Option<&Entry> {
        let own = ticket.minter == self.incarnation;
        self.entries.get(&ticket.number).filter(|_| own)
    }

    fn own_mut(&mut self, ticket: Ticket) -> Option<&mut Entry> {
        let own = ticket.minter == self.incarnation;
        self.entries.get_mut(&ticket.number).filter(|_| own)
    }

    /// Closes the table for good: nothing is minted, begun or sent after it.
    ///
    /// May be called again to learn how the requests that ran have ended since.
    pub fn export(&mut self) -> Export {
        self.sealed = true;
        let record = |entry: &Entry| Record {
            fingerprint: entry.fingerprint,
            status: match &entry.state {
                State::Idle | State::Running => Status::NotRun,
                State::Sent => Status::Unknown,
                State::Done(last) => Status::Done(last.clone()),
            },
        };
        let records = self.entries.iter().map(|(number, entry)| (*number, record(entry)));
        let own = Ledger { minter: self.incarnation, next: self.next, records: records.collect() };
        let adopted = self.adopted.values().map(|adopted| adopted.ledger.clone());
        Export { ledgers: std::iter::once(own).chain(adopted).collect() }
    }

    /// Takes over the tickets of a peer that stopped, to tell their outcomes.
    pub fn import(&mut self, sealed: Export, now: Time) -> Result<(), ImportError> {
        self.forget(now);
        if self.sealed {
            return Err(ImportError::Sealed);
        }
        if self.len() + self.growth(&sealed) > self.capacity {
            return Err(ImportError::Full);
        }
        let expires = now + self.keep;
        for ledger in sealed.ledgers {
            if ledger.minter == self.incarnation {
                continue;
            }
            match self.adopted.get_mut(&ledger.minter) {
                Some(adopted) => adopted.ledger.merge(ledger),
                None => {
                    self.adopted.insert(ledger.minter, Adopted { ledger, expires });
                }
            }
        }
        Ok(())
    }

    /// How many tickets of `sealed` aren't known here: a hand-over whose answer was
    /// lost is sent again.
    fn growth(&self, sealed: &Export) -> usize {
        let new = |ledger: &Ledger| {
            let known = self.adopted.get(&ledger.minter).map(|adopted| &adopted.ledger.records);
            let known = |number| known.is_some_and(|records| records.contains_key(number));
            ledger.records.keys().filter(|number| !known(number)).count()
        };
        sealed.ledgers.iter().map(new).sum()
    }

    /// Forgets what can't be asked for any more.
    fn forget(&mut self, now: Time) {
        while let Some(&(expires, number)) = self.expiries.first()
            && expires <= now
        {
            self.expiries.pop_first();
            self.entries.remove(&number);
        }
        self.adopted.retain(|_, adopted| now < adopted.expires);
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
        for (minter, adopted) in &self.adopted {
            writeln!(f, "{} tickets of {minter} adopted", adopted.ledger.records.len())?;
        }
        Ok(())
    }
}
