//! The shape of a JSON value, and the check of a value against it.
//!
//! Invariant: the check visits the whole value, so one fault never hides another
//! one, and each finding carries the path of what is wrong.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// One fault of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Issue {
    /// The place in the object, such as `groups[2].servers[0].address`; empty
    /// for the object as a whole.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl Issue {
    /// A finding at `path`.
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

/// What a JSON value must look like.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A text.
    Text,
    /// An IP address with a port.
    Address,
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// A whole number from 0 to the given one.
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
    /// Its key.
    pub name: &'static str,
    /// The shape of its value.
    pub shape: Shape,
    /// Whether it may be left out or be null.
    pub optional: bool,
}

impl Field {
    /// A field that must be there.
    pub const fn required(name: &'static str, shape: Shape) -> Self {
        Self { name, shape, optional: false }
    }

    /// A field that may be left out.
    pub const fn optional(name: &'static str, shape: Shape) -> Self {
        Self { name, shape, optional: true }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text => f.write_str("text"),
            Self::Address => f.write_str("an IP address and port such as 10.0.0.1:7000"),
            Self::OneOf(texts) => write!(f, "one of {}", texts.join(", ")),
            Self::Whole(most) => write!(f, "a whole number from 0 to {most}"),
            Self::Decimal => f.write_str("a number"),
            Self::Flag => f.write_str("true or false"),
            Self::List(_) => f.write_str("a list"),
            Self::Record(_) => f.write_str("a mapping"),
        }
    }
}

impl Shape {
    /// The faults of `value`, the paths of which begin with `path`.
    pub fn check(&self, value: &Value, path: &str, findings: &mut Vec<Issue>) {
        match (self, value) {
            (Self::Record(fields), Value::Object(object)) => {
                check_record(fields, object, path, findings);
            }
            (Self::List(entry), Value::Array(entries)) => {
                for (index, value) in entries.iter().enumerate() {
                    entry.check(value, &format!("{path}[{index}]"), findings);
                }
            }
            _ if self.has_scalar(value) => {}
            _ => findings.push(Issue::new(path, format!("expected {self}, found {value}"))),
        }
    }

    fn has_scalar(&self, value: &Value) -> bool {
        match self {
            Self::Text => value.is_string(),
            Self::Address => value.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok()),
            Self::OneOf(texts) => value.as_str().is_some_and(|text| texts.contains(&text)),
            Self::Whole(most) => value.as_u64().is_some_and(|number| number <= *most),
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
    findings: &mut Vec<Issue>,
) {
    for field in fields {
        match object.get(field.name) {
            None | Some(Value::Null) if field.optional => {}
            None => findings.push(Issue::new(path, format!("`{}` is missing", field.name))),
            Some(value) => field.shape.check(value, &join(path, field.name), findings),
        }
    }
    for key in object.keys().filter(|key| fields.iter().all(|field| field.name != *key)) {
        findings.push(Issue::new(join(path, key), "unknown field"));
    }
}

/// The path of a field of what stands at `path`; either may be empty.
pub fn join(path: &str, field: &str) -> String {
    if path.is_empty() || field.is_empty() {
        return format!("{path}{field}");
    }
    format!("{path}.{field}")
}
