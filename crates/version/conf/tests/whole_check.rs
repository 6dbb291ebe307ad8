//! The semantic check of an object against the objects that already exist.

use expect_test::Expect;
use expect_test::expect;
use serde_json::Value;
use serde_json::json;

use conf::catalog::Catalog;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::schema;
use conf::verify;

fn object(kind: Kind, name: &str, revision: u64, spec: Value) -> Object {
    let spec = Some(schema::from_json(kind, &spec).expect("a spec that fits its shape"));
    Object { key: Key { kind, name: name.into() }, revision, spec }
}

fn map_spec() -> Value {
    json!({"service": "desk", "groups": [
        {"servers": [{"name": "a1", "address": "10.0.0.1:80", "data_centre": "west"}]},
    ]})
}

fn service_spec() -> Value {
    json!({"value": "tail", "deadline_ms": 50, "policy": "steady", "map": "desk-1",
        "older_maps": ["desk-0"], "slots": 2, "connections": 25})
}

fn experiment_spec(stage: &str, winner: Value, weights: [u32; 2]) -> Value {
    json!({"service": "desk", "stage": stage, "winner": winner, "arms": [
        {"name": "old", "policy": "steady", "weight": weights[0]},
        {"name": "new", "policy": "quick", "weight": weights[1]},
    ]})
}

fn catalog(stage: &str) -> Catalog {
    let objects = [
        object(Kind::Policy, "steady", 1, json!({})),
        object(Kind::Policy, "quick", 2, json!({})),
        object(Kind::Policy, "spare", 3, json!({})),
        object(Kind::Map, "desk-0", 4, map_spec()),
        object(Kind::Map, "desk-1", 5, map_spec()),
        object(Kind::Service, "desk", 6, service_spec()),
        object(Kind::Experiment, "trial", 7, experiment_spec(stage, Value::Null, [1, 1])),
    ];
    Catalog::new().with_objects(&objects).0
}

fn check(catalog: &Catalog, object: &Object, expected: Expect) {
    let issues: Vec<_> = verify::object(catalog, object).iter().map(ToString::to_string).collect();
    expected.assert_eq(&issues.join("\n"));
}

#[test]
fn service_references() {
    let mut spec = service_spec();
    spec["policy"] = json!("gone");
    spec["older_maps"] = json!(["desk-1", "desk-9"]);
    spec["slots"] = json!(0);
    check(
        &catalog("draft"),
        &object(Kind::Service, "desk", 8, spec),
        expect![[r#"
        slots: 0 is not between 1 and 1024
        policy: there is no policy `gone`
        older_maps[0]: map `desk-1` is named twice
        older_maps[1]: there is no map `desk-9`"#]],
    );
    check(
        &catalog("draft"),
        &object(Kind::Service, "Other_Desk", 8, service_spec()),
        expect![[r#"
        `Other_Desk`: a name has 1 to 63 lowercase letters, digits and inner dashes
        map: map `desk-1` belongs to service `desk`
        older_maps[0]: map `desk-0` belongs to service `desk`"#]],
    );
}

#[test]
fn map_servers() {
    let server = |name, address| json!({"name": name, "address": address, "data_centre": "west"});
    let spec = json!({"service": "hall", "groups": [
        {"servers": [server("a1", "10.0.0.1:80"), server("a1", "10.0.0.2:0")]},
        {"servers": []},
        {"servers": [server("b1", "10.0.0.3:80"), server("b2", "10.0.0.3:80")]},
    ]});
    check(
        &catalog("draft"),
        &object(Kind::Map, "desk-1", 8, spec),
        expect![[r#"
        groups[0].servers[1].address: port 0 can't be connected to
        groups[0].servers[1].name: server `a1` is also groups[0].servers[0]
        groups[1].servers: a group needs at least one server
        groups[2].servers[1].address: address 10.0.0.3:80 is also that of groups[2].servers[0]
        service: service `desk` uses this map"#]],
    );
    let empty = json!({"service": "desk", "groups": []});
    check(
        &catalog("draft"),
        &object(Kind::Map, "desk-2", 8, empty),
        expect!["groups: a map needs at least one group"],
    );
}

#[test]
fn policy_bounds() {
    let spec = json!({"hedge": {"quantile_percent": 10, "budget_percent": 5.1},
        "retry": {"attempts": 0, "budget_percent": -1}, "slice_percent": 101,
        "admit": {"most_running": 0}});
    check(
        &catalog("draft"),
        &object(Kind::Policy, "steady", 8, spec),
        expect![[r#"
        hedge.quantile_percent: 10 is not between 50 and 100
        hedge.budget_percent: 5.1 is not between 0 and 5
        retry.attempts: 0 is not between 1 and 10
        retry.budget_percent: -1 is not between 0 and 10
        admit.most_running: 0 is not between 1 and 1000000
        slice_percent: 101 is not between 1 and 100"#]],
    );
}

#[test]
fn referenced_objects_cannot_be_deleted() {
    let catalog = catalog("draft");
    for key in ["policy/steady", "policy/quick", "map/desk-0", "map/desk-1", "service/desk"] {
        let (kind, name) = key.split_once('/').expect("a key");
        let kind = Kind::parse(kind).expect("a kind");
        let deleted = Object { key: Key { kind, name: name.into() }, revision: 8, spec: None };
        assert!(!verify::object(&catalog, &deleted).is_empty(), "{key} could be deleted");
    }
    let key = Key { kind: Kind::Policy, name: "spare".into() };
    check(&catalog, &Object { key, revision: 8, spec: None }, expect![[""]]);
}

#[test]
fn allowed_stage_changes() {
    let mut table = String::new();
    let stages = ["draft", "running", "stopped", "concluded"];
    for from in stages {
        for to in stages {
            let winner = if to == "concluded" { json!("new") } else { Value::Null };
            let mut spec = experiment_spec(to, winner, [1, 1]);
            // Also change the guard, so that a concluded experiment that stays at its
            // stage is changed too.
            spec["guard"] = json!({"least_requests": 5});
            let issues =
                verify::object(&catalog(from), &object(Kind::Experiment, "trial", 8, spec));
            let allowed = if issues.is_empty() { "yes" } else { "no" };
            table.push_str(&format!("{from} to {to}: {allowed}\n"));
        }
    }
    expect![[r#"
        draft to draft: yes
        draft to running: yes
        draft to stopped: no
        draft to concluded: no
        running to draft: no
        running to running: yes
        running to stopped: yes
        running to concluded: yes
        stopped to draft: no
        stopped to running: yes
        stopped to stopped: yes
        stopped to concluded: yes
        concluded to draft: no
        concluded to running: no
        concluded to stopped: no
        concluded to concluded: no
    "#]]
    .assert_eq(&table);
}

#[test]
fn running_arms() {
    let running = catalog("running");
    let next = |weights| experiment_spec("running", Value::Null, weights);
    check(&running, &object(Kind::Experiment, "trial", 8, next([1, 0])), expect![[""]]);
    check(
        &running,
        &object(Kind::Experiment, "trial", 8, next([0, 2])),
        expect![[r#"
        arms[0].weight: the baseline needs a weight above 0
        arms[1]: can only be stopped (weight 0) while the experiment runs"#]],
    );
    check(
        &running,
        &object(Kind::Experiment, "second", 8, next([1, 1])),
        expect!["stage: experiment `trial` runs on service `desk`"],
    );
    let one = json!({"service": "desk", "winner": "new", "unit": "caller",
        "arms": [{"name": "old", "policy": "gone", "weight": 1}]});
    check(
        &running,
        &object(Kind::Experiment, "third", 8, one),
        expect![[r#"
        arms: 1 is not between 2 and 16
        arms[0].policy: there is no policy `gone`
        winner: only a concluded experiment has a winner"#]],
    );
    let unnamed = experiment_spec("concluded", Value::Null, [1, 1]);
    check(
        &running,
        &object(Kind::Experiment, "trial", 8, unnamed),
        expect!["winner: a concluded experiment names its winner"],
    );
}
