//! What lives as long as the process: one [`state::Process`] and its background
//! work.

pub mod dump;
pub mod experiments;
pub mod follow;
pub mod health;
pub mod hub;
pub mod operate;
pub mod pulse;
pub mod report;
pub mod run;
pub mod state;
pub mod stop;
pub mod traces;
pub mod upstreams;
