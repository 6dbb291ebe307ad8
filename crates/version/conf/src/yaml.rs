//! Parsing of YAML text into nodes with their positions.
//!
//! Invariant: an error in one key or value never hides another one. Duplicate keys are
//! reported and removed, and the rest is parsed as usual.

use marked_yaml::LoadError;
use marked_yaml::LoaderOptions;
use marked_yaml::Marker;
use marked_yaml::Node;
use marked_yaml::parse_yaml_with_options;
use marked_yaml::types::MarkedScalarNode;

use crate::report::Finding;
use crate::report::Span;

/// The first of the characters that replace duplicate keys, from Unicode's private use
/// area.
const DUPLICATE_BASE: u32 = 0xE000;

/// The maximum number of duplicate keys that are reported for one document.
const MAX_DUPLICATES: u32 = 100;

/// One document of a text.
#[derive(Clone, Debug)]
pub struct Document {
    /// The document's text, preceded by an empty line for each line before it in the
    /// file, so that line numbers refer to the file.
    text: String,
}

/// Splits a text into its documents; empty documents are skipped.
pub fn documents(text: &str) -> Vec<Document> {
    let mut found = Vec::new();
    let mut current = String::new();
    for (index, line) in text.lines().enumerate() {
        if is_separator(line) {
            found.push(std::mem::replace(&mut current, "\n".repeat(index + 1)));
            continue;
        }
        current.push_str(line);
        current.push('\n');
    }
    found.push(current);
    found.retain(|text| text.lines().any(has_content));
    found.into_iter().map(|text| Document { text }).collect()
}

fn is_separator(line: &str) -> bool {
    line == "---" || line.starts_with("--- #")
}

fn has_content(line: &str) -> bool {
    let line = line.trim();
    !line.is_empty() && !line.starts_with('#') && line != "..."
}

impl Document {
    /// Parses the document, whose root must be a mapping. Errors are added to
    /// `findings`; returns `None` if the text can't be parsed.
    pub fn parse(&self, findings: &mut Vec<Finding>) -> Option<Node> {
        let mut text = self.text.clone();
        for number in 0..MAX_DUPLICATES {
            let options = LoaderOptions::default().error_on_duplicate_keys(true);
            match parse_yaml_with_options(0, &text, options) {
                Ok(node) => return Some(node),
                Err(LoadError::DuplicateKey(duplicate)) => {
                    findings.push(duplicate_key_finding(&duplicate.prev_key, &duplicate.key));
                    text = replace_key(&text, &duplicate.key, number);
                }
                Err(error) => {
                    findings.push(load_error_finding(&error));
                    return None;
                }
            }
        }
        None
    }
}

/// Whether `key` replaces a duplicate key that was already reported.
pub fn is_duplicate(key: &str) -> bool {
    let last = DUPLICATE_BASE + MAX_DUPLICATES;
    key.chars().next().is_some_and(|first| (DUPLICATE_BASE..last).contains(&u32::from(first)))
}

/// The position of a node.
pub fn span(node: &Node) -> Span {
    match node {
        Node::Scalar(scalar) => scalar_span(scalar),
        _ => marker_span(node.span().start(), 1),
    }
}

/// The position of a scalar.
pub fn scalar_span(scalar: &MarkedScalarNode) -> Span {
    marker_span(scalar.span().start(), scalar.as_str().chars().count())
}

fn marker_span(marker: Option<&Marker>, length: usize) -> Span {
    let (line, column) = marker.map_or((1, 1), |marker| (marker.line(), marker.column()));
    Span { line, column, length: length.max(1) }
}

pub(crate) fn duplicate_key_finding(
    first: &MarkedScalarNode,
    duplicate: &MarkedScalarNode,
) -> Finding {
    let line = scalar_span(first).line;
    let message = format!("duplicate key `{}`, first on line {line}", duplicate.as_str());
    Finding { span: scalar_span(duplicate), message }
}

/// Replaces a key by private use characters of the same length, so that the other
/// positions don't change and the rest of the document can still be parsed.
fn replace_key(text: &str, key: &MarkedScalarNode, number: u32) -> String {
    let span = scalar_span(key);
    let replacement = char::from_u32(DUPLICATE_BASE + number).unwrap_or('\u{E000}');
    let mut result = String::with_capacity(text.len());
    for (index, line) in text.split_inclusive('\n').enumerate() {
        if index + 1 != span.line {
            result.push_str(line);
            continue;
        }
        let quoted = line.chars().nth(span.column - 1).is_some_and(|c| c == '"' || c == '\'');
        let start = span.column - 1 + usize::from(quoted);
        let covered = start..start + span.length;
        let characters = line.chars().enumerate();
        result
            .extend(characters.map(|(at, c)| if covered.contains(&at) { replacement } else { c }));
    }
    result
}

fn load_error_finding(error: &LoadError) -> Finding {
    let (marker, message) = match error {
        LoadError::TopLevelMustBeMapping(marker) | LoadError::TopLevelMustBeSequence(marker) => {
            (Some(marker), "expected `key: value` lines".to_string())
        }
        LoadError::UnexpectedAnchor(marker) => {
            (Some(marker), "anchors can't be used here".to_string())
        }
        LoadError::MappingKeyMustBeScalar(marker) => {
            (Some(marker), "a key must be plain text".to_string())
        }
        LoadError::UnexpectedTag(marker) => (Some(marker), "tags can't be used here".to_string()),
        LoadError::ScanError(marker, error) => {
            (Some(marker), format!("not YAML: {}", error.info()))
        }
        LoadError::DuplicateKey(_) => (None, "duplicate key".to_string()),
    };
    Finding { span: marker_span(marker, 1), message }
}
