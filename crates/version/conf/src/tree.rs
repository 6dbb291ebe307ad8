//! Loads any YAML into nodes with their positions, for files whose writer is not ours: anchors and
//! aliases are resolved, tags are ignored, and entries with keys that are no text are left out.
//!
//! Invariant: a tree has at most [`MAX_NODES`] nodes, however often aliases repeat a value, and no
//! step recurses as deep as the text is nested.

use std::collections::HashMap;

use marked_yaml::Marker;
use marked_yaml::Node;
use marked_yaml::Span as NodeSpan;
use marked_yaml::types::MarkedMappingNode;
use marked_yaml::types::MarkedScalarNode;
use marked_yaml::types::MarkedSequenceNode;
use yaml_rust2::Event;
use yaml_rust2::parser::Parser;
use yaml_rust2::scanner;

use crate::report::Finding;
use crate::report::Span;
use crate::yaml;

/// The maximum number of nodes of a tree.
pub const MAX_NODES: usize = 100_000;
/// The number of lists and mappings within each other that are kept; an empty text stands for a
/// deeper one.
const MAX_DEPTH: usize = 100;

/// A document.
#[derive(Clone, Debug)]
pub struct Tree {
    /// Its root; `None` if the text is empty.
    pub root: Option<Node>,
    /// The keys that occur again in their mapping; the first one counts.
    pub duplicates: Vec<Duplicate>,
}

/// A key that occurs again in its mapping.
#[derive(Clone, Debug)]
pub struct Duplicate {
    /// The keys that lead to it, joined by dots, with itself.
    pub path: String,
    /// What a report says of it.
    pub finding: Finding,
}

/// Loads the first document of a text; the error says why it is not YAML.
pub fn load(text: &str) -> Result<Tree, Finding> {
    let mut loader = Loader::default();
    let mut parser = Parser::new_from_str(text);
    // Not `Parser::load`, which recurses.
    loop {
        match parser.next_token() {
            Ok((Event::DocumentEnd | Event::StreamEnd, _)) => break,
            Ok((event, mark)) => loader.on_event(event, mark),
            Err(error) => {
                let marker = marker(*error.marker());
                let span = Span { line: marker.line(), column: marker.column(), length: 1 };
                return Err(Finding { span, message: format!("not YAML: {}", error.info()) });
            }
        }
    }
    if let Some(marker) = loader.too_large_at {
        let span = Span { line: marker.line(), column: marker.column(), length: 1 };
        let message = format!("the file has over {MAX_NODES} values, aliases included");
        return Err(Finding { span, message });
    }
    Ok(Tree { root: loader.root, duplicates: loader.duplicates })
}

/// What the entry of a mapping begins with.
enum Key {
    Text(MarkedScalarNode),
    /// A list or a mapping.
    Other,
}

/// A list or a mapping that has not ended.
enum Open {
    Sequence { list: MarkedSequenceNode, anchor: usize },
    Mapping { map: MarkedMappingNode, anchor: usize, key: Option<Key> },
}

#[derive(Default)]
struct Loader {
    root: Option<Node>,
    open: Vec<Open>,
    /// The number of open lists and mappings that are not kept.
    skipped: usize,
    /// The values with anchors, and the number of their nodes.
    anchors: HashMap<usize, (Node, usize)>,
    nodes: usize,
    too_large_at: Option<Marker>,
    duplicates: Vec<Duplicate>,
}

impl Loader {
    fn on_event(&mut self, event: Event, mark: scanner::Marker) {
        let mark = marker(mark);
        if self.too_large_at.is_some() {
            return;
        }
        match event {
            Event::MappingStart(..) | Event::SequenceStart(..) if self.open.len() >= MAX_DEPTH => {
                self.skipped += 1;
            }
            Event::MappingEnd | Event::SequenceEnd if self.skipped > 0 => {
                self.skipped -= 1;
                if self.skipped == 0 {
                    let empty = MarkedScalarNode::new_empty(NodeSpan::new_start(mark));
                    self.add(Node::from(empty), 0, 1, mark);
                }
            }
            _ if self.skipped > 0 => {}
            Event::MappingStart(anchor, _) => {
                let map = MarkedMappingNode::new_empty(NodeSpan::new_start(mark));
                self.open.push(Open::Mapping { map, anchor, key: None });
            }
            Event::SequenceStart(anchor, _) => {
                let list = MarkedSequenceNode::new_empty(NodeSpan::new_start(mark));
                self.open.push(Open::Sequence { list, anchor });
            }
            Event::MappingEnd | Event::SequenceEnd => {
                let (mut node, anchor) = match self.open.pop() {
                    Some(Open::Sequence { list, anchor }) => (Node::from(list), anchor),
                    Some(Open::Mapping { map, anchor, .. }) => (Node::from(map), anchor),
                    None => return,
                };
                node.span_mut().set_end(Some(mark));
                self.add(node, anchor, 1, mark);
            }
            Event::Scalar(text, _, anchor, _) => {
                let node = MarkedScalarNode::new(NodeSpan::new_start(mark), text);
                self.add(Node::from(node), anchor, 1, mark);
            }
            Event::Alias(anchor) => {
                // An alias within its own anchor has no value yet.
                let empty =
                    || (Node::from(MarkedScalarNode::new_empty(NodeSpan::new_start(mark))), 1);
                let (node, nodes) = self.anchors.get(&anchor).cloned().unwrap_or_else(empty);
                self.add(node, 0, nodes, mark);
            }
            Event::Nothing
            | Event::StreamStart
            | Event::StreamEnd
            | Event::DocumentStart
            | Event::DocumentEnd => {}
        }
    }

    /// Adds a value of `nodes` further nodes to what is open.
    fn add(&mut self, node: Node, anchor: usize, nodes: usize, mark: Marker) {
        self.nodes += nodes;
        if self.nodes > MAX_NODES {
            self.too_large_at = Some(mark);
            return;
        }
        if anchor > 0 {
            let size = size(&node);
            self.anchors.insert(anchor, (node.clone(), size));
        }
        let path = self.path();
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(Open::Sequence { list, .. }) => list.push(node),
            Some(Open::Mapping { key: key @ None, .. }) => {
                *key = Some(match node {
                    Node::Scalar(text) => Key::Text(text),
                    Node::Mapping(_) | Node::Sequence(_) => Key::Other,
                });
            }
            Some(Open::Mapping { map, key, .. }) => {
                let Some(Key::Text(key)) = key.take() else { return };
                match map.get_key_value(&key) {
                    Some((first, _)) => {
                        let finding = yaml::duplicate_key_finding(first, &key);
                        let path = format!("{path}{}", key.as_str());
                        self.duplicates.push(Duplicate { path, finding });
                    }
                    None => {
                        map.insert(key, node);
                    }
                }
            }
        }
    }

    /// The keys that lead to the present mapping, each followed by a dot.
    fn path(&self) -> String {
        let outer = self.open.iter().take(self.open.len().saturating_sub(1));
        outer
            .map(|open| match open {
                Open::Mapping { key: Some(Key::Text(key)), .. } => format!("{}.", key.as_str()),
                _ => ".".to_owned(),
            })
            .collect()
    }
}

/// The number of nodes of a tree, itself included.
fn size(node: &Node) -> usize {
    1 + match node {
        Node::Scalar(_) => 0,
        Node::Sequence(list) => list.iter().map(size).sum(),
        Node::Mapping(map) => map.values().map(|value| size(value) + 1).sum(),
    }
}

fn marker(mark: scanner::Marker) -> Marker {
    Marker::new(0, mark.index(), mark.line(), mark.col() + 1)
}
