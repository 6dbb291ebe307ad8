//! Conversions between the messages of the schema and the types of `conf`.
//!
//! Invariant: converting a value to a message and back returns an equal value. An
//! invalid message results in issues, never in default values.

use std::sync::Arc;

use crate::failure::Failure;
use crate::proto;
use crate::proto::failure::Kind as FailureKind;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use conf::schema;
use conf::verify::Issue;

/// Converts a kind to its schema enum.
pub fn kind_to_proto(kind: Kind) -> proto::Kind {
    match kind {
        Kind::Service => proto::Kind::Service,
        Kind::Map => proto::Kind::Map,
        Kind::Policy => proto::Kind::Policy,
        Kind::Experiment => proto::Kind::Experiment,
    }
}

/// Converts the number of a kind in the schema; `None` if unspecified or unknown.
pub fn kind_from_proto(kind: i32) -> Option<Kind> {
    match proto::Kind::try_from(kind).ok()? {
        proto::Kind::Unspecified => None,
        proto::Kind::Service => Some(Kind::Service),
        proto::Kind::Map => Some(Kind::Map),
        proto::Kind::Policy => Some(Kind::Policy),
        proto::Kind::Experiment => Some(Kind::Experiment),
    }
}

/// Converts a key to its message.
pub fn key_to_proto(key: &Key) -> proto::Key {
    proto::Key { kind: kind_to_proto(key.kind).into(), name: key.name.to_string() }
}

/// Converts a key from its message; `Invalid` if the key is missing or its kind is
/// unspecified or unknown.
pub fn key_from_proto(key: Option<proto::Key>) -> Result<Key, Failure> {
    let key = key.ok_or_else(|| Failure::invalid("key", "is missing"))?;
    let kind =
        kind_from_proto(key.kind).ok_or_else(|| Failure::invalid("key.kind", "is unknown"))?;
    Ok(Key { kind, name: Arc::from(key.name) })
}

/// Serializes a spec to JSON.
pub fn spec_to_json(spec: &Spec) -> String {
    schema::to_json(spec).to_string()
}

/// Parses a spec from JSON; `Invalid` with all deviations from the schema of its kind.
pub fn spec_from_json(kind: Kind, text: &str) -> Result<Spec, Failure> {
    let value = serde_json::from_str(text)
        .map_err(|error| Failure::invalid("", format!("not JSON: {error}")))?;
    schema::from_json(kind, &value).map_err(Failure::Invalid)
}

/// Converts an object to its message.
pub fn object_to_proto(object: &Object) -> proto::Object {
    proto::Object {
        key: Some(key_to_proto(&object.key)),
        revision: object.revision,
        spec_json: object.spec.as_ref().map(spec_to_json),
    }
}

/// Converts an object from its message; `Invalid` with all issues.
pub fn object_from_proto(object: proto::Object) -> Result<Object, Failure> {
    let key = key_from_proto(object.key)?;
    let spec = object.spec_json.map(|text| spec_from_json(key.kind, &text)).transpose()?;
    Ok(Object { key, revision: object.revision, spec })
}

/// Converts a failure to its message.
pub fn failure_to_proto(failure: &Failure) -> FailureKind {
    match failure {
        Failure::Invalid(issues) => FailureKind::Invalid(proto::Invalid {
            findings: issues.iter().map(issue_to_proto).collect(),
        }),
        Failure::Conflict(winner) => {
            FailureKind::Conflict(proto::Conflict { winner: winner.as_ref().map(object_to_proto) })
        }
        Failure::NotFound(message) => {
            FailureKind::NotFound(proto::NotFound { message: message.clone() })
        }
        Failure::Unavailable { message, retry_after_ms } => {
            FailureKind::Unavailable(proto::Unavailable {
                message: message.clone(),
                retry_after_ms: *retry_after_ms,
            })
        }
        Failure::Unknown { message, operation } => {
            FailureKind::UnknownOutcome(proto::UnknownOutcome {
                message: message.clone(),
                operation: operation.clone(),
            })
        }
        Failure::Unsupported(message) => {
            FailureKind::Unsupported(proto::Unsupported { message: message.clone() })
        }
    }
}

/// Converts a failure from its message; `None` if it contains an invalid object.
pub fn failure_from_proto(failure: FailureKind) -> Option<Failure> {
    Some(match failure {
        FailureKind::Invalid(invalid) => {
            Failure::Invalid(invalid.findings.into_iter().map(issue_from_proto).collect())
        }
        FailureKind::Conflict(conflict) => {
            Failure::Conflict(conflict.winner.map(object_from_proto).transpose().ok()?)
        }
        FailureKind::NotFound(found) => Failure::NotFound(found.message),
        FailureKind::Unavailable(unavailable) => Failure::Unavailable {
            message: unavailable.message,
            retry_after_ms: unavailable.retry_after_ms,
        },
        FailureKind::UnknownOutcome(unknown) => {
            Failure::Unknown { message: unknown.message, operation: unknown.operation }
        }
        FailureKind::Unsupported(unsupported) => Failure::Unsupported(unsupported.message),
    })
}

fn issue_to_proto(issue: &Issue) -> proto::Finding {
    proto::Finding { path: issue.path.clone(), message: issue.message.clone() }
}

fn issue_from_proto(finding: proto::Finding) -> Issue {
    Issue::new(finding.path, finding.message)
}
