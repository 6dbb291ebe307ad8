//! The shape of a JSON value, and the check of a value against it.
//!
//! Invariant: the check visits the whole value, so that one issue never hides another,
//! and each issue has the path of the part that is wrong.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// One error in an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Issue {
    /// The path of the part that is wrong, such as `groups[2].servers[0].address`;
    /// empty for the object as a whole.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl Issue {
    /// Creates an issue at `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), message: message.into() }
    }
}

impl fmt::Display for Issue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// The required structure of a JSON value.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A string.
    Text,
    /// An IP address with a port.
    Address,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// An integer from 0 to this one.
    Whole(u64),
    /// Any finite number.
    Decimal,
    /// `true` or `false`.
    Flag,
    /// A list.
    List(&'static Self),
    /// An object of these fields and no others.
    Record(&'static [Field]),
}

/// One field of a [`Shape::Record`].
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The field's key.
    pub name: &'static str,
    /// The shape of the field's value.
    pub shape: Shape,
    /// Whether the field may be missing or null.
    pub optional: bool,
}

impl Field {
    /// Creates a field that must be present.
    pub const fn required(name: &'static str, shape: Shape) -> Self {
        Self { name, shape, optional: false }
    }

    /// Creates a field that may be missing or null.
    pub const fn optional(name: &'static str, shape: Shape) -> Self {
        Self { name, shape, optional: true }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text => f.write_str("text"),
            Self::Address => f.write_str("an IP address and port such as 10.0.0.1:7000"),
            Self::OneOf(choices) => write!(f, "one of {}", choices.join(", ")),
            Self::Whole(max) => write!(f, "a whole number from 0 to {max}"),
            Self::Decimal => f.write_str("a number"),
            Self::Flag => f.write_str("true or false"),
            Self::List(_) => f.write_str("a list"),
            Self::Record(_) => f.write_str("a mapping"),
        }
    }
}

impl Shape {
    /// Checks `value`, which is located at `path`, and adds what is wrong to `issues`.
    pub fn check(&self, value: &Value, path: &str, issues: &mut Vec<Issue>) {
        match (self, value) {
            (Self::Record(fields), Value::Object(object)) => {
                check_record(fields, object, path, issues);
            }
            (Self::List(entry), Value::Array(entries)) => {
                for (index, value) in entries.iter().enumerate() {
                    entry.check(value, &format!("{path}[{index}]"), issues);
                }
            }
            _ if self.matches_scalar(value) => {}
            _ => issues.push(Issue::new(path, format!("expected {self}, found {value}"))),
        }
    }

    fn matches_scalar(&self, value: &Value) -> bool {
        match self {
            Self::Text => value.is_string(),
            Self::Address => value.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok()),
            Self::OneOf(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
            Self::Whole(max) => value.as_u64().is_some_and(|number| number <= *max),
            Self::Decimal => value.is_number(),
            Self::Flag => value.is_boolean(),
            Self::List(_) | Self::Record(_) => false,
        }
    }
}

fn check_record(
    fields: &[Field],
    object: &Map<String, Value>,
    path: &str,
    issues: &mut Vec<Issue>,
) {
    for field in fields {
        match object.get(field.name) {
            None | Some(Value::Null) if field.optional => {}
            None => issues.push(Issue::new(path, format!("`{}` is missing", field.name))),
            Some(value) => field.shape.check(value, &join(path, field.name), issues),
        }
    }
    for key in object.keys().filter(|key| fields.iter().all(|field| field.name != *key)) {
        issues.push(Issue::new(join(path, key), "unknown field"));
    }
}

/// The path of a field of the object at `path`; either may be empty.
pub fn join(path: &str, field: &str) -> String {
    if path.is_empty() || field.is_empty() {
        return format!("{path}{field}");
    }
    format!("{path}.{field}")
}
