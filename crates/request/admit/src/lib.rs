//! Admission control: decides which requests of a node run, wait, or are rejected.

#![deny(missing_docs)]

pub mod controller;
pub mod limit;
pub mod queue;
pub mod request;
pub mod service_time;
pub mod settings;
