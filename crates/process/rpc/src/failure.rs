//! Why a call failed, as a type and as a gRPC status.
//!
//! Invariant: [`Failure::Unknown`] is said whenever a write may have taken
//! effect; all the others are said only when it did not.

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
    /// Nothing was written: the request breaks the rules.
    #[error("invalid: {}", Joined(.0))]
    Invalid(Vec<Issue>),
    /// Nothing was written: this object or tombstone won. Without one, the
    /// object never was.
    #[error("conflict: {}", Winner(.0))]
    Conflict(Option<Object>),
    /// There is no such object, request or target.
    #[error("not found: {0}")]
    NotFound(String),
    /// Nothing was done; another node or a later call may do it.
    #[error("unavailable: {message}")]
    Unavailable {
        /// What is not available, and why.
        message: String,
        /// When to come back, in milliseconds, if that is known.
        retry_after_ms: Option<u32>,
    },
    /// A write may or may not have taken effect.
    #[error("unknown outcome: {message} (operation {operation})")]
    Unknown {
        /// What is known.
        message: String,
        /// The id of the write.
        operation: String,
    },
    /// The node does not do this.
    #[error("unsupported: {0}")]
    Unsupported(String),
}

impl Failure {
    /// Nothing was done, for want of `message`.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self::Unavailable { message: message.into(), retry_after_ms: None }
    }

    /// One fault at `path`.
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

struct Joined<'a>(&'a [Issue]);

impl fmt::Display for Joined<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            finding.fmt(f)?;
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
    /// A status without readable details, such as one made by the transport, is
    /// taken by its code. Only codes that are given before the call reached the
    /// service's code count as "nothing was done".
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
