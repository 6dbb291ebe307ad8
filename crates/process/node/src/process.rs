//! The state of the process, [`state::Process`], and its background tasks.

pub mod dump;
pub mod experiments;
pub mod health;
pub mod operator_handler;
pub mod pause;
pub mod peer_handler;
pub mod platform_handler;
pub mod report;
pub mod run;
pub mod shutdown_handler;
pub mod state;
pub mod traces;
pub mod upstreams;
