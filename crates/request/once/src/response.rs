//! What became of a ticket's request.
//!
//! Invariant: "not run" is only ever stored for a request that no upstream was
//! sent, or that every upstream refused with a certificate.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wire::caller::Answer;
use wire::caller::Execution;
use wire::caller::Refusal;

/// The final word that was told, or would have been.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// It ran; this is what was found.
    Answer(Arc<Answer>),
    /// It got no answer.
    Refusal(Refusal),
}

impl Response {
    /// The same, but that it may have run.
    pub(crate) fn with_doubt(mut self) -> Self {
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
