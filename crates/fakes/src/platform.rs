//! A stand-in for the platform's object API, with faults that are set at run
//! time. It speaks `wire::platform`, and besides:
//!
//! - `PUT /v1/vms` with `wire::platform::Vms`; shown by `GET` after the lag,
//!   which `?lag_ms=MS` sets.
//! - `GET` and `PUT /fault`: the whole [`Fault`]; what is absent is healthy.
//! - `GET /stats`: [`Stats`].
//!
//! Invariant: a fault never breaks the store itself: revisions come from one
//! counter and a precondition is checked at the moment of the effect.

mod fault;
mod objects;
mod server;
mod stats;

pub use fault::Delay;
pub use fault::Fault;
pub use fault::Loss;
pub use fault::Outage;
pub use objects::Condition;
pub use objects::Store;
pub use server::Platform;
pub use stats::Stats;
