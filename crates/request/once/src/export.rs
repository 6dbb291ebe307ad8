//! A ticket table that was closed for good, in the form handed to a peer.
//!
//! Invariant: a fate is final knowledge about a minter that sends no more. Of
//! two fates of one ticket, [`Status::Unknown`] gives way to the other.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::response::Response;
use wire::id::Incarnation;

/// What became of one ticket of a sealed table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Its request never ran and never will.
    NotRun,
    /// An upstream may have run it; the minter stopped before it knew.
    Unknown,
    /// Decided.
    Done(Response),
}

/// One ticket of a sealed table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The hash of the request that it is bound to, if one came.
    pub fingerprint: Option<u64>,
    /// What became of it.
    #[serde(rename = "fate")]
    pub status: Status,
}

/// The tickets of one minter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The minter.
    pub minter: Incarnation,
    /// Numbers from here on were never minted.
    pub next: u64,
    /// The tickets that are remembered, by number.
    pub records: BTreeMap<u64, Record>,
}

impl Ledger {
    /// Takes over what `other` knows better about the same minter.
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

/// A closed table: its own tickets and those that it adopted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Export {
    /// One ledger for each minter.
    pub ledgers: Vec<Ledger>,
}

impl Export {
    /// The number of tickets in it.
    pub fn len(&self) -> usize {
        self.ledgers.iter().map(|ledger| ledger.records.len()).sum()
    }

    /// Whether it holds no ticket.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl fmt::Display for Export {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tickets of {} minters", self.len(), self.ledgers.len())
    }
}
