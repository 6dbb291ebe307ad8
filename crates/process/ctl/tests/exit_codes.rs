//! Checks the exit code and the message of each kind of failure.

use expect_test::Expect;
use expect_test::expect;

use crate::fake::Node;
use crate::fake::Platform;
use crate::fake::file;
use crate::fake::hsctl;
use conf::object::Kind;

mod fake;

fn check(run: &fake::Run, expected: Expect) {
    expected.assert_eq(&format!("{}: {}", run.code, run.text));
}

#[tokio::test]
async fn usage() {
    for line in ["", "fly", "get service", "get thing a", "status --output xml", "apply --node a"] {
        assert_eq!(hsctl(&[], line).await.code, 2, "`{line}`");
    }
    for line in ["status --timeout 0 -n a", "status -r x -n a", "experiment conclude e -n a"] {
        assert_eq!(hsctl(&[], line).await.code, 2, "`{line}`");
    }
    check(
        &hsctl(&[], "status").await,
        expect![[r#"
        2: hsctl: Specify a node with --node ADDR.
        Try `hsctl --help`.
    "#]],
    );
    assert_eq!(hsctl(&[], "--help").await.code, 0);
    check(
        &hsctl(&[], "--version").await,
        expect![[r#"
        0: hsctl 0.1.0
    "#]],
    );
}

#[tokio::test]
async fn invalid() {
    let (node, address) = Node::start().await;
    let text = "kind: service\nname: desk\nspec: {value: tail, deadline_ms: 0, policy: gone,\n  map: gone, slots: 2, connections: 25}\n";
    let path = file("invalid", text);
    let run = hsctl(&[address], &format!("apply -f {path}")).await;
    let text = run.text.replace(&path, "FILE");
    check(
        &fake::Run { text, ..run },
        expect![[r#"
        3: hsctl: FILE:3:34: service/desk: deadline_ms: 0 is not between 1 and 600000
        FILE:3:45: service/desk: policy: there is no policy `gone`
        FILE:4:8: service/desk: map: there is no map `gone`
    "#]],
    );
    assert_eq!(node.spec(Kind::Service, "desk"), None);
}

#[tokio::test]
async fn faulty_file() {
    let (node, address) = Node::start().await;
    let good = file("faulty_file_good", fake::OBJECTS);
    let bad = file("faulty_file_bad", "kind: policy\nname: a\nspec: {choice: any, hedges: 1}\n");
    let run = hsctl(&[address], &format!("apply -f {good} -f {bad} -o json")).await;
    let text = run.text.replace(&bad, "FILE");
    check(
        &fake::Run { text, ..run },
        expect![[r#"
        3: {"failure":"invalid","findings":[{"column":16,"file":"FILE","line":3,"message":"spec.choice: expected one of random, round_robin, least_of_two, latency, home, found \"any\""},{"column":21,"file":"FILE","line":3,"message":"spec.hedges: unknown field"}],"message":"FILE:3:16: spec.choice: expected one of random, round_robin, least_of_two, latency, home, found \"any\"\nFILE:3:21: spec.hedges: unknown field"}
        hsctl: FILE:3:16: spec.choice: expected one of random, round_robin, least_of_two, latency, home, found "any"
        FILE:3:21: spec.hedges: unknown field
    "#]],
    );
    assert_eq!(node.writes(), []);
}

#[tokio::test]
async fn unavailable() {
    let closed = fake::closed_address().await;
    check(
        &hsctl(&[closed], "status").await,
        expect![[r#"
        5: hsctl: unavailable: NODE: can't be reached: Connection refused (os error 111)
    "#]],
    );
    let (node, address) = Node::start().await;
    node.set_platform(Platform::Unreachable);
    let path = file("unavailable", fake::OBJECTS);
    check(
        &hsctl(&[address], &format!("apply -f {path}")).await,
        expect![[r#"
        5: hsctl: unavailable: NODE: the platform does not answer
    "#]],
    );
    check(
        &hsctl(&[address], "list -o json").await,
        expect![[r#"
        5: {"failure":"unavailable","message":"unavailable: NODE: the platform does not answer","retry_after_ms":null}
        hsctl: unavailable: NODE: the platform does not answer
    "#]],
    );
}

#[tokio::test]
async fn not_found() {
    let (_node, address) = Node::start().await;
    check(
        &hsctl(&[address], "get map gone").await,
        expect![[r#"
        7: hsctl: not found: map/gone
    "#]],
    );
    let path = file("not_found", "kind: policy\nname: steady\nspec: {}\n");
    check(
        &hsctl(&[address], &format!("update -f {path}")).await,
        expect![[r#"
        7: hsctl: not found: policy/steady
    "#]],
    );
    check(
        &hsctl(&[address], "explain ffff").await,
        expect![[r#"
        7: hsctl: not found: request ffff
    "#]],
    );
    check(
        &hsctl(&[address], "drain server b9").await,
        expect![[r#"
        7: hsctl: not found: b9
    "#]],
    );
}

#[tokio::test]
async fn unknown_outcome() {
    let (node, address) = Node::start().await;
    let path = file("unknown_outcome", "kind: policy\nname: steady\nspec: {}\n");
    node.set_platform(Platform::LosesAnswers);
    let run = hsctl(&[address], &format!("create -f {path}")).await;
    assert_eq!(run.code, 6, "{}", run.text);
    assert!(run.text.contains(&node.writes()[0].operation), "{}", run.text);
    node.set_platform(Platform::Hangs);
    let run = hsctl(&[address], "delete policy steady -r 1 --timeout 2").await;
    assert_eq!(run.code, 6, "{}", run.text);
}
