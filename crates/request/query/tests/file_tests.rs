//! Replays the traces under `/filetests/query` against their stated outcomes.
//!
//! A file holds a trace, then `expect:` and the actions that it must lead to.
//! Run with `HEATHERSEAM_EXPECT=write` to write what comes out instead.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use query::trace::Trace;
use query::trace::What;
use query::verify;

const MARK: &str = "expect:\n";
const WRITE: &str = "HEATHERSEAM_EXPECT";

fn files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../filetests/query");
    let entries = fs::read_dir(folder).expect("the folder of the file tests");
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.expect("a file").path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "txt"));
    files.sort();
    files
}

fn outcome(trace: &Trace) -> String {
    let actions = trace.lines.iter().filter(|line| matches!(line.what, What::Action(_)));
    actions.map(|line| format!("{line}\n")).collect()
}

#[test]
fn traces_lead_to_their_outcomes() {
    let write = std::env::var(WRITE).is_ok_and(|mode| mode == "write");
    let mut failures = Vec::new();
    let files = files();
    assert!(files.len() >= 20, "only {} file tests", files.len());
    for file in files {
        let name = file.file_name().expect("a name").to_string_lossy().into_owned();
        let text = fs::read_to_string(&file).expect("the file");
        let (input, wanted) = text.split_once(MARK).unwrap_or((&text, ""));
        let trace: Trace = match input.parse() {
            Ok(trace) => trace,
            Err(error) => {
                failures.push(format!("{name}:\n{error}"));
                continue;
            }
        };
        let replayed = trace.replayed();
        for finding in verify::check(&replayed) {
            failures.push(format!("{name}: {finding}\n{replayed}"));
        }
        let outcome = outcome(&replayed);
        if write {
            let separator = if input.ends_with('\n') { "" } else { "\n" };
            fs::write(&file, format!("{input}{separator}{MARK}{outcome}")).expect("a written file");
        } else if outcome != wanted {
            failures.push(format!("{name}: wanted\n{wanted}\ncame\n{outcome}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn printed_traces_are_read_back() {
    for file in files() {
        let text = fs::read_to_string(&file).expect("the file");
        let input = text.split(MARK).next().expect("the input");
        let Ok(trace) = input.parse::<Trace>() else { continue };
        let replayed = trace.replayed();
        let again: Trace = replayed.to_string().parse().expect("the printed trace");
        assert_eq!(again.replayed(), replayed, "{}", file.display());
    }
}
