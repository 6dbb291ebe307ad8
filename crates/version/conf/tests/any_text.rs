//! Parses random texts: each either parses or gives a report, none makes the parser
//! panic, and the same text always gives the same report.

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

/// Fragments of valid and almost valid YAML, from which the texts are concatenated.
const FRAGMENTS: &[&str] = &[
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
    vec(select(FRAGMENTS), 0..24).prop_map(|fragments| fragments.concat())
}

/// The lines of a report and the positions that it marks in the text.
fn render(report: &Report) -> String {
    let labels = report.labels().into_iter().flatten();
    let positions = labels.map(|label| format!(" {}+{}", label.offset(), label.len()));
    report.to_string() + &positions.collect::<String>()
}

/// The results of parsing `text` as settings and as objects.
fn parse(text: &str) -> (String, String) {
    let settings = settings::parse("any", text).map(|settings| settings.name.to_string());
    let objects = document::parse("any", text).map(|documents| documents.len().to_string());
    (settings.unwrap_or_else(|r| render(&r)), objects.unwrap_or_else(|r| render(&r)))
}

#[test]
fn any_text_is_parsed_or_reported() {
    let result = runner().run(&text(), |text| {
        let (settings, objects) = parse(&text);
        prop_assert_eq!(settings.is_empty() || objects.is_empty(), false);
        prop_assert_eq!(parse(&text), (settings, objects));
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}
