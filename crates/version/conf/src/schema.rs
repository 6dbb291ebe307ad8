//! The shapes of the four kinds of objects.
//!
//! Invariant: serde deserializes a value that fits the shape of a kind into the kind's
//! struct, and a serialized struct fits the shape. The shapes exist in addition to
//! the structs because serde stops at the first error.

use serde_json::Value;

use crate::object::Experiment;
use crate::object::Kind;
use crate::object::Map;
use crate::object::Policy;
use crate::object::Service;
use crate::object::Spec;
use crate::shape::Field;
use crate::shape::Issue;
use crate::shape::Shape;

const U32: Shape = Shape::Whole(u32::MAX as u64);
const U64: Shape = Shape::Whole(u64::MAX);

const SERVICE: Shape = Shape::Record(&[
    Field::required("value", Shape::OneOf(&["tail", "coverage"])),
    Field::required("deadline_ms", U32),
    Field::required("policy", Shape::Text),
    Field::required("map", Shape::Text),
    Field::optional("older_maps", Shape::List(&Shape::Text)),
    Field::required("slots", U32),
    Field::required("connections", U32),
]);

const MAP: Shape = Shape::Record(&[
    Field::required("service", Shape::Text),
    Field::required("groups", Shape::List(&GROUP)),
]);

const GROUP: Shape = Shape::Record(&[Field::required("servers", Shape::List(&SERVER))]);

const SERVER: Shape = Shape::Record(&[
    Field::required("name", Shape::Text),
    Field::required("address", Shape::Address),
    Field::required("data_centre", Shape::Text),
]);

const POLICY: Shape = Shape::Record(&[
    Field::optional(
        "choice",
        Shape::OneOf(&["random", "round_robin", "least_of_two", "latency", "home"]),
    ),
    Field::optional(
        "hedge",
        Shape::Record(&[
            Field::optional("quantile_percent", Shape::Decimal),
            Field::optional("budget_percent", Shape::Decimal),
        ]),
    ),
    Field::optional(
        "retry",
        Shape::Record(&[
            Field::optional("attempts", U32),
            Field::optional("budget_percent", Shape::Decimal),
        ]),
    ),
    Field::optional(
        "admit",
        Shape::Record(&[
            Field::optional("most_running", U32),
            Field::optional("most_waiting", U32),
            Field::optional("learn", Shape::Flag),
            Field::optional("deadline_aware", Shape::Flag),
        ]),
    ),
    Field::optional("slice_percent", U32),
]);

const EXPERIMENT: Shape = Shape::Record(&[
    Field::required("service", Shape::Text),
    Field::required("arms", Shape::List(&ARM)),
    Field::optional("unit", Shape::OneOf(&["caller", "request"])),
    Field::optional("stage", Shape::OneOf(&["draft", "running", "stopped", "concluded"])),
    Field::optional("winner", Shape::Text),
    Field::optional(
        "guard",
        Shape::Record(&[
            Field::optional("p99_ratio", Shape::Decimal),
            Field::optional("coverage_loss_points", Shape::Decimal),
            Field::optional("least_requests", U64),
        ]),
    ),
]);

const ARM: Shape = Shape::Record(&[
    Field::required("name", Shape::Text),
    Field::required("policy", Shape::Text),
    Field::required("weight", U32),
]);

/// The shape of a kind's spec.
pub fn shape(kind: Kind) -> Shape {
    match kind {
        Kind::Service => SERVICE,
        Kind::Map => MAP,
        Kind::Policy => POLICY,
        Kind::Experiment => EXPERIMENT,
    }
}

/// Converts a JSON value to a spec of `kind`; returns everything in which the value
/// differs from the shape.
pub fn from_json(kind: Kind, value: &Value) -> Result<Spec, Vec<Issue>> {
    let mut issues = Vec::new();
    shape(kind).check(value, "", &mut issues);
    if !issues.is_empty() {
        return Err(issues);
    }
    let value = without_nulls(value);
    let spec = match kind {
        Kind::Service => serde_json::from_value::<Service>(value).map(Spec::Service),
        Kind::Map => serde_json::from_value::<Map>(value).map(Spec::Map),
        Kind::Policy => serde_json::from_value::<Policy>(value).map(Spec::Policy),
        Kind::Experiment => serde_json::from_value::<Experiment>(value).map(Spec::Experiment),
    };
    spec.map_err(|error| vec![Issue::new("", error.to_string())])
}

/// Removes null fields, which are equivalent to missing ones.
fn without_nulls(value: &Value) -> Value {
    match value {
        Value::Object(object) => {
            let fields = object.iter().filter(|(_, value)| !value.is_null());
            fields.map(|(key, value)| (key.clone(), without_nulls(value))).collect()
        }
        Value::Array(entries) => entries.iter().map(without_nulls).collect(),
        _ => value.clone(),
    }
}

/// Converts a spec to a JSON value that [`from_json`] accepts.
pub fn to_json(spec: &Spec) -> Value {
    let value = match spec {
        Spec::Service(service) => serde_json::to_value(service),
        Spec::Map(map) => serde_json::to_value(map),
        Spec::Policy(policy) => serde_json::to_value(policy),
        Spec::Experiment(experiment) => serde_json::to_value(experiment),
    };
    // Serialization fails only for a map whose keys aren't strings; no spec has one.
    without_nulls(&value.unwrap_or(Value::Null))
}
