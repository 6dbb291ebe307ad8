//! The command `check`, which needs no node.
//!
//! Invariant: the errors of all files are reported together.

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::error::Error;
use conf::catalog::Catalog;
use conf::document;
use conf::document::Document;
use conf::report::Finding;
use conf::report::Report;
use conf::settings;

/// A file's path and text.
struct SourceFile {
    file: String,
    text: String,
}

/// Checks files. The objects of all files are checked as one set, which must contain
/// every object that it refers to; each file of settings is checked separately.
/// Returns a summary.
pub fn check(files: &[PathBuf]) -> Result<String, Error> {
    let mut reports = Vec::new();
    let mut sources = Vec::new();
    let mut documents = Vec::new();
    let mut settings_files = 0;
    for path in files {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                reports.push(Report::unreadable(path, &error));
                continue;
            }
        };
        let file = path.display().to_string();
        if !is_objects_file(&text) {
            settings_files += 1;
            reports.extend(settings::parse(&file, &text).err());
            continue;
        }
        match document::parse(&file, &text) {
            Ok(found) => documents.extend(found.into_iter().map(|found| (sources.len(), found))),
            Err(report) => reports.push(report),
        }
        sources.push(SourceFile { file, text });
    }
    // If a file can't be parsed, every reference into it would be reported as missing.
    if reports.is_empty() {
        reports.extend(check_set(&sources, &documents));
    }
    if reports.is_empty() {
        return Ok(format!(
            "{} objects and {settings_files} settings files are valid",
            documents.len()
        ));
    }
    Err(Error::Files(reports))
}

/// Whether a file contains objects: their documents have a key `kind`, settings don't.
fn is_objects_file(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("kind:"))
}

fn check_set(sources: &[SourceFile], documents: &[(usize, Document)]) -> Vec<Report> {
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
