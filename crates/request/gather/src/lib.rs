//! The life of one request: one server of each of its services is asked, slow
//! and failed ones are asked elsewhere, and one answer is given in time. A plain
//! request is one of a single service. No I/O.

#![deny(missing_docs)]

pub mod event;
pub mod machine;
pub mod merge;
pub mod plan;
pub mod resources;

mod progress;
