//! Checks what each command prints as a table and as JSON.

use expect_test::expect;
use expect_test::expect_file;

use crate::fake::Node;
use crate::fake::Platform;
use crate::fake::file;
use crate::fake::hsctl;
use crate::fake::transcript;

mod fake;

#[tokio::test]
async fn objects() {
    let (_node, address) = Node::start().await;
    let apply = format!("apply -f {}", file("output_objects", fake::OBJECTS));
    assert_eq!(hsctl(&[address], &apply).await.code, 0);
    let text = transcript(address, &["get map desk-1", "list policy"]).await;
    expect_file!["expected/objects.txt"].assert_eq(&text);
    let written = hsctl(&[address], "get service desk").await.text;
    let again = format!("apply -f {}", file("output_again", &written));
    let run = hsctl(&[address], &again).await;
    assert_eq!(run.text, "service/desk unchanged at revision 4\n");
}

#[tokio::test]
async fn status() {
    let (node, address) = Node::start().await;
    let text = transcript(address, &["status"]).await;
    expect_file!["expected/status.txt"].assert_eq(&text);
    node.set_platform(Platform::Unreachable);
    let run = hsctl(&[address], "status").await;
    let line = run.text.lines().nth(1).unwrap_or_default();
    assert_eq!(line, "platform: has not answered for 4000 ms");
}

#[tokio::test]
async fn requests_and_state() {
    let (_node, address) = Node::start().await;
    let lines = ["explain a1-1", "dump", "drain node first", "drain server a1"];
    let text = transcript(address, &lines).await;
    expect_file!["expected/state.txt"].assert_eq(&text);
}

#[tokio::test]
async fn report() {
    let (_node, address) = Node::start().await;
    let text = transcript(address, &["experiment report trial"]).await;
    expect_file!["expected/report.txt"].assert_eq(&text);
}

#[tokio::test]
async fn without_node() {
    let path = file("checked", fake::OBJECTS);
    let run = hsctl(&[], &format!("check {path}")).await;
    assert_eq!(run.text, "5 objects and 0 settings files are valid\n");
    let broken = file("broken", &fake::OBJECTS.replace("name: quick", "name: slow"));
    let run = hsctl(&[], &format!("check {broken}")).await;
    assert_eq!(run.code, 3);
    expect![[r#"
        hsctl: FILE:7:27: experiment/trial: arms[1].policy: there is no policy `quick`
    "#]]
    .assert_eq(&run.text.replace(&broken, "FILE"));
    let settings = hsctl(&[], "settings").await;
    assert_eq!(settings.text.trim_end(), conf::settings::reference().trim_end());
}
