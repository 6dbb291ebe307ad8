//! The stored response to a ticket's request.
//!
//! Invariant: "not run" is only stored for a request that was sent to no upstream,
//! or that every upstream to which it was sent confirmed not to have run.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wire::caller::Answer;
use wire::caller::Execution;
use wire::caller::Refusal;

/// The final response to a request, whether or not it reached the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The request ran, with this result.
    Answer(Arc<Answer>),
    /// The request got no answer.
    Refusal(Refusal),
}

impl Response {
    /// Returns the same response; a refusal now says that the request may have run.
    pub(crate) fn with_unknown_outcome(mut self) -> Self {
        if let Self::Refusal(refusal) = &mut self {
            refusal.outcome = Execution::Unknown;
        }
        self
    }
}

impl fmt::Display for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer(_) => f.write_str("answered"),
            Self::Refusal(refusal) => write!(f, "{:?}: {:?}", refusal.outcome, refusal.cause),
        }
    }
}
