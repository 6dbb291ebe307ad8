//! Writes the objects in files.
//!
//! Invariant: each write expects the revision that was read when the write was
//! decided, so that a concurrent change of another operator is never overwritten;
//! the first failure ends the run, after the writes before it were printed.

use std::path::Path;
use std::path::PathBuf;

use crate::command::WriteMode;
use crate::error::Error;
use crate::output::Printer;
use crate::remote::Remote;
use conf::document;
use conf::document::Document;
use conf::object::Experiment;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use conf::object::Stage;
use conf::report::Finding;
use conf::report::Report;
use rpc::failure::Failure;
use rpc::handler::Precondition;
use rpc::handler::WriteRequest;

/// A file and its parsed documents.
struct SourceFile {
    file: String,
    text: String,
    documents: Vec<Document>,
}

/// Writes the documents of `files`, ordered by kind so that an object is written
/// after those that it refers to.
pub async fn run(
    remote: &Remote,
    mode: WriteMode,
    files: &[PathBuf],
    printer: &mut Printer<'_>,
) -> Result<(), Error> {
    let sources = read_files(files)?;
    for kind in Kind::ALL {
        for source in &sources {
            for document in source.documents.iter().filter(|document| document.key.kind == kind) {
                let result = write(remote, mode, document).await;
                let (verb, object) =
                    result.map_err(|failure| with_locations(failure, source, document))?;
                printer.write_result(verb, &object)?;
            }
        }
    }
    Ok(())
}

/// Reads all files, so that the errors of all are reported before anything is
/// written.
fn read_files(files: &[PathBuf]) -> Result<Vec<SourceFile>, Error> {
    let mut sources = Vec::new();
    let mut reports = Vec::new();
    for path in files {
        match read_file(path) {
            Ok(source) => sources.push(source),
            Err(report) => reports.push(report),
        }
    }
    if reports.is_empty() { Ok(sources) } else { Err(Error::Files(reports)) }
}

fn read_file(path: &Path) -> Result<SourceFile, Report> {
    let text = std::fs::read_to_string(path).map_err(|error| Report::unreadable(path, &error))?;
    let file = path.display().to_string();
    let documents = document::parse(&file, &text)?;
    Ok(SourceFile { file, text, documents })
}

/// Adds to the issues of an invalid object their locations in its file.
fn with_locations(failure: Failure, source: &SourceFile, document: &Document) -> Error {
    let Failure::Invalid(issues) = failure else { return failure.into() };
    let locate = |issue: &conf::verify::Issue| Finding {
        span: document.span(&issue.path),
        message: format!("{}: {issue}", document.key),
    };
    let findings = issues.iter().map(locate).collect();
    Error::Files(vec![Report::new(&source.file, &source.text, findings)])
}

async fn write(
    remote: &Remote,
    mode: WriteMode,
    document: &Document,
) -> Result<(&'static str, Object), Failure> {
    let present = match remote.get(&document.key).await {
        Ok(object) => Some(object),
        Err(Failure::NotFound(_)) => None,
        Err(failure) => return Err(failure),
    };
    let (expected, verb) = match (mode, &present) {
        (WriteMode::Update, None) => return Err(Failure::NotFound(document.key.to_string())),
        (WriteMode::Create, Some(_)) => return Err(Failure::Conflict(present)),
        (WriteMode::Apply | WriteMode::Create, None) => (Precondition::Absent, "created"),
        (WriteMode::Apply | WriteMode::Update, Some(object)) => {
            (Precondition::Revision(object.revision), "updated")
        }
    };
    let required_revision = remote.revision.or(document.revision);
    if required_revision
        .is_some_and(|revision| present.as_ref().is_none_or(|current| current.revision != revision))
    {
        return Err(Failure::Conflict(present));
    }
    let spec = merge(document, present.as_ref());
    if let Some(object) = present.filter(|object| object.spec.as_ref() == Some(&spec)) {
        return Ok(("unchanged", object));
    }
    let operation = remote.new_operation_id();
    let write = WriteRequest { operation, key: document.key.clone(), expected, spec: Some(spec) };
    Ok((verb, remote.write(write).await?))
}

/// Returns the spec to write: that of the document, but an experiment whose document
/// omits the stage and the winner keeps its present ones, and while it runs, the arms
/// that the guard stopped stay stopped. So applying a file again does not undo
/// `experiment start`.
fn merge(document: &Document, present: Option<&Object>) -> Spec {
    let mut spec = document.spec.clone();
    let present = present.and_then(|object| object.spec.as_ref());
    if let (Spec::Experiment(new), Some(Spec::Experiment(current))) = (&mut spec, present) {
        if !document.has("stage") {
            new.stage = current.stage;
            if !document.has("winner") {
                new.winner.clone_from(&current.winner);
            }
        }
        if current.stage == Stage::Running && new.stage == Stage::Running {
            keep_stopped_arms(new, current);
        }
    }
    spec
}

fn keep_stopped_arms(new: &mut Experiment, current: &Experiment) {
    for stopped in current.arms.iter().filter(|arm| arm.weight == 0) {
        for arm in new.arms.iter_mut().filter(|arm| arm.name == stopped.name) {
            arm.weight = 0;
        }
    }
}
