//! Objects as YAML documents, as operators write them.
//!
//! A file holds any number of documents, separated by `---`. Each has `kind`, `name`,
//! `spec` and optionally `revision`, the revision that the write must replace.
//!
//! Invariant: all errors of a file are reported together, each with its line and
//! column, including those that [`verify`] finds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use marked_yaml::Node;
use marked_yaml::types::MarkedScalarNode;
use serde_json::Value;

use crate::catalog::Catalog;
use crate::object::Key;
use crate::object::Kind;
use crate::object::Object;
use crate::object::Spec;
use crate::report;
use crate::report::Report;
use crate::report::Span;
use crate::schema;
use crate::shape::Field;
use crate::shape::Issue;
use crate::shape::Shape;
use crate::shape::join;
use crate::verify;
use crate::yaml;

/// The field of a document that holds the object's spec.
const SPEC: &str = "spec";

/// One object as an operator wrote it.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The object's name.
    pub key: Key,
    /// The revision that the write must replace, if given.
    pub revision: Option<u64>,
    /// The new contents of the object.
    pub spec: Spec,
    /// The position of each part of the document, by path.
    spans: BTreeMap<String, Span>,
}

impl Document {
    /// The position of the part of the spec at `path` or, if the text does not contain
    /// that part, of the innermost part around it.
    pub fn span(&self, path: &str) -> Span {
        let path = if path.starts_with('[') { format!("{SPEC}{path}") } else { join(SPEC, path) };
        enclosing_span(&self.spans, &path)
    }

    /// Whether the text contains the part of the spec at `path`.
    pub fn has(&self, path: &str) -> bool {
        self.spans.contains_key(&join(SPEC, path))
    }
}

fn enclosing_span(spans: &BTreeMap<String, Span>, path: &str) -> Span {
    let mut path = path.trim_end_matches('.');
    loop {
        if let Some(span) = spans.get(path) {
            return *span;
        }
        let Some(end) = path.rfind(['.', '[']) else {
            return spans.get("").copied().unwrap_or_default();
        };
        path = &path[..end];
    }
}

/// Parses the documents in the text of `file`. All errors are reported together.
pub fn parse(file: &str, text: &str) -> Result<Vec<Document>, Report> {
    let mut findings = Vec::new();
    let mut documents = Vec::new();
    for document in yaml::documents(text) {
        if let Some(tree) = document.parse(&mut findings) {
            documents.extend(read(&tree, &mut findings));
        }
    }
    if documents.is_empty() && findings.is_empty() {
        let span = Span { line: 1, column: 1, length: 1 };
        findings.push(report::Finding { span, message: "no document found".to_string() });
    }
    report_duplicates(&documents, &mut findings);
    if findings.is_empty() { Ok(documents) } else { Err(Report::new(file, text, findings)) }
}

fn report_duplicates(documents: &[Document], findings: &mut Vec<report::Finding>) {
    let mut keys = BTreeSet::new();
    for document in documents.iter().filter(|document| !keys.insert(&document.key)) {
        let span = document.spans.get("name").copied().unwrap_or_default();
        findings
            .push(report::Finding { span, message: format!("duplicate object {}", document.key) });
    }
}

/// Reads one document; its errors are added to `findings`.
fn read(tree: &Node, findings: &mut Vec<report::Finding>) -> Option<Document> {
    let kinds = Kind::ALL.map(Kind::as_str);
    let kind = tree.as_mapping().and_then(|top| top.get_scalar("kind"));
    let kind = kind.and_then(|kind| Kind::parse(kind.as_str()));
    let mut reader = Reader::default();
    // The spec is checked below, against the shape of its kind. If the kind is
    // unknown, it is not checked.
    let value = reader.document(tree, kind.map(schema::shape));
    let mut issues = Vec::new();
    for name in ["kind", "name", SPEC].iter().filter(|name| value.get(**name).is_none()) {
        issues.push(Issue::new("", format!("`{name}` is missing")));
    }
    if kind.is_none() && value.get("kind").is_some() {
        issues.push(Issue::new("kind", format!("expected one of {}", kinds.join(", "))));
    }
    check_top(&value, &mut issues);
    let spec = match (kind, value.get(SPEC)) {
        (Some(kind), Some(spec)) => read_spec(kind, spec, &mut issues),
        _ => None,
    };
    let spans = reader.spans;
    let to_finding = |issue: &Issue| report::Finding {
        span: enclosing_span(&spans, &issue.path),
        message: issue.to_string(),
    };
    findings.extend(issues.iter().map(to_finding));
    let name = value.get("name")?.as_str()?;
    let key = Key { kind: kind?, name: Arc::from(name) };
    let revision = value.get("revision").and_then(Value::as_u64);
    Some(Document { key, revision, spec: spec?, spans })
}

fn check_top(value: &Value, issues: &mut Vec<Issue>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        match key.as_str() {
            "kind" | SPEC => {}
            "name" => Shape::Text.check(value, "name", issues),
            "revision" => Shape::Whole(u64::MAX).check(value, "revision", issues),
            _ => issues.push(Issue::new(key, "unknown field")),
        }
    }
}

fn read_spec(kind: Kind, value: &Value, issues: &mut Vec<Issue>) -> Option<Spec> {
    let spec = schema::from_json(kind, value);
    let with_prefix = |issue: Issue| Issue::new(join(SPEC, &issue.path), issue.message);
    match spec {
        Ok(spec) => Some(spec),
        Err(found) => {
            issues.extend(found.into_iter().map(with_prefix));
            None
        }
    }
}

/// Converts YAML nodes to JSON values and records their positions.
#[derive(Default)]
struct Reader {
    spans: BTreeMap<String, Span>,
}

impl Reader {
    /// Converts a document whose spec has the shape `spec`.
    fn document(&mut self, tree: &Node, spec: Option<Shape>) -> Value {
        let Some(mapping) = tree.as_mapping() else { return Value::Null };
        let start = mapping.keys().next().map_or_else(|| yaml::span(tree), yaml::scalar_span);
        self.spans.insert(String::new(), start);
        let mut object = serde_json::Map::new();
        for (key, node) in mapping.iter().filter(|(key, _)| !yaml::is_duplicate(key)) {
            let shape = match key.as_str() {
                SPEC => spec,
                "revision" => Some(Shape::Whole(u64::MAX)),
                _ => Some(Shape::Text),
            };
            let value = self.node(node, shape.as_ref(), false, key);
            self.use_key_span(key, key, node);
            object.insert(key.to_string(), value);
        }
        Value::Object(object)
    }

    fn node(&mut self, node: &Node, shape: Option<&Shape>, optional: bool, path: &str) -> Value {
        self.spans.insert(path.to_string(), yaml::span(node));
        match node {
            Node::Scalar(scalar) => scalar_value(scalar, shape, optional),
            Node::Sequence(entries) => {
                let shape = match shape {
                    Some(Shape::List(entry)) => Some(*entry),
                    _ => None,
                };
                let entries = entries.iter().enumerate();
                entries.map(|(i, e)| self.node(e, shape, false, &format!("{path}[{i}]"))).collect()
            }
            Node::Mapping(mapping) => {
                let mut object = serde_json::Map::new();
                for (key, node) in mapping.iter().filter(|(key, _)| !yaml::is_duplicate(key)) {
                    let field = field(shape, key);
                    let (shape, optional) =
                        field.map_or((None, false), |field| (Some(&field.shape), field.optional));
                    let path = join(path, key);
                    let value = self.node(node, shape, optional, &path);
                    if field.is_none() {
                        self.use_key_span(key, &path, node);
                    }
                    object.insert(key.to_string(), value);
                }
                Value::Object(object)
            }
        }
    }

    /// Records the position of the key instead of the value's for a mapping or a list,
    /// which begin after their key, and for an unknown field.
    fn use_key_span(&mut self, key: &MarkedScalarNode, path: &str, node: &Node) {
        let known = ["kind", "name", "revision"].contains(&key.as_str());
        if node.as_scalar().is_none() || !known {
            self.spans.insert(path.to_string(), yaml::scalar_span(key));
        }
    }
}

fn field(shape: Option<&Shape>, key: &str) -> Option<&'static Field> {
    match shape {
        Some(Shape::Record(fields)) => fields.iter().find(|field| field.name == key),
        _ => None,
    }
}

/// Converts a scalar to the type that the shape requires. One that does not fit stays
/// a text, which the check against the shape then reports.
fn scalar_value(scalar: &MarkedScalarNode, shape: Option<&Shape>, optional: bool) -> Value {
    let text = scalar.as_str();
    if optional && scalar.may_coerce() && ["", "~", "null"].contains(&text) {
        return Value::Null;
    }
    let converted = match shape {
        Some(Shape::Whole(_)) => scalar.as_u64().map(Value::from),
        Some(Shape::Decimal) => {
            scalar.as_f64().filter(|number| number.is_finite()).map(Value::from)
        }
        Some(Shape::Flag) => scalar.as_bool().map(Value::from),
        _ => None,
    };
    converted.unwrap_or_else(|| Value::from(text))
}

/// Checks documents as a set that is applied to `catalog` in dependency order. Returns
/// the catalog with the documents applied, or the errors.
pub fn verify(
    catalog: &Catalog,
    documents: &[Document],
) -> Result<Catalog, Vec<(Key, report::Finding)>> {
    let mut next = catalog.clone();
    let mut findings = Vec::new();
    for document in in_dependency_order(documents) {
        let revision = next.revision() + 1;
        let spec = Some(document.spec.clone());
        let object = Object { key: document.key.clone(), revision, spec };
        for issue in verify::object(&next, &object) {
            let span = document.span(&issue.path);
            let message = issue.to_string();
            findings.push((document.key.clone(), report::Finding { span, message }));
        }
        next = next.with_objects(&[object]).0;
    }
    if findings.is_empty() { Ok(next) } else { Err(findings) }
}

/// Sorts documents by the dependency order of their kinds.
pub fn in_dependency_order(documents: &[Document]) -> Vec<&Document> {
    let rank = |document: &&Document| Kind::ALL.iter().position(|kind| *kind == document.key.kind);
    let mut ordered: Vec<_> = documents.iter().collect();
    ordered.sort_by_key(rank);
    ordered
}

/// Formats an object as a document that [`parse`] accepts.
pub fn to_yaml(object: &Object) -> String {
    let mut text = format!(
        "kind: {}\nname: {}\nrevision: {}\n",
        object.key.kind, object.key.name, object.revision
    );
    if let Some(spec) = &object.spec {
        // JSON on one line is valid YAML (flow style).
        text.push_str(&format!("spec: {}\n", schema::to_json(spec)));
    }
    text
}
