//! Requests that end the servers that run them: what makes two requests the same
//! ([`identity`]), what a node knows of them ([`ledger`]) and what nodes tell each other of
//! that ([`notice`]). No I/O.

#![deny(missing_docs)]

pub mod identity;
pub mod ledger;
pub mod notice;
mod record;
