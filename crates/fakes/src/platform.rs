//! A stand-in for the platform's object API, with faults that can be set while it
//! runs. It implements the protocol of `wire::platform` and these calls:
//!
//! - `PUT /v1/vms` with `wire::platform::Vms`; `GET` returns it after the lag,
//!   which `?lag_ms=MS` sets.
//! - `GET` and `PUT /fault`: the whole [`Fault`]; absent fields mean healthy.
//! - `GET /stats`: [`Stats`].
//!
//! Invariant: a fault never breaks the store itself: revisions come from one
//! counter, and a precondition is checked when its write takes effect.

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
