//! The contents of a sealed ticket table, in the form that is sent to a peer.
//!
//! Invariant: a status is final, since the minter of the ticket sends nothing after
//! its table is sealed. Of two statuses of one ticket, [`Status::Unknown`] is replaced
//! by the other.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::response::Response;
use wire::id::Incarnation;

/// The status of one ticket of a sealed table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Its request did not run and never will.
    NotRun,
    /// An upstream may have run its request; the minter stopped before it received
    /// the outcome.
    Unknown,
    /// Its request finished with this response.
    Done(Response),
}

/// One ticket of a sealed table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The hash of the request that the ticket is bound to, if one arrived.
    pub fingerprint: Option<u64>,
    /// The status of its request.
    #[serde(rename = "fate")]
    pub status: Status,
}

/// The tickets of one minter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The node incarnation that issued the tickets.
    pub minter: Incarnation,
    /// The first ticket number that was never minted.
    pub next: u64,
    /// The stored tickets, by number.
    pub records: BTreeMap<u64, Record>,
}

impl Ledger {
    /// Merges another ledger of the same minter: adds its new tickets and replaces
    /// unknown statuses.
    pub fn merge(&mut self, other: Self) {
        self.next = self.next.max(other.next);
        for (number, record) in other.records {
            let known = self.records.entry(number).or_insert_with(|| record.clone());
            if known.status == Status::Unknown {
                *known = record;
            }
        }
    }
}

/// The contents of a sealed table: its own tickets and those that it imported.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Export {
    /// One ledger for each minter.
    pub ledgers: Vec<Ledger>,
}

impl Export {
    /// The number of tickets, over all ledgers.
    pub fn len(&self) -> usize {
        self.ledgers.iter().map(|ledger| ledger.records.len()).sum()
    }

    /// Whether there are no tickets.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl fmt::Display for Export {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tickets of {} minters", self.len(), self.ledgers.len())
    }
}
