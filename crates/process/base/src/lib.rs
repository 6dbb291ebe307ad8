//! Types that the other crates share: points in time, dense entity references, sets of
//! regions, and a stable hash.

#![deny(missing_docs)]

pub mod entity;
pub mod hash;
pub mod region;
pub mod time;
