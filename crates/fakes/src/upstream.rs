//! Stand-ins for upstream servers: one process hosts many, each with a port of
//! its own, and all are driven over one control port:
//!
//! - `GET /maps`: the shard map of each service, by map name.
//! - `GET /stats`: [`Stats`] by server name.
//! - `GET /runs`: [`Runs`], how often each non-idempotent request began to run.
//! - `PUT /fault` with a [`Fault`], or a list of them.
//!
//! A server speaks `wire::upstream`. Invariant: a refusal with
//! `hs-not-run: 1` is only given to a request that did not begin to run.

mod control;
mod fault;
mod fleet;
mod server;
mod settings;
mod shell;
mod stats;
mod work;

pub use fault::Action;
pub use fault::Fault;
pub use fleet::Fleet;
pub use settings::Service;
pub use settings::Settings;
pub use stats::Runs;
pub use stats::Stats;
pub use work::Work;
