//! All errors of a settings file are reported together, with their positions.

use expect_test::Expect;
use expect_test::expect;

use conf::settings;

const VALID: &str = "\
name: ishara-jhb-1
data_centre: johannesburg
region: gauteng
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
platform: [127.0.0.1:7000]
";

fn check(text: &str, expected: Expect) {
    let result = match settings::parse("node.yaml", text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(report) => report.to_string(),
    };
    expected.assert_eq(&result);
}

#[test]
fn valid_file() {
    check(
        VALID,
        expect![[r#"
            Settings {
                name: "ishara-jhb-1",
                data_centre: "johannesburg",
                region: "gauteng",
                caller_address: 127.0.0.1:0,
                peer_address: 127.0.0.1:0,
                operator_address: 127.0.0.1:0,
                advertise_caller: None,
                platform: [
                    127.0.0.1:7000,
                ],
                seeds: [],
                fleet_size: 6,
                reserve: 1,
                keep_ms: 2000,
                ticket_capacity: 65536,
                ticket_keep_ms: 600000,
                ticket_block: 8,
                stop_limit_ms: 60000,
                platform_timeout_ms: 2000,
                platform_calls: 20,
                explain_capacity: 4096,
                log: "info",
                threads: 2,
                seed: None,
            }"#]],
    );
}

#[test]
fn three_errors() {
    let text = VALID.replace("name: ishara-jhb-1", "nmae: ishara-jhb-1") + "keep_ms: 5\n";
    check(
        &text,
        expect![[r#"
        node.yaml:1:1: `name` is missing
        node.yaml:1:1: unknown setting `nmae`
        node.yaml:8:10: `keep_ms`: expected a number from 100 to 60000, found `5`"#]],
    );
}

#[test]
fn error_kinds() {
    let text = format!(
        "{VALID}seeds: [1.2.3.4, 5.6.7.8:1, 'x']\nthreads: many\nseed: 1\nseed: 2\nthreads: 3\nlog: [info]\nfleet_size: -1\nregion: ''\n"
    );
    check(
        &text,
        expect![[r#"
        node.yaml:8:9: `seeds`: expected an IP address and port such as 10.0.0.1:7000, found `1.2.3.4`
        node.yaml:8:29: `seeds`: expected an IP address and port such as 10.0.0.1:7000, found `x`
        node.yaml:9:10: `threads`: expected a whole number, found `many`
        node.yaml:11:1: duplicate key `seed`, first on line 10
        node.yaml:12:1: duplicate key `threads`, first on line 9
        node.yaml:13:6: `log`: expected text, found a list
        node.yaml:14:13: `fleet_size`: expected a whole number, found `-1`
        node.yaml:15:1: duplicate key `region`, first on line 3"#]],
    );
}

#[test]
fn malformed_files() {
    check("", expect!["node.yaml:1:1: expected one document, found 0"]);
    check("# nothing\n", expect!["node.yaml:1:1: expected one document, found 0"]);
    check("- a\n", expect!["node.yaml:1:1: expected `key: value` lines"]);
    check(
        "name: [a\n",
        expect!["node.yaml:2:1: not YAML: while parsing a flow sequence, expected ',' or ']'"],
    );
    check(
        &format!("{VALID}---\n{VALID}"),
        expect!["node.yaml:1:1: expected one document, found 2"],
    );
    check("name: &a x\nregion: *a\n", expect!["node.yaml:1:10: anchors can't be used here"]);
}

#[test]
fn errors_are_marked_in_the_text() {
    let text = VALID.replace("region: gauteng", "regoin: gauteng") + "keep_ms: 5\n";
    let report = settings::parse("node.yaml", &text).unwrap_err();
    // expect-test measures indentation from the first line, so that line has none.
    let mut rendered = String::from("shown\n");
    let theme = miette::GraphicalTheme::unicode_nocolor();
    miette::GraphicalReportHandler::new_themed(theme)
        .render_report(&mut rendered, &report)
        .unwrap();
    expect![[r#"
        shown
          × node.yaml:1:1: `region` is missing
          │ node.yaml:3:1: unknown setting `regoin`
          │ node.yaml:8:10: `keep_ms`: expected a number from 100 to 60000, found `5`
           ╭─[node.yaml:1:1]
         1 │ name: ishara-jhb-1
           · ┬
           · ╰── `region` is missing
         2 │ data_centre: johannesburg
         3 │ regoin: gauteng
           · ───┬──
           ·    ╰── unknown setting `regoin`
         4 │ caller_address: 127.0.0.1:0
           ╰────
           ╭─[node.yaml:8:10]
         7 │ platform: [127.0.0.1:7000]
         8 │ keep_ms: 5
           ·          ┬
           ·          ╰── `keep_ms`: expected a number from 100 to 60000, found `5`
           ╰────
    "#]]
    .assert_eq(&rendered);
}
