//! Conversion of YAML nodes to the values of settings.
//!
//! Invariant: a returned value is within the setting's bounds. If there is none, a
//! finding was added that says what was expected.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use marked_yaml::Node;

use crate::report::Finding;
use crate::yaml;

/// The limits of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bounds {
    /// Any value of the setting's type.
    Any,
    /// A number in this range, both ends included.
    Number(u64, u64),
    /// A text whose number of characters, or a list whose number of entries, is in this
    /// range, both ends included.
    Length(usize, usize),
}

impl Bounds {
    fn allows_number(self, number: u64) -> bool {
        match self {
            Self::Number(min, max) => (min..=max).contains(&number),
            Self::Any | Self::Length(..) => true,
        }
    }

    fn allows_length(self, length: usize) -> bool {
        match self {
            Self::Length(min, max) => (min..=max).contains(&length),
            Self::Any | Self::Number(..) => true,
        }
    }
}

impl fmt::Display for Bounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("any"),
            Self::Number(min, max) => write!(f, "{min} to {max}"),
            Self::Length(min, max) => write!(f, "length {min} to {max}"),
        }
    }
}

/// A type that a setting can have.
pub trait FromYaml: Sized {
    /// The type's name in messages and on the reference page.
    const TYPE: &'static str;

    /// Converts a node. On an error it adds a finding and returns `None`.
    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self>;

    /// The value of a setting that is optional and not set, if the type allows that.
    fn default_if_absent() -> Option<Self> {
        None
    }
}

fn report_mismatch<T>(node: &Node, expected: &str, findings: &mut Vec<Finding>) -> Option<T> {
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
            return report_mismatch(node, Self::TYPE, findings);
        };
        if !bounds.allows_length(scalar.as_str().chars().count()) {
            return report_mismatch(node, &format!("a text of {bounds}"), findings);
        }
        Some(Self::from(scalar.as_str()))
    }
}

impl FromYaml for SocketAddr {
    const TYPE: &'static str = "address:port";

    fn from_yaml(node: &Node, _bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        match node.as_scalar().and_then(|scalar| scalar.as_str().parse().ok()) {
            Some(address) => Some(address),
            None => report_mismatch(node, "an IP address and port such as 10.0.0.1:7000", findings),
        }
    }
}

impl FromYaml for u64 {
    const TYPE: &'static str = "number";

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        match node.as_scalar().and_then(|scalar| scalar.as_u64()) {
            Some(number) if bounds.allows_number(number) => Some(number),
            Some(_) => report_mismatch(node, &format!("a number from {bounds}"), findings),
            None => report_mismatch(node, "a whole number", findings),
        }
    }
}

impl FromYaml for u32 {
    const TYPE: &'static str = "number";

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        let number = u64::from_yaml(node, bounds, findings)?;
        match Self::try_from(number) {
            Ok(number) => Some(number),
            Err(_) => report_mismatch(node, "a number below 2^32", findings),
        }
    }
}

impl<T: FromYaml> FromYaml for Vec<T> {
    const TYPE: &'static str = "list";

    fn from_yaml(node: &Node, bounds: Bounds, findings: &mut Vec<Finding>) -> Option<Self> {
        let Some(list) = node.as_sequence() else {
            return report_mismatch(node, &format!("a list of {}", T::TYPE), findings);
        };
        if !bounds.allows_length(list.len()) {
            return report_mismatch(node, &format!("a list of {bounds}"), findings);
        }
        // Convert all entries first, so that all errors are reported.
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
