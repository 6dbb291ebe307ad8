//! The translation between the schema's messages and the project's types.
//!
//! Invariant: what is translated there and back is the same. A message that is
//! no object gives findings, never a default.

use std::sync::Arc;

use crate::failure::Failure;
use crate::proto;
use crate::proto::failure::Kind as Proto;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use conf::schema;
use conf::verify::Issue;

/// A kind as the schema has it.
pub fn kind_to_proto(kind: Kind) -> proto::Kind {
    match kind {
        Kind::Service => proto::Kind::Service,
        Kind::Map => proto::Kind::Map,
        Kind::Policy => proto::Kind::Policy,
        Kind::Experiment => proto::Kind::Experiment,
    }
}

/// A kind from its number in the schema; `None` if unspecified or unknown.
pub fn kind_from_proto(kind: i32) -> Option<Kind> {
    match proto::Kind::try_from(kind).ok()? {
        proto::Kind::Unspecified => None,
        proto::Kind::Service => Some(Kind::Service),
        proto::Kind::Map => Some(Kind::Map),
        proto::Kind::Policy => Some(Kind::Policy),
        proto::Kind::Experiment => Some(Kind::Experiment),
    }
}

/// A key as the schema has it.
pub fn key_to_proto(key: &Key) -> proto::Key {
    proto::Key { kind: kind_to_proto(key.kind).into(), name: key.name.to_string() }
}

/// A key from a message; `Invalid` if it or its kind is missing.
pub fn key_from_proto(key: Option<proto::Key>) -> Result<Key, Failure> {
    let key = key.ok_or_else(|| Failure::invalid("key", "is missing"))?;
    let kind =
        kind_from_proto(key.kind).ok_or_else(|| Failure::invalid("key.kind", "is unknown"))?;
    Ok(Key { kind, name: Arc::from(key.name) })
}

/// A spec as JSON text.
pub fn spec_to_json(spec: &Spec) -> String {
    schema::to_json(spec).to_string()
}

/// A spec from JSON text; `Invalid` with all faults of its shape.
pub fn spec_from_json(kind: Kind, text: &str) -> Result<Spec, Failure> {
    let value = serde_json::from_str(text)
        .map_err(|error| Failure::invalid("", format!("not JSON: {error}")))?;
    schema::from_json(kind, &value).map_err(Failure::Invalid)
}

/// An object as the schema has it.
pub fn object_to_proto(object: &Object) -> proto::Object {
    proto::Object {
        key: Some(key_to_proto(&object.key)),
        revision: object.revision,
        spec_json: object.spec.as_ref().map(spec_to_json),
    }
}

/// An object from a message; `Invalid` with its faults.
pub fn object_from_proto(object: proto::Object) -> Result<Object, Failure> {
    let key = key_from_proto(object.key)?;
    let spec = object.spec_json.map(|text| spec_from_json(key.kind, &text)).transpose()?;
    Ok(Object { key, revision: object.revision, spec })
}

/// A failure as the schema has it.
pub fn failure_to_proto(failure: &Failure) -> Proto {
    match failure {
        Failure::Invalid(findings) => Proto::Invalid(proto::Invalid {
            findings: findings.iter().map(finding_to_proto).collect(),
        }),
        Failure::Conflict(winner) => {
            Proto::Conflict(proto::Conflict { winner: winner.as_ref().map(object_to_proto) })
        }
        Failure::NotFound(message) => Proto::NotFound(proto::NotFound { message: message.clone() }),
        Failure::Unavailable { message, retry_after_ms } => {
            Proto::Unavailable(proto::Unavailable {
                message: message.clone(),
                retry_after_ms: *retry_after_ms,
            })
        }
        Failure::Unknown { message, operation } => Proto::UnknownOutcome(proto::UnknownOutcome {
            message: message.clone(),
            operation: operation.clone(),
        }),
        Failure::Unsupported(message) => {
            Proto::Unsupported(proto::Unsupported { message: message.clone() })
        }
    }
}

/// A failure from a message; `None` if it holds an object that is none.
pub fn failure_from_proto(failure: Proto) -> Option<Failure> {
    Some(match failure {
        Proto::Invalid(invalid) => {
            Failure::Invalid(invalid.findings.into_iter().map(finding_from_proto).collect())
        }
        Proto::Conflict(conflict) => {
            Failure::Conflict(conflict.winner.map(object_from_proto).transpose().ok()?)
        }
        Proto::NotFound(found) => Failure::NotFound(found.message),
        Proto::Unavailable(unavailable) => Failure::Unavailable {
            message: unavailable.message,
            retry_after_ms: unavailable.retry_after_ms,
        },
        Proto::UnknownOutcome(unknown) => {
            Failure::Unknown { message: unknown.message, operation: unknown.operation }
        }
        Proto::Unsupported(unsupported) => Failure::Unsupported(unsupported.message),
    })
}

fn finding_to_proto(finding: &Issue) -> proto::Finding {
    proto::Finding { path: finding.path.clone(), message: finding.message.clone() }
}

fn finding_from_proto(finding: proto::Finding) -> Issue {
    Issue::new(finding.path, finding.message)
}
