//! Why a call failed, as a type and as a gRPC status.
//!
//! Invariant: [`Failure::Unknown`] is returned whenever a write may have taken
//! effect; the other variants are returned only if it did not.

use std::fmt;

use prost::Message;
use tonic::Code;
use tonic::Status;

use crate::convert;
use crate::proto;
use conf::object::Object;
use conf::verify::Issue;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Failure {
    /// Nothing was written: the request is invalid.
    #[error("invalid: {}", JoinedIssues(.0))]
    Invalid(Vec<Issue>),
    /// Nothing was written: the object doesn't have the expected revision. Carries
    /// the present object or tombstone; none if the object never existed.
    #[error("conflict: {}", Winner(.0))]
    Conflict(Option<Object>),
    /// The object, request or drain target does not exist.
    #[error("not found: {0}")]
    NotFound(String),
    /// Nothing was done; another node or a later call may succeed.
    #[error("unavailable: {message}")]
    Unavailable {
        /// What is unavailable, and why.
        message: String,
        /// The time after which to retry, in milliseconds, if known.
        retry_after_ms: Option<u32>,
    },
    /// A write may or may not have taken effect.
    #[error("unknown outcome: {message} (operation {operation})")]
    Unknown {
        /// What is known about the failure.
        message: String,
        /// The operation id of the write.
        operation: String,
    },
    /// The node does not support this call.
    #[error("unsupported: {0}")]
    Unsupported(String),
}

impl Failure {
    /// A [`Failure::Unavailable`] without a retry time.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self::Unavailable { message: message.into(), retry_after_ms: None }
    }

    /// A [`Failure::Invalid`] with one issue at `path`.
    pub fn invalid(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self::Invalid(vec![Issue::new(path, message)])
    }

    fn code(&self) -> Code {
        match self {
            Self::Invalid(_) => Code::InvalidArgument,
            Self::Conflict(_) => Code::Aborted,
            Self::NotFound(_) => Code::NotFound,
            Self::Unavailable { .. } => Code::Unavailable,
            Self::Unknown { .. } => Code::Unknown,
            Self::Unsupported(_) => Code::Unimplemented,
        }
    }
}

struct JoinedIssues<'a>(&'a [Issue]);

impl fmt::Display for JoinedIssues<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, issue) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            issue.fmt(f)?;
        }
        Ok(())
    }
}

struct Winner<'a>(&'a Option<Object>);

impl fmt::Display for Winner<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => f.write_str("the object does not exist"),
            Some(Object { key, revision, spec: None }) => {
                write!(f, "{key} was deleted at revision {revision}")
            }
            Some(Object { key, revision, .. }) => write!(f, "{key} is at revision {revision}"),
        }
    }
}

impl From<Failure> for Status {
    fn from(failure: Failure) -> Self {
        let details = proto::Failure { kind: Some(convert::failure_to_proto(&failure)) };
        Self::with_details(failure.code(), failure.to_string(), details.encode_to_vec().into())
    }
}

impl From<&Status> for Failure {
    /// Converts a status by its details. If it has none that can be decoded, for
    /// example because the transport created it, its code decides: only codes that
    /// are returned before the handler runs mean that nothing was done.
    fn from(status: &Status) -> Self {
        let details = proto::Failure::decode(status.details()).ok().and_then(|f| f.kind);
        if let Some(failure) = details.and_then(convert::failure_from_proto) {
            return failure;
        }
        let message = status.message().to_string();
        match status.code() {
            Code::InvalidArgument => Self::invalid("", message),
            Code::NotFound => Self::NotFound(message),
            Code::Unimplemented => Self::Unsupported(message),
            code => {
                Self::Unknown { message: format!("{code}: {message}"), operation: String::new() }
            }
        }
    }
}
