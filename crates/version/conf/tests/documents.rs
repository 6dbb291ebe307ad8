//! Objects as YAML documents: parsing, and all errors with their positions.

use expect_test::Expect;
use expect_test::expect;

use conf::catalog::Catalog;
use conf::document;
use conf::object::Object;
use conf::object::Policy;
use conf::schema;

const VALID: &str = "\
# A policy, a map and a service.
kind: policy
name: steady
spec: {choice: home, hedge: {budget_percent: 2}}
---
kind: service
name: desk
revision: 7
spec:
  value: tail
  deadline_ms: 50
  policy: steady
  map: desk-1
  slots: 2
  connections: 25
---
kind: map
name: desk-1
spec:
  service: desk
  groups:
    - servers:
        - {name: a1, address: '10.0.0.1:80', data_centre: west}
        - {name: a2, address: '10.0.0.2:80', data_centre: '1'}
";

fn check(text: &str, expected: Expect) {
    let result = match document::parse("objects.yaml", text) {
        Err(report) => report.to_string(),
        Ok(documents) => match document::verify(&Catalog::new(), &documents) {
            Ok(catalog) => catalog.to_string(),
            Err(findings) => findings
                .iter()
                .map(|(key, finding)| format!("{}: {key}: {}\n", finding.span, finding.message))
                .collect(),
        },
    };
    expected.assert_eq(&result);
}

#[test]
fn valid_documents() {
    check(
        VALID,
        expect![[r#"
        service/desk revision 3
        map/desk-1 revision 2
        policy/steady revision 1
    "#]],
    );
}

#[test]
fn shape_errors() {
    let text = VALID
        .replace("deadline_ms: 50", "deadline_ms: soon")
        .replace("slots: 2", "slot: 2")
        .replace("kind: map", "kind: mop")
        .replace("choice: home", "choice: any, choice: home, retries: 1");
    check(
        &text,
        expect![[r#"
            objects.yaml:4:16: spec.choice: expected one of random, round_robin, least_of_two, latency, home, found "any"
            objects.yaml:4:21: duplicate key `choice`, first on line 4
            objects.yaml:4:35: spec.retries: unknown field
            objects.yaml:9:1: spec: `slots` is missing
            objects.yaml:11:16: spec.deadline_ms: expected a whole number from 0 to 4294967295, found "soon"
            objects.yaml:14:3: spec.slot: unknown field
            objects.yaml:17:7: kind: expected one of policy, map, service, experiment"#]],
    );
}

#[test]
fn semantic_errors() {
    let text = VALID
        .replace("policy: steady", "policy: study")
        .replace("a2, address: '10.0.0.2:80'", "a1, address: '10.0.0.1:80'")
        .replace("budget_percent: 2", "budget_percent: 50")
        .replace("deadline_ms: 50", "deadline_ms: 0");
    check(
        &text,
        expect![[r#"
        4:46: policy/steady: hedge.budget_percent: 50 is not between 0 and 5
        24:18: map/desk-1: groups[0].servers[1].name: server `a1` is also groups[0].servers[0]
        24:31: map/desk-1: groups[0].servers[1].address: address 10.0.0.1:80 is also that of groups[0].servers[0]
        11:16: service/desk: deadline_ms: 0 is not between 1 and 600000
        12:11: service/desk: policy: there is no policy `study`
    "#]],
    );
}

#[test]
fn malformed_files() {
    check("", expect!["objects.yaml:1:1: no document found"]);
    check(
        "kind: policy\n",
        expect![[r#"
            objects.yaml:1:1: `name` is missing
            objects.yaml:1:1: `spec` is missing"#]],
    );
    check(
        "kind: policy\nname: [a]\nspec: steady\nmore: 1\n",
        expect![[r#"
            objects.yaml:2:1: name: expected text, found ["a"]
            objects.yaml:3:1: spec: expected a mapping, found "steady"
            objects.yaml:4:1: more: unknown field"#]],
    );
    check(
        "kind: policy\nname: a\nspec: {}\n---\nkind: policy\nname: a\nspec: {}\n",
        expect!["objects.yaml:6:7: duplicate object policy/a"],
    );
    check(
        "kind: policy\nname: a\nspec: {slice_percent: .nan}\n---\n- b\n",
        expect![[r#"
        objects.yaml:3:23: spec.slice_percent: expected a whole number from 0 to 4294967295, found ".nan"
        objects.yaml:5:1: expected `key: value` lines"#]],
    );
}

#[test]
fn written_document_parses_back() {
    for document in document::parse("objects.yaml", VALID).expect("a valid file") {
        let object = Object { key: document.key, revision: 9, spec: Some(document.spec) };
        let parsed =
            document::parse("written.yaml", &document::to_yaml(&object)).expect("a document");
        assert_eq!(parsed[0].spec, object.spec.expect("a spec"));
        assert_eq!(parsed[0].revision, Some(9));
    }
}

#[test]
fn shapes_match_structs() {
    for document in document::parse("objects.yaml", VALID).expect("a valid file") {
        let value = schema::to_json(&document.spec);
        assert_eq!(schema::from_json(document.key.kind, &value), Ok(document.spec));
    }
    let policy = conf::object::Spec::Policy(Policy::default());
    assert_eq!(schema::from_json(policy.kind(), &serde_json::json!({})), Ok(policy));
}
