//! A stand-in for the callers: an open-loop load tool.
//!
//! Requests are sent at times planned from a seed, whether or not earlier ones
//! were answered, and a latency counts from the planned time. Invariant: each
//! planned request ends in exactly one of answered, refused and lost, and each
//! answer is checked for its honesty.

mod check;
mod client;
mod load;
mod lookup;
mod plan;
mod settings;
mod summary;

pub use check::Violation;
pub use check::violations;
pub use client::Lost;
pub use load::run;
pub use plan::Shot;
pub use plan::plan;
pub use settings::Pick;
pub use settings::Settings;
pub use settings::Target;
pub use summary::Claims;
pub use summary::Line;
pub use summary::Summary;
pub use summary::Told;
