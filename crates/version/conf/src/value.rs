//! How the value of a setting is read from a node.
//!
//! Invariant: a value that is returned is within the setting's bounds; otherwise
//! a finding was added that says what was expected.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use marked_yaml::Node;

use crate::report::Finding;
use crate::yaml;

/// What limits a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bounds {
    /// Nothing but its type.
    Any,
    /// A number from the first to the second, both included.
    Number(u64, u64),
    /// A text of this many characters or a list of this many entries, both
    /// included.
    Length(usize, usize),
}

impl Bounds {
    fn has_number(self, number: u64) -> bool {
        match self {
            Self::Number(least, most) => (least..=most).contains(&number),
            Self::Any | Self::Length(..) => true,
        }
    }

    fn has_length(self, length: usize) -> bool {
        match self {
            Self::Length(least, most) => (least..=most).contains(&length),
            Self::Any | Self::Number(..) => true,
        }
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("any"),
            Self::Number(least, most) => write!(f, "{least} to {most}"),
            Self::Length(least, most) => write!(f, "length {least} to {most}"),
        }
    }
}

/// A type that a setting can have.
pub trait FromYaml: Sized {
    /// Its name in messages and on the reference page.
    const TYPE: &'static str;

    /// Reads it; a fault goes to `findings` and gives `None`.
    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self>;

    /// What it is when nothing is said and the setting may be left out.
    fn default_if_absent() -> Option<Self> {
        None
    }
}

fn fault<T>(node: &Node, expected: &str, findings: &mut Vec<Finding>) -> Option<T> {
    let found = match node {
        Node::Scalar(scalar) => format!("`{}`", scalar.as_str()),
        Node::Mapping(_) => "a mapping".to_string(),
        Node::Sequence(_) => "a list".to_string(),
    };
    let message = format!("expected {expected}, found {found}");
    findings.push(Finding { span: yaml::span(node), message });
    None
}

impl FromYaml for Arc<str> {
    const TYPE: &'static str = "text";

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        let Some(scalar) = node.as_scalar() else {
            return fault(node, Self::TYPE, findings);
        };
        if !bounds.has_length(scalar.as_str().chars().count()) {
            return fault(node, &format!("a text of {bounds}"), findings);
        }
        Some(Self::from(scalar.as_str()))
    }
}

impl FromYaml for SocketAddr {
    const TYPE: &'static str = "address:port";

    fn from_yaml(node: &Node, _bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        match node.as_scalar().and_then(|scalar| scalar.as_str().parse().ok()) {
            Some(address) => Some(address),
            None => fault(node, "an IP address and port such as 10.0.0.1:7000", findings),
        }
    }
}

impl FromYaml for u64 {
    const TYPE: &'static str = "number";

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        match node.as_scalar().and_then(|scalar| scalar.as_u64()) {
            Some(number) if bounds.has_number(number) => Some(number),
            Some(_) => fault(node, &format!("a number from {bounds}"), findings),
            None => fault(node, "a whole number", findings),
        }
    }
}

impl FromYaml for u32 {
    const TYPE: &'static str = "number";

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        let number = u64::from_yaml(node, bounds, findings)?;
        match Self::try_from(number) {
            Ok(number) => Some(number),
            Err(_) => fault(node, "a number below 2^32", findings),
        }
    }
}

impl<T: FromYaml> FromYaml for Vec<T> {
    const TYPE: &'static str = "list";

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        let Some(list) = node.as_sequence() else {
            return fault(node, &format!("a list of {}", T::TYPE), findings);
        };
        if !bounds.has_length(list.len()) {
            return fault(node, &format!("a list of {bounds}"), findings);
        }
        // Each entry is read before the verdict, so that all faults are told.
        let entries: Vec<_> =
            list.iter().map(|entry| T::from_yaml(entry, Bounds::Any, findings)).collect();
        entries.into_iter().collect()
    }
}

impl<T: FromYaml> FromYaml for Option<T> {
    const TYPE: &'static str = T::TYPE;

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        T::from_yaml(node, bounds, findings).map(Some)
    }

    fn default_if_absent() -> Option<Self> {
        Some(None)
    }
}
