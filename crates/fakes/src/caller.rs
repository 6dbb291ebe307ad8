//! A stand-in for the callers: an open-loop load generator.
//!
//! Requests are sent at times planned from a seed, whether or not earlier ones
//! were answered, and latency is measured from the planned time. Invariant: each
//! planned request ends as exactly one of answered, refused and lost, and each
//! answer is checked for violations, see [`Violation`].

mod check;
mod client;
mod load;
mod lookup;
mod plan;
mod settings;
mod summary;

pub use check::Violation;
pub use check::violations;
pub use client::CallError;
pub use load::run;
pub use plan::PlannedRequest;
pub use plan::plan;
pub use settings::Pick;
pub use settings::Settings;
pub use settings::Target;
pub use summary::Claims;
pub use summary::Line;
pub use summary::ReportedOutcome;
pub use summary::Summary;
