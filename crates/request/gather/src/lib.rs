//! One request from start to end: it is sent to one server of each of its
//! services, slow and failed attempts are hedged or retried at other servers, and
//! one response is returned in time. A plain request has a single service. No I/O.

#![deny(missing_docs)]

pub mod event;
pub mod machine;
pub mod merge;
pub mod plan;
pub mod refusal;
pub mod resources;

mod progress;
