//! The commands that need no node.
//!
//! Invariant: the faults of all files are told together.

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::error::Error;
use conf::catalog::Catalog;
use conf::document;
use conf::document::Document;
use conf::report::Finding;
use conf::report::Report;
use conf::settings;

/// A file's name and text.
struct Source {
    file: String,
    text: String,
}

/// Checks files. Files of objects are checked as one set that must be complete
/// in itself; files of settings each by themselves. Returns what was found.
pub fn check(files: &[PathBuf]) -> Result<String, Error> {
    let mut reports = Vec::new();
    let mut sources = Vec::new();
    let mut documents = Vec::new();
    let mut nodes = 0;
    for path in files {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                reports.push(Report::unreadable(path, &error));
                continue;
            }
        };
        let file = path.display().to_string();
        if !has_objects(&text) {
            nodes += 1;
            reports.extend(settings::parse(&file, &text).err());
            continue;
        }
        match document::parse(&file, &text) {
            Ok(found) => documents.extend(found.into_iter().map(|found| (sources.len(), found))),
            Err(report) => reports.push(report),
        }
        sources.push(Source { file, text });
    }
    // References into a file that can't be read would all be reported as missing.
    if reports.is_empty() {
        reports.extend(check_set(&sources, &documents));
    }
    if reports.is_empty() {
        return Ok(format!("{} objects and {nodes} settings files are valid", documents.len()));
    }
    Err(Error::Files(reports))
}

/// A document of an object names its kind; settings have no such key.
fn has_objects(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("kind:"))
}

fn check_set(sources: &[Source], documents: &[(usize, Document)]) -> Vec<Report> {
    let set: Vec<Document> = documents.iter().map(|(_, document)| document.clone()).collect();
    let Err(findings) = document::verify(&Catalog::new(), &set) else { return Vec::new() };
    let mut by_source: BTreeMap<usize, Vec<Finding>> = BTreeMap::new();
    for (key, mut finding) in findings {
        let source = documents.iter().find(|(_, document)| document.key == key);
        finding.message = format!("{key}: {}", finding.message);
        by_source.entry(source.map_or(0, |(source, _)| *source)).or_default().push(finding);
    }
    let report = |(source, findings): (usize, Vec<Finding>)| {
        Report::new(&sources[source].file, &sources[source].text, findings)
    };
    by_source.into_iter().map(report).collect()
}
