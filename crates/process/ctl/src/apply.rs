//! Writes what files say.
//!
//! Invariant: each write expects the revision that the decision to write was
//! made from, so that a racing operator's change is never overwritten; the first
//! failure ends the run, and what was done before it has been printed.

use std::path::Path;
use std::path::PathBuf;

use crate::command::Mode;
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

/// A file and what it says.
struct Source {
    file: String,
    text: String,
    documents: Vec<Document>,
}

/// Writes the documents of `files`, in the order in which kinds refer to each
/// other.
pub async fn run(
    remote: &Remote,
    mode: Mode,
    files: &[PathBuf],
    printer: &mut Printer<'_>,
) -> Result<(), Error> {
    let sources = read(files)?;
    for kind in Kind::ALL {
        for source in &sources {
            for document in source.documents.iter().filter(|document| document.key.kind == kind) {
                let result = write(remote, mode, document).await;
                let (verb, object) =
                    result.map_err(|failure| located(failure, source, document))?;
                printer.written(verb, &object)?;
            }
        }
    }
    Ok(())
}

/// Reads all files, so that the faults of all are told before anything is
/// written.
fn read(files: &[PathBuf]) -> Result<Vec<Source>, Error> {
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

fn read_file(path: &Path) -> Result<Source, Report> {
    let text = std::fs::read_to_string(path).map_err(|error| Report::unreadable(path, &error))?;
    let file = path.display().to_string();
    let documents = document::parse(&file, &text)?;
    Ok(Source { file, text, documents })
}

/// The findings of a refused object at their places in its file.
fn located(failure: Failure, source: &Source, document: &Document) -> Error {
    let Failure::Invalid(findings) = failure else { return failure.into() };
    let place = |finding: &conf::verify::Issue| Finding {
        span: document.span(&finding.path),
        message: format!("{}: {finding}", document.key),
    };
    let findings = findings.iter().map(place).collect();
    Error::Files(vec![Report::new(&source.file, &source.text, findings)])
}

async fn write(
    remote: &Remote,
    mode: Mode,
    document: &Document,
) -> Result<(&'static str, Object), Failure> {
    let present = match remote.get(&document.key).await {
        Ok(object) => Some(object),
        Err(Failure::NotFound(_)) => None,
        Err(failure) => return Err(failure),
    };
    let (expected, verb) = match (mode, &present) {
        (Mode::Update, None) => return Err(Failure::NotFound(document.key.to_string())),
        (Mode::Create, Some(_)) => return Err(Failure::Conflict(present)),
        (Mode::Apply | Mode::Create, None) => (Precondition::Absent, "created"),
        (Mode::Apply | Mode::Update, Some(object)) => {
            (Precondition::Revision(object.revision), "updated")
        }
    };
    let meant = remote.revision.or(document.revision);
    if meant.is_some_and(|revision| present.as_ref().is_none_or(|now| now.revision != revision)) {
        return Err(Failure::Conflict(present));
    }
    let spec = merged(document, present.as_ref());
    if let Some(object) = present.filter(|object| object.spec.as_ref() == Some(&spec)) {
        return Ok(("unchanged", object));
    }
    let operation = remote.operation();
    let write = WriteRequest { operation, key: document.key.clone(), expected, spec: Some(spec) };
    Ok((verb, remote.write(write).await?))
}

/// What the document says. Where it leaves out an experiment's stage and winner,
/// those that the experiment has are kept, and so are the arms that the guard
/// stopped while it runs: to apply a file again does not undo `experiment start`.
fn merged(document: &Document, present: Option<&Object>) -> Spec {
    let mut spec = document.spec.clone();
    let present = present.and_then(|object| object.spec.as_ref());
    if let (Spec::Experiment(next), Some(Spec::Experiment(now))) = (&mut spec, present) {
        if !document.has("stage") {
            next.stage = now.stage;
            if !document.has("winner") {
                next.winner.clone_from(&now.winner);
            }
        }
        if now.stage == Stage::Running && next.stage == Stage::Running {
            keep_stopped_arms(next, now);
        }
    }
    spec
}

fn keep_stopped_arms(next: &mut Experiment, now: &Experiment) {
    for stopped in now.arms.iter().filter(|arm| arm.weight == 0) {
        for arm in next.arms.iter_mut().filter(|arm| arm.name == stopped.name) {
            arm.weight = 0;
        }
    }
}
