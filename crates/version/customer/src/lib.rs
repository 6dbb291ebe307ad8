//! The customers of a configuration: their keys, and what they may use. No I/O.

#![deny(missing_docs)]

pub mod book;
pub mod config;
pub mod fair;
pub mod key;
pub mod stats;
