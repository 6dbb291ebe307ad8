//! Replays the traces in `/filetests/query` and compares the resulting actions.
//!
//! A file contains a trace, then a line `expect:` and the expected actions. With
//! `HEATHERSEAM_EXPECT=write` the test writes the actual actions to the files
//! instead.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use query::trace::Entry;
use query::trace::Trace;
use query::verify;

const EXPECT_MARK: &str = "expect:\n";
const EXPECT_VARIABLE: &str = "HEATHERSEAM_EXPECT";

fn files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../filetests/query");
    let entries = fs::read_dir(folder).expect("the folder of the file tests");
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.expect("a file").path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "txt"));
    files.sort();
    files
}

fn printed_actions(trace: &Trace) -> String {
    let actions = trace.lines.iter().filter(|line| matches!(line.entry, Entry::Action(_)));
    actions.map(|line| format!("{line}\n")).collect()
}

#[test]
fn traces_lead_to_expected_actions() {
    let write = std::env::var(EXPECT_VARIABLE).is_ok_and(|mode| mode == "write");
    let mut failures = Vec::new();
    let files = files();
    assert!(files.len() >= 20, "only {} file tests", files.len());
    for file in files {
        let name = file.file_name().expect("a name").to_string_lossy().into_owned();
        let text = fs::read_to_string(&file).expect("the file");
        let (input, expected) = text.split_once(EXPECT_MARK).unwrap_or((&text, ""));
        let trace: Trace = match input.parse() {
            Ok(trace) => trace,
            Err(error) => {
                failures.push(format!("{name}:\n{error}"));
                continue;
            }
        };
        let replayed = trace.replay();
        for violation in verify::check(&replayed) {
            failures.push(format!("{name}: {violation}\n{replayed}"));
        }
        let actual = printed_actions(&replayed);
        if write {
            let separator = if input.ends_with('\n') { "" } else { "\n" };
            fs::write(&file, format!("{input}{separator}{EXPECT_MARK}{actual}"))
                .expect("a written file");
        } else if actual != expected {
            failures.push(format!("{name}: expected\n{expected}\nactual\n{actual}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn printed_traces_are_read_back() {
    for file in files() {
        let text = fs::read_to_string(&file).expect("the file");
        let input = text.split(EXPECT_MARK).next().expect("the input");
        let Ok(trace) = input.parse::<Trace>() else { continue };
        let replayed = trace.replay();
        let again: Trace = replayed.to_string().parse().expect("the printed trace");
        assert_eq!(again.replay(), replayed, "{}", file.display());
    }
}
