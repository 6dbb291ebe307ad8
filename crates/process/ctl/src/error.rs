//! Why a command failed, and its exit code.
//!
//! Invariant: each cause that a script must distinguish has its own code; the code
//! is 6 whenever a write may have taken effect.

use std::fmt;
use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use crate::output;
use conf::document;
use conf::report::Report;
use rpc::failure::Failure;

/// The exit code of a command, as returned by the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// The command succeeded.
    Done = 0,
    /// The result could not be printed.
    Output = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file or an object is invalid; nothing was written.
    Invalid = 3,
    /// The object has another revision; nothing was written.
    Conflict = 4,
    /// No node, or not the platform, was available; nothing was written.
    Unavailable = 5,
    /// The write may or may not have taken effect.
    Unknown = 6,
    /// The object, request or drain target does not exist.
    NotFound = 7,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0}\nTry `hsctl --help`.")]
    Usage(String),
    /// Files are invalid; one report for each.
    #[error("{}", join(.0))]
    Files(Vec<Report>),
    /// A call failed; after a conflict, the present object is shown.
    #[error("{}", WithHint(.0))]
    Call(#[from] Failure),
    /// The result could not be printed.
    #[error("the output can't be written: {0}")]
    Output(#[from] std::io::Error),
}

fn join(reports: &[Report]) -> String {
    let lines: Vec<_> = reports.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

struct WithHint<'a>(&'a Failure);

impl fmt::Display for WithHint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)?;
        match self.0 {
            Failure::Conflict(Some(winner)) => {
                write!(f, "\nThe object is now:\n{}", document::to_yaml(winner).trim_end())
            }
            Failure::Unknown { .. } => f.write_str(UNKNOWN_OUTCOME_HINT),
            _ => Ok(()),
        }
    }
}

/// The advice after a write of unknown outcome.
const UNKNOWN_OUTCOME_HINT: &str =
    "\nIt may still take effect. Check with `hsctl get` before you repeat it.";

impl Error {
    /// The exit code of the failure.
    pub fn code(&self) -> Code {
        match self {
            Self::Usage(_) => Code::Usage,
            Self::Output(_) => Code::Output,
            Self::Files(_) | Self::Call(Failure::Invalid(_)) => Code::Invalid,
            Self::Call(Failure::Conflict(_)) => Code::Conflict,
            Self::Call(Failure::Unavailable { .. } | Failure::Unsupported(_)) => Code::Unavailable,
            Self::Call(Failure::Unknown { .. }) => Code::Unknown,
            Self::Call(Failure::NotFound(_)) => Code::NotFound,
        }
    }

    /// The failure as JSON; the key `failure` has the cause.
    pub fn to_json(&self) -> Value {
        let message = self.to_string();
        match self {
            Self::Usage(_) => json!({"failure": "usage", "message": message}),
            Self::Output(_) => json!({"failure": "output", "message": message}),
            Self::Files(reports) => {
                let findings: Vec<_> = reports.iter().flat_map(findings).collect();
                json!({"failure": "invalid", "message": message, "findings": findings})
            }
            Self::Call(failure) => call_to_json(failure, &failure.to_string()),
        }
    }
}

fn findings(report: &Report) -> Vec<Value> {
    let finding_to_json = |finding: &conf::report::Finding| {
        json!({
            "file": report.file(),
            "line": finding.span.line,
            "column": finding.span.column,
            "message": finding.message,
        })
    };
    report.findings().iter().map(finding_to_json).collect()
}

fn call_to_json(failure: &Failure, message: &str) -> Value {
    match failure {
        Failure::Invalid(issues) => {
            json!({"failure": "invalid", "message": message, "findings": issues})
        }
        Failure::Conflict(winner) => {
            let winner = winner.as_ref().map(output::object_to_json);
            json!({"failure": "conflict", "message": message, "winner": winner})
        }
        Failure::NotFound(_) => json!({"failure": "not_found", "message": message}),
        Failure::Unavailable { retry_after_ms, .. } => {
            json!({"failure": "unavailable", "message": message, "retry_after_ms": retry_after_ms})
        }
        Failure::Unknown { operation, .. } => {
            json!({"failure": "unknown_outcome", "message": message, "operation": operation})
        }
        Failure::Unsupported(_) => json!({"failure": "unsupported", "message": message}),
    }
}
