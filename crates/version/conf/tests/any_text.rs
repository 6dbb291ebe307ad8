//! Any text is either read or reported; none makes the parse panic, and the same
//! text always gives the same report.

use miette::Diagnostic;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use conf::document;
use conf::report::Report;
use conf::settings;

/// Pieces from which YAML and near misses of it are put together.
const PIECES: &[&str] = &[
    "name",
    "kind",
    "spec",
    "policy",
    "seeds",
    "a",
    "1",
    "-1",
    ": ",
    ":",
    "- ",
    "\n",
    "\n  ",
    "\n- ",
    "[",
    "]",
    "{",
    "}",
    ", ",
    "'",
    "\"",
    "#",
    "&x ",
    "*x",
    "!t ",
    "---\n",
    "...\n",
    "~",
    "|\n ",
    ">\n ",
    "? ",
    "%YAML 1.2\n",
    "\t",
    "\u{E000}",
    "\u{e9}",
    "\\",
    "<<: ",
];

fn runner() -> TestRunner {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn text() -> impl Strategy<Value = String> {
    vec(select(PIECES), 0..24).prop_map(|pieces| pieces.concat())
}

/// The lines of a report and the places in the text that it shows.
fn shown(report: &Report) -> String {
    let labels = report.labels().into_iter().flatten();
    let places = labels.map(|label| format!(" {}+{}", label.offset(), label.len()));
    report.to_string() + &places.collect::<String>()
}

fn told(text: &str) -> (String, String) {
    let settings = settings::parse("any", text).map(|node| node.name.to_string());
    let objects = document::parse("any", text).map(|found| found.len().to_string());
    (settings.unwrap_or_else(|r| shown(&r)), objects.unwrap_or_else(|r| shown(&r)))
}

#[test]
fn read_or_reported() {
    let result = runner().run(&text(), |text| {
        let (settings, objects) = told(&text);
        prop_assert_eq!(settings.is_empty() || objects.is_empty(), false);
        prop_assert_eq!(told(&text), (settings, objects));
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}
