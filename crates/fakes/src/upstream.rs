//! Stand-ins for upstream servers: one process hosts many, each on its own port,
//! with one control port for all of them:
//!
//! - `GET /maps`: the shard map of each service, by map name.
//! - `GET /stats`: [`Stats`] by server name.
//! - `GET /runs`: [`Runs`], how often each non-idempotent request started to run.
//! - `PUT /fault` with a [`Fault`], or a list of them.
//!
//! Servers implement the protocol of `wire::upstream`. Invariant: a refusal with
//! `hs-not-run: 1` is only sent for a request that did not start to run.

mod control;
mod endpoint;
mod fault;
mod fleet;
mod server;
mod service_time;
mod settings;
mod stats;

pub use fault::Action;
pub use fault::Fault;
pub use fleet::Fleet;
pub use service_time::ServiceTimes;
pub use settings::Service;
pub use settings::Settings;
pub use stats::Runs;
pub use stats::Stats;
