//! Which requests a node lets in, which wait, and which are refused at once.

#![deny(missing_docs)]

pub mod ask;
pub mod expect;
pub mod gate;
pub mod limit;
pub mod queue;
pub mod settings;
