//! Which requests a node lets in, which wait, and which are refused at once.

#![deny(missing_docs)]

pub mod controller;
pub mod limit;
pub mod queue;
pub mod request;
pub mod service_time;
pub mod settings;
