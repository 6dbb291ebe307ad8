//! What every other crate shares: time as a value, dense entity references,
//! and the one stable hash.

#![deny(missing_docs)]

pub mod entity;
pub mod hash;
pub mod time;
